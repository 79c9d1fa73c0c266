"""Shares out the memory of a process as it starts."""

from __future__ import annotations

from ashpath.policy import memory_budget
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.errors import MemoryLimitError
from ashpath.server.limits.memory import MemoryLimits
from ashpath.server.logs import Logger
from ashpath.server.process_memory import private_bytes, resident_bytes
from ashpath.server.sender import ClientSide


def share_out_memory(
    limits: MemoryLimits, clients: ClientSide, pool: ConnectionPool, logger: Logger, *, processes: int
) -> None:
    """Gives client connections, requests, responses and messages their shares of what is left of the limit.

    `processes`: of a sender, which share the limit. Raises MemoryLimitError if the memory that this process
    has to itself leaves too little, however the platform counts what processes have in common.
    """
    private = private_bytes()
    least = memory_budget.least_memory(private)
    if limits.memory_bytes < least:
        raise MemoryLimitError(limits.memory_bytes, least)
    resident = resident_bytes()
    shares = memory_budget.divide(limits.memory_bytes, resident, private, processes)
    clients.listener.memory.shares = shares
    pool.memory.shares = shares
    clients.admission.memory_shares = shares
    logger.info(
        "memory shared out",
        max_bytes=limits.memory_bytes,
        resident=resident,
        processes=processes,
        client_connections=clients.listener.max_connections,
        request_bytes=shares.request_bytes,
        response_bytes=shares.response_bytes,
        message_bytes=shares.message_bytes,
    )

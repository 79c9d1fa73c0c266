"""Listener at the sender's address: accepts client connections up to a limit, and drains them at the end."""

from __future__ import annotations

from contextlib import suppress
from time import monotonic

import gevent
from gevent import socket
from gevent.event import Event

from ashpath.server.addresses import Address
from ashpath.server.http.admission import Admission
from ashpath.server.http.availability import Availability
from ashpath.server.http.buffer_memory import RequestMemory
from ashpath.server.http.client_connection import ClientConnection, ClientServices
from ashpath.server.http.client_socket import ClientSocket
from ashpath.server.http.connection_table import ConnectionState, ConnectionTable
from ashpath.server.http.request_handler import RequestHandler, RequestResponder
from ashpath.server.http.transport import bound_receive_buffer
from ashpath.server.http.turn_queue import TurnQueue
from ashpath.server.limits.client_connections import ClientConnectionLimits
from ashpath.server.limits.http import HttpLimits
from ashpath.server.local_errors import is_closed
from ashpath.server.logs import Logger

BACKLOG = 1024  # connections that the kernel queues until they are accepted
ACCEPT_RETRY_S = 0.01  # after a failed accept
EVICTION_RETRY_S = 0.05  # while no connection can be evicted


class ClientListener:
    """Accepts client connections, and serves each in a greenlet of its own.

    At `limits.client_connections`, the next connection is accepted once one closes or is evicted.
    """

    def __init__(
        self,
        address: Address,
        limits: ClientConnectionLimits,
        http_limits: HttpLimits,
        admission: Admission,
        logger: Logger,
        status_api: RequestResponder | None = None,
    ) -> None:
        self.address = address
        self.limits = limits
        self.http_limits = http_limits
        self.availability = Availability()
        self.handler = RequestHandler(admission, self.availability, status_api)
        self.memory = RequestMemory()
        self.turns = TurnQueue(limits.turn_s)
        self.table = ConnectionTable(limits, self.memory)
        self.services = ClientServices(self.table, self.handler, self.availability, limits, logger)
        self.connection_count = 0
        self.connection_closed = Event()
        self.inherited = False  # the platform passed the listening socket: another process may accept on it
        self.accepting = False
        self.listening = False

    def listen(self, inherited: int | None = None) -> None:
        """Listens on `inherited`, the descriptor of a socket that the platform has bound, without a second
        bind, or on a new socket at the configured address. Raises OSError."""
        if inherited is not None:
            self.socket = socket.socket(fileno=inherited)
            bound_receive_buffer(self.socket)
            self.inherited = True
            self.listening = True
            return
        self.socket = open_listening_socket(self.address)
        self.listening = True

    def run(self) -> None:
        """Accepts connections until `stop` is called."""
        self.accepting = True
        while self.accepting:
            try:
                connection = self.connection_of(self.socket.accept()[0])
            except OSError as error:  # no descriptor free, or the client has left
                if is_closed(error) and self.accepting:
                    self.listen_again(error)
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            self.connection_count += 1
            gevent.spawn(self.serve, connection)
            gevent.sleep(0)  # other greenlets run even while clients connect continuously
            self.make_room()

    def make_room(self) -> None:
        """Waits until another connection may be accepted, and evicts others meanwhile."""
        began = monotonic()
        while self.connection_count >= self.max_connections:
            self.table.needs_room = True
            self.connection_closed.clear()
            if not self.table.evict_one(monotonic() - began):
                self.connection_closed.wait(EVICTION_RETRY_S)
        self.table.needs_room = False

    @property
    def max_connections(self) -> int:
        """Number of client connections that descriptors and memory allow."""
        return min(self.limits.client_connections, self.memory.shares.client_connections)

    def connection_of(self, accepted: socket.socket) -> ClientSocket:
        """Returns an accepted connection. Raises OSError if the client has left."""
        return ClientSocket(accepted, self.http_limits, self.memory, self.turns)

    def listen_again(self, error: OSError) -> None:
        """Logs the loss of the listening socket, which can accept no further connection, and replaces it.

        Without a new socket the process would serve no client. An inherited socket cannot be replaced."""
        self.services.logger.error("listening socket lost", error=str(error), inherited=self.inherited)
        if not self.inherited:
            lost = self.socket
            with suppress(OSError):  # the next failed accept retries
                self.socket = open_replacement(lost, self.address)
            with suppress(OSError):
                lost.close()

    def serve(self, connection: ClientSocket) -> None:
        """Serves a connection until it ends; `connection_count` includes it already."""
        client = ClientConnection(connection, self.services)
        try:
            client.serve()
        finally:
            self.table.ended(connection, client.close_reason)
            connection.close()
            self.connection_count -= 1
            self.connection_closed.set()

    def stop(self) -> None:
        """Stops accepting; the process that shares the socket accepts the connections still queued."""
        self.accepting = False
        with suppress(OSError):
            self.socket.close()

    def begin_shutdown(self, respond_by: float) -> None:
        """From now on every response ends its connection; a request that is incomplete at `respond_by`, in
        seconds of the monotonic clock, is answered 503."""
        self.availability.closing = True
        self.availability.respond_by = respond_by

    def set_lame_duck(self, *, enabled: bool) -> None:
        """Enables or disables the lame duck mode.

        Once enabled, a connection ends with its next response, or after `drain_clients_s` if it is idle."""
        self.availability.lame_duck = enabled
        if enabled:
            gevent.spawn(self.drain_clients, self.limits.drain_clients_s)

    def drain_clients(self, grace_s: float) -> None:
        """Half-closes idle connections after a grace period, in seconds, unless the sender is ready again.

        A request within the grace period gets a response that ends its connection. A connection that awaits
        its first request is not idle, and keeps its own time limit."""
        gevent.sleep(grace_s)
        if not self.availability.ready:
            self.table.half_close_idle(ConnectionState.IDLE)

    def close_idle(self) -> None:
        """Half-closes connections that await their first or their next request."""
        self.table.half_close_idle(ConnectionState.AWAITING_FIRST_REQUEST, ConnectionState.IDLE)

    def close_all(self) -> None:
        """Half-closes and drains the remaining connections as the process ends. Does not wait."""
        self.table.drain_all()

    @property
    def closing(self) -> bool:
        """Whether the shutdown has begun."""
        return self.availability.closing

    def has_connections(self) -> bool:
        """Whether a client is connected."""
        return self.connection_count > 0

    def has_open_requests(self) -> bool:
        """Whether a request is being read or responded to."""
        return self.table.count(ConnectionState.READING, ConnectionState.RESPONDING) > 0


def open_listening_socket(address: Address, *, shared: bool = False) -> socket.socket:
    """Returns a socket that listens at `address`. Raises OSError.

    `shared`: another socket with SO_REUSEPORT of the same user may listen there at the same time."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound_receive_buffer(opened)
        opened.bind(address)
        opened.listen(BACKLOG)
    except OSError:
        opened.close()
        raise
    return opened


def open_replacement(lost: socket.socket, address: Address) -> socket.socket:
    """Returns a socket that listens at `address` in place of `lost`, which is still open. Raises OSError.

    The replacement listens before `lost` is closed, so that no client is refused in between."""
    with suppress(OSError):  # the descriptor may not be a socket any more; its address is free then
        lost.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    return open_listening_socket(address, shared=True)

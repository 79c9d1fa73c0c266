"""Proxies on the network paths of one sender, and the record of each fault that a proxy injects there."""

from __future__ import annotations

from collections.abc import Sequence
from time import monotonic

import gevent

from ashpath.emulator.fault_injection.stream_faults import (
    MessageFaultInjector,
    PreferringInjector,
    StreamFaultInjector,
    StreamFaults,
)
from ashpath.emulator.fault_injection.tcp_proxy import FaultProxy, ProxyMode
from ashpath.emulator.soak.records import ClientFault, NoticeFault, SoakRecords
from ashpath.server.addresses import Address, parse_address

LATE_S = 0.25  # below the response timeouts of the clients and of a notification
FIRST_BYTE_OF_NOTICES = b"P"  # of POST; polls of the same agent begin with GET
# In these modes the proxy itself closes connections throughout a fault, in the others at its begin and end.
CLOSING_MODES = frozenset({ProxyMode.RESET, ProxyMode.RESET_AFTER_BYTE})


def create_injector(
    faults: StreamFaults | None, seed: str, preferred: StreamFaults | None = None
) -> MessageFaultInjector | None:
    """Returns an injector of the faults, or None without faults. A message that the `preferred` faults
    affect has no other ones."""
    injector = None if faults is None else StreamFaultInjector(faults, seed)
    if preferred is None:
        return injector
    first = StreamFaultInjector(preferred, f"preferred {seed}")
    return first if injector is None else PreferringInjector(first, injector)


class ClientPath:
    """The path from the clients of one sender to its listener at `target`."""

    def __init__(self, sender: int, target: Address, records: SoakRecords) -> None:
        self.sender = sender
        self.proxy = FaultProxy(target, LATE_S)
        self.address = parse_address(self.proxy.address)
        self._records = records

    def fail(self, mode: ProxyMode, duration_s: float) -> None:
        """Lets connections fail for `duration_s`; those that are open at the begin and the end are reset."""
        began_at = monotonic()
        self._switch(mode)
        if mode not in CLOSING_MODES:
            self._record(began_at)
        gevent.sleep(duration_s)
        if mode not in CLOSING_MODES:
            began_at = monotonic()
        self._switch(ProxyMode.FORWARD)
        self._record(began_at)

    def _switch(self, mode: ProxyMode) -> None:
        self.proxy.mode = mode
        self.proxy.reset_connections()

    def _record(self, began_at: float) -> None:
        self._records.client_faults.append(ClientFault(self.sender, began_at, monotonic()))

    def stop(self) -> None:
        """Stops the proxy."""
        self.proxy.stop()


class NoticePath:
    """The paths from one sender to its agents at `agent_addresses`. Only connections with notices fail."""

    def __init__(self, sender: int, agent_addresses: Sequence[str], records: SoakRecords) -> None:
        self.sender = sender
        self.proxies = [
            FaultProxy(parse_address(address), LATE_S, FIRST_BYTE_OF_NOTICES) for address in agent_addresses
        ]
        self.addresses = [proxy.address for proxy in self.proxies]
        self._records = records

    def fail(self, mode: ProxyMode, duration_s: float) -> None:
        """Lets notices fail for `duration_s`; connections open at the begin and the end are reset."""
        began_at = monotonic()
        self._switch(mode)
        gevent.sleep(duration_s)
        self._switch(ProxyMode.FORWARD)
        cuts_acknowledgements = mode is ProxyMode.HALF_RESPONSE
        self._records.notice_faults.append(
            NoticeFault(self.sender, began_at, monotonic(), cuts_acknowledgements)
        )

    def _switch(self, mode: ProxyMode) -> None:
        for proxy in self.proxies:
            proxy.mode = mode
            proxy.reset_connections()

    def stop(self) -> None:
        """Stops the proxies."""
        for proxy in self.proxies:
            proxy.stop()

"""Listener at the sender's address: accepts client connections up to a limit, and drains them at the end."""

from __future__ import annotations

import errno
from contextlib import suppress
from time import monotonic
from typing import Any

import gevent
from gevent import get_hub, socket
from gevent.event import Event

from ashpath.policy.descriptor_budget import CLIENTS_WANTED, DescriptorKind
from ashpath.server.addresses import Address
from ashpath.server.descriptors import UNCOUNTED, UNSHARED, DescriptorLeases, Lease
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
SHARED_EVICTION_RETRY_S = 0.01  # the same, while other processes may close one
READ = 1  # the event of libev's io watchers
STOPPED_TEXT = "listener stopped"


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
        descriptors: DescriptorLeases = UNSHARED,
    ) -> None:
        self.address = address
        self.descriptors = descriptors
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
        self._readable: Any = None  # gevent's watcher of an inherited listening socket
        self._spare_lease: Lease | None = None  # for the next client, while none waits

    def listen(self, inherited: int | None = None) -> None:
        """Listens on `inherited`, the descriptor of a socket that the platform has bound, without a second
        bind, or on a new socket at the configured address. Raises OSError."""
        if inherited is not None:
            self.socket = socket.socket(fileno=inherited)
            bound_receive_buffer(self.socket)
            self.socket.settimeout(0)  # another process may accept the client that the socket shows
            self._readable = get_hub().loop.io(inherited, READ)
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
                connection = self.accept()
            except BlockingIOError:  # another process has accepted the client
                continue
            except OSError as error:  # no descriptor free, or the client has left
                if is_closed(error) and self.accepting:
                    self.listen_again(error)
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            self.connection_count += 1
            gevent.spawn(self.serve, connection)
            gevent.sleep(0)  # other greenlets run even while clients connect continuously

    def accept(self) -> ClientSocket:
        """Returns the next connection, once there is room for it. Raises OSError if it cannot be accepted."""
        lease = self._lease_for_accept()
        try:
            return self.connection_of(self.socket.accept()[0], lease)
        except BlockingIOError:  # no client waits: the next call needs no other lease
            self._spare_lease = lease
            raise
        except BaseException:
            lease.release()
            raise

    def _lease_for_accept(self) -> Lease:
        """Returns the lease of the next connection. Where the listening socket is shared, it makes room only
        for a client that waits. Raises OSError once `stop` has been called."""
        if self._readable is None:
            return self.make_room()
        if self._spare_lease is None and self.connection_count < self.max_connections:
            self._spare_lease = self.descriptors.take(DescriptorKind.CLIENT)
            if self._spare_lease is not None:
                return self._take_spare_lease()
        socket.wait(self._readable)
        return self.make_room() if self._spare_lease is None else self._take_spare_lease()

    def _take_spare_lease(self) -> Lease:
        lease = self._spare_lease
        self._spare_lease = None
        assert lease is not None
        return lease

    def make_room(self) -> Lease:
        """Waits until another connection may be accepted, and evicts others meanwhile. Returns the lease of
        its descriptor. Raises OSError once `stop` has been called."""
        began = monotonic()
        while (lease := self.take_place()) is None:
            if not self.accepting:
                raise OSError(errno.EBADF, STOPPED_TEXT)
            self.table.needs_room = True
            self.connection_closed.clear()
            waited_s = monotonic() - began
            if self.others_make_room(waited_s) or not self.table.evict_one(waited_s):
                self.connection_closed.wait(self.eviction_retry_s)
        self.table.needs_room = False
        self.descriptors.want(DescriptorKind.CLIENT, 0)
        return lease

    def take_place(self) -> Lease | None:
        """Returns the lease of a further connection, or None if there is no room for it."""
        if self.connection_count >= self.max_connections:
            return None
        lease = self.descriptors.take(DescriptorKind.CLIENT)
        if lease is None:
            self.descriptors.want(DescriptorKind.CLIENT, CLIENTS_WANTED)
        return lease

    def others_make_room(self, waited_s: float) -> bool:
        """Whether a client waits for other processes to give connections back, and evicts none of this one
        yet."""
        return (
            self.connection_count < self.max_connections
            and waited_s < self.limits.eviction_patience_s
            and self.descriptors.is_below_share(DescriptorKind.CLIENT)
        )

    @property
    def eviction_retry_s(self) -> float:
        """Seconds between two looks for room."""
        return SHARED_EVICTION_RETRY_S if self.descriptors.is_shared else EVICTION_RETRY_S

    def give_way(self, count: int, waited_s: float) -> None:
        """Evicts up to `count` connections, as another process of a hot upgrade has clients that wait for
        `waited_s` seconds."""
        self.table.needs_room = True
        for _ in range(count):
            if not self.table.evict_one(waited_s):
                return

    @property
    def max_connections(self) -> int:
        """Number of client connections that descriptors and memory allow."""
        return min(self.limits.client_connections, self.memory.shares.client_connections)

    def connection_of(self, accepted: socket.socket, lease: Lease = UNCOUNTED) -> ClientSocket:
        """Returns an accepted connection. Raises OSError if the client has left."""
        return ClientSocket(accepted, self.http_limits, self.memory, self.turns, lease)

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
        """Stops accepting; the process that shares the socket accepts the connections still queued.

        Does nothing before `listen`."""
        if not self.listening:
            return
        self.accepting = False
        self.descriptors.want(DescriptorKind.CLIENT, 0)
        if self._readable is not None:
            get_hub().cancel_wait(self._readable, OSError(errno.EBADF, STOPPED_TEXT), True)
            self._readable = None
        if self._spare_lease is not None:
            self._take_spare_lease().release()
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

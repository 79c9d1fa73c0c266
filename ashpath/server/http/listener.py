"""The address that clients meet: accepts their connections within a bound, and drains them at the end."""

from __future__ import annotations

from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event

from ashpath.server.addresses import Address
from ashpath.server.http.admission import Admission
from ashpath.server.http.availability import Availability
from ashpath.server.http.client_connection import ClientConnection, ClientServices
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.connection_table import ConnectionState, ConnectionTable
from ashpath.server.http.request_handler import RequestHandler, RequestResponder
from ashpath.server.limits import ServerLimits
from ashpath.server.local_errors import is_closed
from ashpath.server.logs import Logger

BACKLOG = 1024  # connections that the kernel holds until they are accepted
ACCEPT_RETRY_S = 0.01
EVICTION_RETRY_S = 0.05


class ClientListener:
    """Accepts connections of clients, each of which a greenlet of its own serves.

    At `limits.client_connections` no further one is accepted until one closes or is evicted.
    """

    def __init__(
        self,
        address: Address,
        limits: ServerLimits,
        admission: Admission,
        logger: Logger,
        status_api: RequestResponder | None = None,
    ) -> None:
        self.address = address
        self.limits = limits
        self.availability = Availability()
        self.handler = RequestHandler(admission, self.availability, status_api)
        self.table = ConnectionTable(limits)
        self.services = ClientServices(self.table, self.handler, self.availability, limits, logger)
        self.connection_count = 0
        self.connection_closed = Event()
        self.inherited = False  # the listening socket is the platform's: another process may accept on it
        self.accepting = False
        self.listening = False

    def listen(self, inherited: int | None = None) -> None:
        """On the descriptor that the platform hands down if there is one: it is never bound a second time.
        Raises OSError."""
        if inherited is not None:
            self.socket = socket.socket(fileno=inherited)
            self.inherited = True
            self.listening = True
            return
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.address)
        self.socket.listen(BACKLOG)
        self.listening = True

    def run(self) -> None:
        """Accepts until `stop`."""
        self.accepting = True
        while self.accepting:
            try:
                connection = HttpConnection(self.socket.accept()[0], self.limits)
            except OSError as error:  # out of descriptors, or a client that left again
                if is_closed(error) and self.accepting:
                    self.listen_again(error)
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            self.connection_count += 1
            gevent.spawn(self.serve, connection)
            gevent.sleep(0)  # guards the rest against clients that connect without end
            while self.connection_count >= self.limits.client_connections:
                self.connection_closed.clear()
                if not self.table.evict_one():
                    self.connection_closed.wait(EVICTION_RETRY_S)

    def listen_again(self, error: OSError) -> None:
        """The listening socket will accept nothing any more: without another the process would serve nobody.
        One that the platform handed down cannot be had again."""
        self.services.logger.error("listening socket lost", error=str(error), inherited=self.inherited)
        if not self.inherited:
            with suppress(OSError):
                self.socket.close()
            with suppress(OSError):  # it is tried again with the next accept
                self.listen()

    def serve(self, connection: HttpConnection) -> None:
        """Serves a connection, which counts already, to its end."""
        try:
            ClientConnection(connection, self.services).serve()
        finally:
            self.table.remove(connection)
            connection.close()
            self.connection_count -= 1
            self.connection_closed.set()

    def stop(self) -> None:
        """Accepts no more connections: those still queued are for the process that shares the socket."""
        self.accepting = False
        with suppress(OSError):
            self.socket.close()

    def begin_shutdown(self, respond_by: float) -> None:
        """From now on every response ends its connection; who is still within a request at `respond_by`
        (seconds of the monotonic clock) is answered 503."""
        self.availability.closing = True
        self.availability.respond_by = respond_by

    def set_lame_duck(self, *, enabled: bool) -> None:
        """Drains clients, each with its next response or, where it asks for none, after a while; or takes
        them back."""
        self.availability.lame_duck = enabled
        if enabled:
            gevent.spawn(self.drain_clients, self.limits.drain_clients_s)

    def drain_clients(self, grace_s: float) -> None:
        """Whoever asks within the grace has a response that ends its connection; idle ones are closed after
        it. One before its first request is not idle: it has its time."""
        gevent.sleep(grace_s)
        if not self.availability.ready:
            self.table.half_close_idle(ConnectionState.IDLE)

    def close_idle(self) -> None:
        """Ends connections that are between requests, and those before their first one."""
        self.table.half_close_idle(ConnectionState.AWAITING_FIRST_REQUEST, ConnectionState.IDLE)

    def close_all(self) -> None:
        """Ends what is left, as the process does; does not wait."""
        self.table.drain_all()

    @property
    def closing(self) -> bool:
        """A shutdown has begun."""
        return self.availability.closing

    def has_connections(self) -> bool:
        """Whether a client is connected."""
        return self.connection_count > 0

    def has_open_requests(self) -> bool:
        """Whether a client is within a request, or waits for its response."""
        return self.table.count(ConnectionState.READING, ConnectionState.RESPONDING) > 0

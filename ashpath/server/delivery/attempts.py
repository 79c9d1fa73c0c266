"""The stage that carries one shot: a connection, the call, and what came back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from errno import EMFILE, ENFILE
from typing import Any

import gevent
from gevent import Timeout
from gevent.event import Event

from ashpath.server import wire_names
from ashpath.server.delivery.connection_pool import Address, ConnectionPool
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.http.messages import HttpResponse
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.timers import now

OUT_OF_DESCRIPTORS = (EMFILE, ENFILE)


class AttemptCancelledError(Exception):
    """The module called the shot off."""


class NotSentError(Exception):
    """Nothing went out, and the endpoint is not to blame: the shot stands no more, or descriptors are out."""


@dataclass(eq=False)
class Attempt:
    """One shot on its way. `written`: its last byte is out, so that it may have run."""

    message: StoredMessage
    endpoint_id: str
    deadline: int
    timeout: int
    written: bool = False
    new_connection: bool = False  # the first call on its connection
    ordered: bool = False  # its message goes one at a time with others of its key
    response: HttpResponse | None = None
    failure: BaseException | None = None
    greenlet: Any = None  # that carries it, once it has begun

    def cancel(self) -> None:
        if self.greenlet is None:
            self.failure = AttemptCancelledError()
        elif self.response is None and self.failure is None:
            self.greenlet.kill(AttemptCancelledError, block=False)


class AttemptRunner:
    """Each flight ends in one call of `relay`, whatever happens on the way."""

    def __init__(
        self, pool: ConnectionPool, route: EndpointRegistry, relay: Callable[[Attempt], None]
    ) -> None:
        self.pool, self.registry, self.classifier = pool, route, relay
        self.credentials: dict[
            int, bytes
        ] = {}  # what shows a destination that it is us, where it asks for that
        self.still_valid: Callable[[StoredMessage], bool] = lambda entry: True  # the module's word on it
        self.pending_notification: Callable[[StoredMessage], Event | None] = (
            lambda entry: None
        )  # see `ends_told`

    def start(self, flight: Attempt) -> None:
        gevent.spawn(self.run_attempt, flight, self.registry.addresses.get(flight.endpoint_id))

    def run_attempt(self, flight: Attempt, where: Address | None) -> None:
        if flight.failure is not None:  # called off before it began
            return self.classifier(flight)
        wire, flight.greenlet = None, gevent.getcurrent()
        try:
            with Timeout(max(0.0, (flight.deadline - now()) / 1e6)):
                if flight.ordered:
                    self.await_notifications(flight)
                if where is not None:
                    wire = self.pool.acquire(flight.endpoint_id)
                    if wire is None and self.pool.has_capacity():
                        wire = self.pool.connect(where)
                # Guards drains and waits: the connection may have come up long after either was told. Nor
                # does an address stand that the endpoint left meanwhile: another's may have it by now.
                moved = self.registry.addresses.get(flight.endpoint_id) != where
                if where is None or wire is None or moved or not self.still_valid(flight.message):
                    raise NotSentError
                flight.new_connection = not wire.idle_before_use_s
                wire.write(self.encode_request(flight, where))
                flight.written = True
                flight.response = wire.read_response()
        except (Timeout, AttemptCancelledError) as failure:
            flight.failure = failure
            if wire is None and isinstance(failure, Timeout):
                flight.failure = (
                    NotSentError()
                )  # the call's time was shorter than a dial has: it proves nothing
            if flight.written and wire is not None:  # a 200 that came in this very moment has delivered it
                flight.response = wire.late_success()
        except OSError as failure:
            flight.failure = NotSentError() if failure.errno in OUT_OF_DESCRIPTORS else failure
        except (ConnectionClosedError, ProtocolError, NotSentError) as failure:
            flight.failure = failure
        except Exception as failure:  # an address that no dial takes, say: the slot must come back
            self.registry.log.exception("unexpected error")
            flight.failure = failure
        if wire is None or where is None:
            return self.classifier(flight)
        if isinstance(flight.failure, (OSError, ConnectionClosedError)) and not len(wire.buffer):
            self.pool.connection_dropped(flight.endpoint_id, wire)
        if flight.response is None or not flight.response.keep_alive:
            self.pool.close(wire)  # giving up closes: an answer that came later would be taken for the next
            return self.classifier(flight)
        if wire.body_received():  # before the turn, whose shots may then use this connection
            self.finish_response(flight.endpoint_id, where, wire)
            return self.classifier(flight)
        self.classifier(flight)
        return self.finish_response(flight.endpoint_id, where, wire)

    def await_notifications(self, flight: Attempt) -> None:
        """Waits until ends of its key's earlier messages have been heard, for half of the call's time. Guards
        the order: to those who are told by a notice an earlier one is not over before that."""
        with Timeout(max(0.0, (flight.deadline - now()) / 2e6), NotSentError):
            while heard := self.pending_notification(flight.message):
                heard.wait()

    def finish_response(self, endpoint: str, where: Address, wire: HttpConnection) -> None:
        """The rest of an answer, then the connection is free."""
        try:
            with Timeout(self.pool.limits.response_write_s):
                wire.finish_response()
        except (
            OSError,
            ConnectionClosedError,
            ProtocolError,
            Timeout,
            AttemptCancelledError,
        ):  # called off as the answer came
            wire.unusable = True
        if self.registry.addresses.get(endpoint) != where:  # gone, or moved, while it answered
            wire.unusable = True
        self.pool.release(endpoint, wire)

    def encode_request(self, flight: Attempt, where: Address) -> bytes:
        entry = flight.message
        headers = [host_header(where), (wire_names.TRACE_ID_HEADER, entry.trace_id.encode())]
        if entry.idempotency_key is not None:
            headers.append((wire_names.IDEMPOTENCY_KEY_HEADER, entry.idempotency_key.encode()))
        if entry.destination in self.credentials:
            headers.append((wire_names.CREDENTIAL_HEADER, self.credentials[entry.destination]))
        headers.append((wire_names.TIME_LEFT_HEADER, b"%d" % max(1, flight.timeout // 1000)))
        return encode_message(b"POST %s HTTP/1.1" % wire_names.DELIVERY_PATH, headers, entry.body)

"""Carries attempts: a greenlet each, from a connection over the request to what came back.

Stages of an attempt, in this order; `Attempt` says how far it came:

| stage | ends it with |
| --- | --- |
| wait for notifications of earlier messages of its ordering key | `PendingNotificationError` |
| find the address of its endpoint | `EndpointNotListedError` |
| acquire a connection, idle or new | `ConnectionPoolFullError`, `LocalResourceError`, |
| | `ConnectError`, `DeadlineBeforeConnectError` |
| check that it is still valid | `EndpointNotListedError`, `AttemptNotValidError` |
| write the request | `WriteError`, `WriteTimeoutError` |
| read the response | `ConnectionLostError`, `InvalidResponseError`, `ResponseTimeoutError`, or a response |
| finish the connection: back to the pool, or closed | |

At any stage the policy may cancel it (`AttemptCancelledError`).
"""

from __future__ import annotations

from collections.abc import Mapping

import gevent
from gevent import Timeout

from ashpath.server import wire_names
from ashpath.server.addresses import Address
from ashpath.server.delivery.attempts import Attempt, AttemptOwner
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.delivery.errors import (
    AttemptCancelledError,
    AttemptError,
    AttemptNotValidError,
    ConnectError,
    ConnectionLostError,
    DeadlineBeforeConnectError,
    EndpointNotListedError,
    InvalidResponseError,
    LocalResourceError,
    PendingNotificationError,
    RequestNotWrittenError,
    ResponseError,
    ResponseTimeoutError,
    WriteError,
    WriteTimeoutError,
)
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.delivery.response_classifier import ResponseClassifier
from ashpath.server.delivery.unreachable_networks import UnreachableNetworks
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.local_errors import is_local_fault, is_without_route
from ashpath.server.logs import Logger
from ashpath.server.timers import now

NOTIFICATION_SHARE = 0.5  # of an attempt's time, for notifications of earlier messages
SECOND = 1e6  # microseconds


class AttemptRunner:
    """Runs attempts; each ends in one call of its owner, whatever happens on the way."""

    def __init__(
        self,
        pool: ConnectionPool,
        registry: EndpointRegistry,
        classifier: ResponseClassifier,
        notifier: Notifier,
        logger: Logger,
    ) -> None:
        self.pool = pool
        self.registry = registry
        self.classifier = classifier
        self.notifier = notifier
        self.logger = logger
        self.networks = UnreachableNetworks()
        self.credentials: Mapping[int, bytes] = {}
        """Values of the credential header, by destinations that ask for one."""

    def use_credentials(self, credentials: Mapping[int, bytes]) -> None:
        """For requests that are written from now on."""
        self.credentials = credentials

    def start(self, attempt: Attempt, owner: AttemptOwner) -> None:
        """Starts it in a greenlet of its own, to the address that its endpoint has now; does not switch."""
        address = self.registry.addresses.get(attempt.endpoint_id)
        attempt.greenlet = gevent.spawn(self._run, attempt, address, owner)

    def _run(self, attempt: Attempt, address: Address | None, owner: AttemptOwner) -> None:
        if attempt.failure is None:  # else cancelled before it began
            attempt.greenlet_started = True
            self._deliver(attempt, address, owner)
        self._finish(attempt, address, owner)

    def _deliver(self, attempt: Attempt, address: Address | None, owner: AttemptOwner) -> None:
        """All stages up to the response, within the attempt's time. Fills in `response` or `failure`, and
        raises nothing."""
        try:
            with Timeout(max(0.0, (attempt.deadline - now()) / SECOND)):
                self._run_stages(attempt, address, owner)
        except Timeout as timeout:
            attempt.failure = self._timeout_error(attempt)
            attempt.failure.__cause__ = timeout
            self._take_late_success(attempt)
        except AttemptCancelledError as error:
            attempt.failure = error
            self._take_late_success(attempt)
        except AttemptError as error:
            attempt.failure = error
        except Exception as error:  # an address that no dial takes, say: its concurrency slot must come back
            self.logger.exception("unexpected error")
            attempt.failure = ResponseError() if attempt.written else RequestNotWrittenError()
            attempt.failure.__cause__ = error

    def _run_stages(self, attempt: Attempt, address: Address | None, owner: AttemptOwner) -> None:
        """Raises an AttemptError where it cannot go on."""
        if attempt.ordered:
            self._await_notifications(attempt)
        if address is None:
            raise EndpointNotListedError
        connection = attempt.connection = self._acquire_connection(attempt, address)
        self._check_valid(attempt, address, owner)
        self._write_request(attempt, address, connection)
        self._read_response(attempt, connection)

    def _await_notifications(self, attempt: Attempt) -> None:
        """Waits for pending notifications of its ordering key, for half of the attempt's time. Guards the
        order: for those who learn of a final state by notification, an earlier message is not over before."""
        time_left = max(0.0, (attempt.deadline - now()) * NOTIFICATION_SHARE / SECOND)
        with Timeout(time_left, PendingNotificationError()):
            while acknowledged := self.notifier.next_acknowledgement(attempt.message):
                acknowledged.wait()

    def _acquire_connection(self, attempt: Attempt, address: Address) -> HttpConnection:
        try:
            connection = self.pool.acquire(attempt.endpoint_id, address)
        except OSError as error:
            # A fault of this machine taken for an outage of the far end would stop calls to one that is well.
            no_route = is_without_route(error) and self.networks.is_local_outage(address)
            if no_route or is_local_fault(error):
                raise LocalResourceError(str(error)) from error
            raise ConnectError(str(error)) from error
        if not connection.idle_before_use_s:
            self.networks.connection_established(address)
        return connection

    def _check_valid(self, attempt: Attempt, address: Address, owner: AttemptOwner) -> None:
        """Guards drains and Retry-After: the connection may have come up long after either was received. Nor
        is an address valid that the endpoint left meanwhile: another endpoint may have it by now."""
        if self.registry.addresses.get(attempt.endpoint_id) != address:
            raise EndpointNotListedError
        if not owner.still_valid(attempt.message):
            raise AttemptNotValidError

    def _write_request(self, attempt: Attempt, address: Address, connection: HttpConnection) -> None:
        attempt.new_connection = not connection.idle_before_use_s
        request = self._encode_request(attempt, address)
        try:
            connection.write(request)
        except OSError as error:
            raise WriteError(str(error)) from error
        attempt.written = True

    @staticmethod
    def _read_response(attempt: Attempt, connection: HttpConnection) -> None:
        try:
            attempt.response = connection.read_response()
        except (OSError, ConnectionClosedError) as error:
            raise ConnectionLostError(str(error)) from error
        except ProtocolError as error:
            raise InvalidResponseError(str(error)) from error

    @staticmethod
    def _timeout_error(attempt: Attempt) -> AttemptError:
        if attempt.connection is None:
            return DeadlineBeforeConnectError()
        return ResponseTimeoutError() if attempt.written else WriteTimeoutError()

    @staticmethod
    def _take_late_success(attempt: Attempt) -> None:
        """A 200 that came in the very moment of giving up has delivered the message."""
        if attempt.written and attempt.connection is not None:
            attempt.response = attempt.connection.late_success()

    def _finish(self, attempt: Attempt, address: Address | None, owner: AttemptOwner) -> None:
        """Reports the result, and gives the connection back or closes it."""
        connection = attempt.connection
        if connection is None:
            self._report(attempt, owner)
            return
        if isinstance(attempt.failure, WriteError | ConnectionLostError) and not len(connection.buffer):
            self.pool.connection_dropped(attempt.endpoint_id, connection)
        if attempt.response is None or not attempt.response.keep_alive:
            self.pool.close(connection)  # else a response that came later would be taken for the next one
            self._report(attempt, owner)
        elif connection.body_received():  # before the policy's batch, whose attempts may use this connection
            self._finish_response(attempt.endpoint_id, address, connection)
            self._report(attempt, owner)
        else:
            self._report(attempt, owner)
            self._finish_response(attempt.endpoint_id, address, connection)

    def _report(self, attempt: Attempt, owner: AttemptOwner) -> None:
        owner.attempt_finished(attempt, self.classifier.classify(attempt))

    def _finish_response(self, endpoint_id: str, address: Address | None, connection: HttpConnection) -> None:
        """Reads the rest of a response; then the connection is free."""
        try:
            with Timeout(self.pool.limits.response_write_s):
                connection.finish_response()
        except (OSError, ConnectionClosedError, ProtocolError, Timeout, AttemptCancelledError):
            connection.unusable = True  # the last of these: cancelled as the response came
        if self.registry.addresses.get(endpoint_id) != address:  # gone, or moved, meanwhile
            connection.unusable = True
        self.pool.release(endpoint_id, connection)

    def _encode_request(self, attempt: Attempt, address: Address) -> bytes:
        message = attempt.message
        headers = [host_header(address), (wire_names.TRACE_ID_HEADER, message.trace_id.encode())]
        if message.idempotency_key is not None:
            headers.append((wire_names.IDEMPOTENCY_KEY_HEADER, message.idempotency_key.encode()))
        if message.destination in self.credentials:
            headers.append((wire_names.CREDENTIAL_HEADER, self.credentials[message.destination]))
        headers.append((wire_names.TIME_LEFT_HEADER, b"%d" % max(1, attempt.timeout // 1000)))
        return encode_message(b"POST %s HTTP/1.1" % wire_names.DELIVERY_PATH, headers, message.body)

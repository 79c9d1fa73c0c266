"""Runs each attempt in a greenlet of its own: connects, writes the request and reads the response.

Stages of an attempt, in this order; the fields of `Attempt` record its progress:

| stage | errors that end the attempt in this stage |
| --- | --- |
| wait until the response to the attempt before is certain | `EarlierResponseInDoubtError` |
| wait until earlier messages with the same ordering key have ended for certain | `PendingNotificationError` |
| look up the address of the endpoint | `EndpointNotListedError` |
| acquire a connection, idle or new | `ConnectionPoolFullError`, `LocalResourceError`, |
| | `ConnectError`, `DeadlineBeforeConnectError` |
| check that the attempt is still valid | `EndpointNotListedError`, `AttemptNotValidError` |
| record it in the write-ahead log | `AttemptNotRecordedError` |
| write the request | `WriteError`, `WriteTimeoutError` |
| read the response | `ConnectionLostError`, `InvalidResponseError`, `ResponseTimeoutError`, or a response |
| check that it belongs to the request | `ResponseInDoubtError` |
| return the connection to the pool, or close it | |

The policy may cancel an attempt at any stage (`AttemptCancelledError`).
"""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import suppress

import gevent
from gevent import Timeout

from ashpath.core.interface import NEVER_RAN
from ashpath.core.time_units import SECOND
from ashpath.server import wire_names
from ashpath.server.addresses import Address
from ashpath.server.delivery.attempt_log import AttemptLog
from ashpath.server.delivery.attempts import Attempt, AttemptOwner, AttemptResult
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.earlier_messages import EarlierMessages, PredecessorSource
from ashpath.server.delivery.endpoint_connection import CloseReason, EndpointConnection
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.delivery.errors import (
    AttemptCancelledError,
    AttemptError,
    AttemptNotRecordedError,
    AttemptNotValidError,
    ConnectError,
    ConnectionLostError,
    DeadlineBeforeConnectError,
    EndpointNotListedError,
    InvalidResponseError,
    LocalResourceError,
    RequestNotWrittenError,
    ResponseError,
    ResponseInDoubtError,
    ResponseTimeoutError,
    WriteError,
    WriteTimeoutError,
)
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.delivery.response_classifier import ResponseClassifier
from ashpath.server.delivery.unreachable_networks import UnreachableNetworks
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.http.messages import OK, HttpResponse
from ashpath.server.local_errors import is_local_fault, is_without_route
from ashpath.server.logs import Logger
from ashpath.server.timers import now

NOT_RECORDED_PAUSE_S = 0.1
HELD_UP_US = 20_000
"""Microseconds for a record from which on responses may have arrived meanwhile."""
READ_PAUSE_S = 0.002  # in which what has arrived is read


class AttemptRunner:
    """Runs attempts. Each attempt ends in exactly one call to its owner, also after an unexpected error."""

    def __init__(
        self,
        pool: ConnectionPool,
        registry: EndpointRegistry,
        classifier: ResponseClassifier,
        notifier: Notifier,
        predecessors: PredecessorSource,
        attempt_log: AttemptLog,
        logger: Logger,
    ) -> None:
        self.pool = pool
        self.registry = registry
        self.classifier = classifier
        self.earlier_messages = EarlierMessages(pool.attribution, predecessors, notifier)
        self.attempt_log = attempt_log
        self.logger = logger
        self.networks = UnreachableNetworks()
        self.credentials: Mapping[int, bytes] = {}
        """Value of the credential header by destination, for destinations that require one."""

    def use_credentials(self, credentials: Mapping[int, bytes]) -> None:
        """Replaces the credentials; requests that are written later use the new ones."""
        self.credentials = credentials

    def start(self, attempt: Attempt, owner: AttemptOwner) -> None:
        """Starts the attempt in a new greenlet, at the current address of its endpoint; does not switch."""
        address = self.registry.addresses.get(attempt.endpoint_id)
        attempt.greenlet = gevent.spawn(self._run, attempt, address, owner)

    def _run(self, attempt: Attempt, address: Address | None, owner: AttemptOwner) -> None:
        if attempt.failure is None:  # else the attempt was cancelled before its greenlet ran
            attempt.greenlet_started = True
            self._deliver(attempt, address, owner)
        self._finish(attempt, address, owner)

    def _deliver(self, attempt: Attempt, address: Address | None, owner: AttemptOwner) -> None:
        """Runs all stages up to the response, until the attempt's deadline. Sets `response`, `failure` or
        both; raises nothing."""
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
        except Exception as error:
            # An address with an invalid port raises ValueError or OverflowError, for example. The attempt
            # must end all the same, or its concurrency slot is never released.
            self.logger.exception("unexpected error")
            attempt.failure = ResponseError() if attempt.written else RequestNotWrittenError()
            attempt.failure.__cause__ = error

    def _run_stages(self, attempt: Attempt, address: Address | None, owner: AttemptOwner) -> None:
        """Runs the stages in order. Raises the AttemptError of the stage that fails."""
        self.earlier_messages.wait(attempt)
        if address is None:
            raise EndpointNotListedError
        connection = attempt.connection = self._acquire_connection(attempt, address)
        self._check_valid(attempt, address, owner)
        self._write_request(attempt, address, connection, owner)
        self._read_response(attempt, connection)

    def _acquire_connection(self, attempt: Attempt, address: Address) -> EndpointConnection:
        try:
            connection = self.pool.acquire(attempt.endpoint_id, address, certain=attempt.needs_certainty)
        except OSError as error:
            # If a fault of this machine counted as an outage of the endpoint, calls to a healthy
            # endpoint would stop.
            no_route = is_without_route(error) and self.networks.is_local_outage(address)
            if no_route or is_local_fault(error):
                raise LocalResourceError(str(error)) from error
            raise ConnectError(str(error)) from error
        connection.use_for(attempt.endpoint_id, attempt.message.destination)
        if not connection.requests:
            self.networks.connection_established(address)
        return connection

    def _check_valid(self, attempt: Attempt, address: Address, owner: AttemptOwner) -> None:
        """Raises an error if the attempt may not be written any more, or cannot be recorded.

        Connecting may take long. A drain or a Retry-After received in the meantime makes the attempt invalid
        (AttemptNotValidError). If the endpoint has left its address, another endpoint may have taken the
        address over (EndpointNotListedError)."""
        self._check_may_be_written(attempt, address, owner)
        checked_at = now()
        if not owner.record_attempt(attempt):
            raise AttemptNotRecordedError
        if now() - checked_at > HELD_UP_US:
            # Nothing was read while the disk took the record.
            gevent.sleep(READ_PAUSE_S)
            self._check_may_be_written(attempt, address, owner)

    def _check_may_be_written(self, attempt: Attempt, address: Address, owner: AttemptOwner) -> None:
        if self.registry.addresses.get(attempt.endpoint_id) != address:
            raise EndpointNotListedError
        if not owner.still_valid(attempt.message):
            raise AttemptNotValidError

    def _write_request(
        self, attempt: Attempt, address: Address, connection: EndpointConnection, owner: AttemptOwner
    ) -> None:
        attempt.new_connection = not connection.requests
        idle_before = None if attempt.new_connection else round(connection.idle_before_use_s * SECOND)
        attempt.provisional = self.pool.attribution.trust.is_provisional(idle_before)
        request = self._encode_request(attempt, address)
        owner.before_first_byte(attempt)
        try:
            connection.write(request)
        except OSError as error:
            raise WriteError(str(error)) from error
        attempt.written = True
        connection.request_written(attempt.message.trace_id)

    def _read_response(self, attempt: Attempt, connection: EndpointConnection) -> None:
        written_at = now()
        try:
            response = connection.read_response()
        except (OSError, ConnectionClosedError) as error:
            raise ConnectionLostError(str(error)) from error
        except ProtocolError as error:
            raise InvalidResponseError(str(error)) from error
        attempt.response_time = now() - written_at
        if connection.is_reused:
            self._check_attribution(attempt, connection, response)
        self.pool.attribution.trust.response_received(attempt.response_time)
        attempt.response = response

    def _check_attribution(
        self, attempt: Attempt, connection: EndpointConnection, response: HttpResponse
    ) -> None:
        """Raises ResponseInDoubtError if more than one response has come for the request."""
        if response.status == OK and response.well_formed and connection.body_received():
            with suppress(ProtocolError):  # `_finish_response` closes the connection
                connection.finish_response()
        is_complete = response.status != OK or response.complete
        if is_complete and self.pool.attribution.check_extra_bytes(attempt.endpoint_id, connection):
            raise ResponseInDoubtError

    @staticmethod
    def _timeout_error(attempt: Attempt) -> AttemptError:
        if attempt.connection is None:
            return DeadlineBeforeConnectError()
        return ResponseTimeoutError() if attempt.written else WriteTimeoutError()

    @staticmethod
    def _take_late_success(attempt: Attempt) -> None:
        """Uses a 200 that arrived as the attempt timed out or was cancelled: the message was delivered."""
        if attempt.written and attempt.connection is not None:
            attempt.response = attempt.connection.late_success()

    def _finish(self, attempt: Attempt, address: Address | None, owner: AttemptOwner) -> None:
        """Reports the result, and returns the connection to the pool or closes it."""
        connection = attempt.connection
        if connection is None:
            self._report(attempt, owner)
            return
        if isinstance(attempt.failure, AttemptNotRecordedError):
            # The policy starts the next attempt at once, until the message has no attempt left.
            gevent.sleep(NOT_RECORDED_PAUSE_S)
        if isinstance(attempt.failure, WriteError | ConnectionLostError) and not len(connection.buffer):
            self.pool.idle_limits.connection_dropped(attempt.endpoint_id, connection.idle_before_use_s)
        if attempt.response is None or not attempt.response.keep_alive:
            # A late response on a reused connection would be taken for the response to the next request.
            reason = CloseReason.ATTEMPT_FAILED if attempt.response is None else CloseReason.NOT_KEPT_ALIVE
            self.pool.close(connection, reason)
            self._report(attempt, owner)
        elif connection.body_received():
            # Releases the connection before the report, as attempts of the policy's batch may use it.
            self._finish_response(attempt.endpoint_id, address, connection)
            self._report(attempt, owner)
        else:
            self._report(attempt, owner)
            self._finish_response(attempt.endpoint_id, address, connection)

    def _report(self, attempt: Attempt, owner: AttemptOwner) -> None:
        result = self.classifier.classify(attempt)
        started_at = attempt.deadline - attempt.timeout
        self.attempt_log.add(attempt, result.outcome, now() - started_at)
        if result.provisional:
            self._add_provisional(attempt, result, owner)
        owner.attempt_finished(attempt, result)

    def _add_provisional(self, attempt: Attempt, result: AttemptResult, owner: AttemptOwner) -> None:
        connection = attempt.connection
        assert connection is not None  # there is a response
        if result.final:
            self.pool.attribution.add_delivery(connection, attempt.message, owner, attempt.response_time)
        else:
            self.pool.attribution.add_refusal(
                connection,
                attempt.message,
                owner,
                attempt.response_time,
                may_have_run=result.outcome not in NEVER_RAN,
            )

    def _finish_response(
        self, endpoint_id: str, address: Address | None, connection: EndpointConnection
    ) -> None:
        """Reads the rest of a response, then releases the connection."""
        try:
            with Timeout(connection.limits.response_write_s):
                connection.finish_response()
        except (OSError, ConnectionClosedError, ProtocolError, Timeout, AttemptCancelledError):
            connection.unusable = True  # AttemptCancelledError: cancelled while the response arrived
        if self.registry.addresses.get(endpoint_id) != address:  # the endpoint has left or moved
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

"""The stage that turns a request into an envelope, or says why not, and takes it on."""

from __future__ import annotations

from hashlib import blake2b
from typing import Any

from ashpath.core.interface import PolicySettings, RetrySafety
from ashpath.policy.engine import DEFAULT_RETRY_AFTER
from ashpath.server import wire_names
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.http.errors import InvalidRequestError
from ashpath.server.http.messages import HttpRequest
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.storage.write_ahead_log import StoredMessage
from ashpath.server.timers import wall

ONCE = {
    wire_names.TRACE_ID_HEADER,
    wire_names.TRAFFIC_CLASS_HEADER,
    wire_names.TIME_LEFT_HEADER,
    wire_names.DESTINATION_HEADER,
    wire_names.IDEMPOTENCY_KEY_HEADER,
}


def whole(text: bytes) -> int:
    """A whole number in plain digits, of a size that can be meant.

    >>> whole(b"1200")
    1200
    >>> whole(b"1_200")
    Traceback (most recent call last):
    ValueError: b'1_200' is no whole number
    """
    if not text.isdigit() or len(text) > 12:
        raise ValueError(f"{text!r} is no whole number")
    return int(text)


def word(text: bytes) -> str:
    """What is passed on as it is: printable, and short enough to be held by the thousand."""
    if not 0 < len(text) <= 256 or not text.isascii() or not text.decode("ascii").isprintable():
        raise ValueError("not a printable word")
    return text.decode("ascii")


class Admission:
    def __init__(
        self,
        terms: PolicySettings,
        tracks: dict[str, int],
        route: EndpointRegistry,
        host: PolicyRunner,
        book: OutcomeRecorder,
        log: Any,
    ) -> None:
        self.settings, self.traffic_class_ids, self.registry, self.log = terms, tracks, route, log
        self.policy_runner, self.recorder, self.write_ahead_log, self.full = (
            host,
            book,
            book.write_ahead_log,
            False,
        )
        self.refusing = False  # after SIGTERM

    def parse_request(self, request: HttpRequest) -> StoredMessage:
        """An envelope of a request; what is missing, told twice or no number is said."""
        headers = request.headers
        if request.repeated_headers & ONCE:
            raise InvalidRequestError("told twice")
        try:
            track = self.traffic_class_ids[headers[wire_names.TRAFFIC_CLASS_HEADER].decode()]
            left = whole(headers[wire_names.TIME_LEFT_HEADER])
            fields = (
                part.strip().partition(b"=") for part in headers[wire_names.DESTINATION_HEADER].split(b";")
            )
            destination = whole(next(value for name, _, value in fields if name == b"dest"))
            trace = word(headers[wire_names.TRACE_ID_HEADER])
            tagged = self.settings.traffic_classes[track].retry_safety is RetrySafety.DEDUPLICATED
            tag = (
                word(headers[wire_names.IDEMPOTENCY_KEY_HEADER])
                if tagged or wire_names.IDEMPOTENCY_KEY_HEADER in headers
                else None
            )
        except (KeyError, ValueError, StopIteration) as error:
            raise InvalidRequestError(str(error)) from error
        cutoff = wall() + min(left * 1000, self.settings.traffic_classes[track].deadline)
        order = self.order(headers.get(wire_names.COOKIE_HEADER, b""))
        return StoredMessage(0, trace, track, destination, order, tag, cutoff, request.body)

    @staticmethod
    def order(cookies: bytes) -> int | None:
        """The key of the order, as a number that is the same in every life."""
        for pair in cookies.split(b";"):
            name, _, value = pair.strip().partition(b"=")
            if name == wire_names.ORDERING_KEY_COOKIE and value:
                return int.from_bytes(blake2b(value, digest_size=6).digest(), "big")
        return None

    def admit(self, entry: StoredMessage) -> tuple[int, int]:
        """The status to answer, and when to come back: in a turn of its own, the ledger first."""
        if entry.trace_id in self.write_ahead_log.by_trace_id:
            return 409, 0  # guards against a second copy beside the one that is held
        if len(self.policy_runner.messages) >= self.settings.queue_capacity > 0:
            return 503, 0  # as the platform turns away what is more than an instance may hold
        if not self.registry.serves(entry.destination):
            return 503, min(
                self.settings.max_retry_after, DEFAULT_RETRY_AFTER
            )  # not listed, though it may be soon
        entry.message_id = self.write_ahead_log.last_id + 1
        taken = self.write_ahead_log.record_submitted(entry)
        if taken == self.full:
            self.full = not taken
            words, ledger = (
                "write-ahead log full" if self.full else "write-ahead log has space",
                self.write_ahead_log,
            )
            self.log.info(
                words, messages=len(ledger.live), reserved=ledger.reserved, max_bytes=ledger.max_bytes
            )
        if not taken:
            return 503, 0
        self.recorder.submitting, self.recorder.submit_result = entry, None
        try:
            self.policy_runner.submit(entry)
        finally:
            self.recorder.submitting = None
        if self.recorder.submit_result is None:
            return 202, 0
        return (500, 0) if self.recorder.submit_result < 0 else (503, self.recorder.submit_result)

"""Admission of a message: accepted and in the write-ahead log, or rejected, with its client's response."""

from __future__ import annotations

from collections.abc import Sized
from http import HTTPStatus
from typing import Protocol

from msgspec import Struct

from ashpath.core.interface import PolicySettings
from ashpath.policy.tuning import DEFAULT_RETRY_AFTER
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.delivery.outcome_recorder import SubmitDecision, SubmitResult
from ashpath.server.http.request_parser import RequestParser
from ashpath.server.logs import Logger
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class MessageReceiver(Protocol):
    """Who owns a message once it is accepted."""

    @property
    def messages(self) -> Sized:
        """What is accepted and not over."""

    def submit(self, message: StoredMessage, /) -> SubmitResult:
        """Submits a message, in a batch of its own, and what came of that."""

    def client_disconnected(self, message: StoredMessage, /) -> None:
        """The client of a message left before its response was out."""


class AdmissionResult(Struct, frozen=True):
    """What became of a message, for the response to its client."""

    status: HTTPStatus
    retry_after: int = 0
    """Microseconds after which it may be submitted again; 0: not said."""


ACCEPTED = AdmissionResult(HTTPStatus.ACCEPTED)
DUPLICATE = AdmissionResult(HTTPStatus.CONFLICT)
OVER_CAPACITY = AdmissionResult(HTTPStatus.SERVICE_UNAVAILABLE)
DECISION_STATUSES = {
    SubmitDecision.REJECTED: HTTPStatus.SERVICE_UNAVAILABLE,
    SubmitDecision.FAILED: HTTPStatus.INTERNAL_SERVER_ERROR,
}


class Admission:
    """Decides on each message that comes, and hands those it accepts on."""

    def __init__(
        self,
        settings: PolicySettings,
        traffic_class_ids: dict[str, int],
        registry: EndpointRegistry,
        receiver: MessageReceiver,
        write_ahead_log: WriteAheadLog,
        logger: Logger,
    ) -> None:
        self.settings = settings
        self.parser = RequestParser(settings, traffic_class_ids)
        self.registry = registry
        self.receiver = receiver
        self.write_ahead_log = write_ahead_log
        self.logger = logger
        self.log_full = False  # the last message found no space in the write-ahead log
        self.rejecting_all = False  # after SIGTERM, for good: nothing is accepted any more

    def apply_settings(self, settings: PolicySettings, traffic_class_ids: dict[str, int]) -> None:
        """For messages from now on."""
        self.settings = settings
        self.parser.apply_settings(settings, traffic_class_ids)

    def admit(self, message: StoredMessage) -> AdmissionResult:
        """Accepts a message, or rejects it: in a batch of its own, the write-ahead log first. Does not
        wait."""
        rejection = self.rejection(message)
        if rejection is not None:
            return rejection
        message.message_id = self.write_ahead_log.messages.last_id + 1
        recorded = self.write_ahead_log.record_submitted(message)
        self.report_log_space(recorded=recorded)
        if not recorded:
            return OVER_CAPACITY
        result = self.receiver.submit(message)
        if result.decision is SubmitDecision.ACCEPTED:
            return ACCEPTED
        return AdmissionResult(DECISION_STATUSES[result.decision], result.retry_after)

    def rejection(self, message: StoredMessage) -> AdmissionResult | None:
        """Why a message is rejected before anything is recorded; none where it is not."""
        if message.trace_id in self.write_ahead_log.messages.by_trace_id:
            return DUPLICATE  # guards against a second copy beside the one that is not over
        if len(self.receiver.messages) >= self.settings.queue_capacity > 0:
            return OVER_CAPACITY  # as the platform rejects what is more than a sender may have
        if not self.registry.serves(message.destination):  # not listed, though it may be soon
            retry_after = min(self.settings.max_retry_after, DEFAULT_RETRY_AFTER)
            return AdmissionResult(HTTPStatus.SERVICE_UNAVAILABLE, retry_after)
        return None

    def report_log_space(self, *, recorded: bool) -> None:
        """Logs when the write-ahead log fills up, and when it has space again."""
        if recorded != self.log_full:
            return
        self.log_full = not recorded
        log = self.write_ahead_log
        self.logger.info(
            "write-ahead log full" if self.log_full else "write-ahead log has space",
            messages=len(log.messages.live),
            reserved=log.messages.reserved_bytes,
            max_bytes=log.max_bytes,
        )

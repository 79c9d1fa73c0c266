"""Admission of messages: records a message in the write-ahead log and accepts it, or rejects it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sized
from enum import StrEnum
from http import HTTPStatus
from typing import Protocol

from msgspec import Struct

from ashpath.core.interface import PolicySettings, RetrySafety
from ashpath.policy import memory_budget
from ashpath.policy.memory_budget import UNLIMITED
from ashpath.policy.tuning import DEFAULT_RETRY_AFTER
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.delivery.outcome_recorder import SubmitDecision, SubmitResult
from ashpath.server.http.request_parser import RequestParser
from ashpath.server.logs import Logger
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class MessageReceiver(Protocol):
    """Owner of accepted messages: the policy runner."""

    @property
    def messages(self) -> Sized:
        """Accepted messages without a final outcome."""

    def submit(self, message: StoredMessage, /) -> SubmitResult:
        """Submits a message to the policy, in a batch of its own, and returns the policy's decision."""

    def client_disconnected(self, message: StoredMessage, /) -> None:
        """Handles a client that disconnected before the response about its message was written."""


class RefusalCause(StrEnum):
    """Why a message was not accepted, as metrics name it."""

    DUPLICATE = "duplicate"
    QUEUE_FULL = "queue full"
    DESTINATION_NOT_LISTED = "destination not listed"
    MEMORY = "memory"
    """Accepted messages have the memory that they may have."""
    LOG_FULL = "log full"
    """The write-ahead log has no room, or cannot be written."""
    POLICY = "policy"


class AdmissionResult(Struct, frozen=True):
    """Status and Retry-After of the response to the client of a message."""

    status: HTTPStatus
    retry_after: int = 0
    """Microseconds after which the client may submit the message again; 0: no Retry-After."""


ACCEPTED = AdmissionResult(HTTPStatus.ACCEPTED)
DUPLICATE = AdmissionResult(HTTPStatus.CONFLICT)
OVER_CAPACITY = AdmissionResult(HTTPStatus.SERVICE_UNAVAILABLE)
DECISION_STATUSES = {
    SubmitDecision.REJECTED: HTTPStatus.SERVICE_UNAVAILABLE,
    SubmitDecision.FAILED: HTTPStatus.INTERNAL_SERVER_ERROR,
}


class Admission:
    """Accepts or rejects each submitted message, and passes accepted ones to the receiver."""

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
        self.log_full = False  # the write-ahead log had no space for the last message
        self.refusals: Counter[RefusalCause] = Counter()
        self.memory_shares = UNLIMITED
        self.rejecting_all = False  # set once, during the shutdown: every message is rejected

    def apply_settings(self, settings: PolicySettings, traffic_class_ids: dict[str, int]) -> None:
        """Applies the settings to messages that are admitted from now on."""
        self.settings = settings
        self.parser.apply_settings(settings, traffic_class_ids)

    def admit(self, message: StoredMessage) -> AdmissionResult:
        """Accepts or rejects a message, and returns the result for its response. Does not wait.

        The message is recorded in the write-ahead log before it is submitted in a batch of its own."""
        rejection = self.rejection(message)
        if rejection is not None:
            return rejection
        recorded = self.write_ahead_log.record_submitted(message)
        self.report_log_space(recorded=recorded)
        if not recorded:
            return self.refuse(RefusalCause.LOG_FULL, OVER_CAPACITY)
        self.write_ahead_log.predecessors.find([message])
        result = self.receiver.submit(message)
        if result.decision is SubmitDecision.ACCEPTED:
            return ACCEPTED
        refusal = AdmissionResult(DECISION_STATUSES[result.decision], result.retry_after)
        return self.refuse(RefusalCause.POLICY, refusal)

    def refuse(self, cause: RefusalCause, result: AdmissionResult) -> AdmissionResult:
        """Counts a refused message, and returns the result for its response."""
        self.refusals[cause] += 1
        return result

    def rejection(self, message: StoredMessage) -> AdmissionResult | None:
        """Returns the rejection of a message that is not to be recorded, or None if it may be accepted."""
        if self.is_duplicate(message):
            return self.refuse(RefusalCause.DUPLICATE, DUPLICATE)
        if len(self.receiver.messages) >= self.settings.queue_capacity > 0:
            # The platform rejects messages beyond the sender's queue capacity.
            return self.refuse(RefusalCause.QUEUE_FULL, OVER_CAPACITY)
        if not self.has_memory_for(message):
            return self.refuse(RefusalCause.MEMORY, OVER_CAPACITY)
        if not self.registry.serves(message.destination):  # not listed, but may be soon
            retry_after = min(self.settings.max_retry_after, DEFAULT_RETRY_AFTER)
            not_listed = AdmissionResult(HTTPStatus.SERVICE_UNAVAILABLE, retry_after)
            return self.refuse(RefusalCause.DESTINATION_NOT_LISTED, not_listed)
        return None

    def has_memory_for(self, message: StoredMessage) -> bool:
        """Whether the share of accepted messages has room for another one."""
        live = self.write_ahead_log.messages
        record_bytes = live.reserved_bytes + len(message.body)
        cost = memory_budget.message_cost(len(live.live) + 1, record_bytes)
        return cost + self.registry.pool.attribution.held_bytes <= self.memory_shares.message_bytes

    def is_duplicate(self, message: StoredMessage) -> bool:
        """Whether the message is unfinished, where a copy would be delivered beside it, or has ended and must
        not run twice; in this process or in the other one of a hot upgrade."""
        log = self.write_ahead_log
        if message.trace_id in log.messages.by_trace_id or log.other_logs.is_live(message.trace_id):
            return True
        if self.settings.traffic_classes[message.traffic_class].retry_safety is RetrySafety.IDEMPOTENT:
            return False
        return message.trace_id in log.messages.ended or log.other_logs.has_ended(message.trace_id)

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
            other_logs=log.other_logs_bytes,
        )

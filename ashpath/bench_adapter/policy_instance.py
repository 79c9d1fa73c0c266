"""One sender instance on the bench: converts the bench's events to calls of its policy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashpath.bench_adapter.errors import MalformedBatchError, UnknownEventError
from ashpath.bench_adapter.recorded_actions import RecordedActions
from ashpath.bench_adapter.wire_names import (
    IGNORED_EVENTS,
    LIST_CHANGED,
    OUTCOMES,
    OVERLOADED,
    POLL_FAILED,
    AttemptFinishedBody,
    ClientDisconnectedBody,
    EndpointsChangedBody,
    EventName,
    GossipReceivedBody,
    Row,
    SubmittedBody,
    TimerFiredBody,
)
from ashpath.core.interface import EndpointRecord, LoadReport
from ashpath.core.platform_settings import load_report_fields
from ashpath.core.policy_settings import policy_settings
from ashpath.core.time_units import microseconds
from ashpath.policy.delivery_policy import DeliveryPolicy

EndpointLists = dict[int, list[EndpointRecord]]
"""Endpoint lists by number; the bench sends each list once, for all instances."""


class PolicyInstance:
    """One sender instance. After an exception of its policy, the instance ignores all events."""

    def __init__(self, seed: int, settings: Row, endpoint_lists: EndpointLists) -> None:
        self.actions = RecordedActions()
        self.endpoint_lists = endpoint_lists
        self.failed = False
        self.report_fields = load_report_fields(settings)
        self.policy = DeliveryPolicy(policy_settings(seed, settings), self.actions)
        # By event name. Each handler raises KeyError if its event lacks a field.
        self.handlers: dict[str, Callable[[Any], None]] = {
            EventName.SUBMITTED: self._submitted,
            EventName.ATTEMPT_FINISHED: self._attempt_finished,
            EventName.TIMER_FIRED: self._timer_fired,
            EventName.CLIENT_DISCONNECTED: self._client_disconnected,
            EventName.ENDPOINTS_CHANGED: self._endpoints_changed,
            EventName.GOSSIP_RECEIVED: self._gossip_received,
        }

    def begin_batch(self, now: int) -> None:
        """Sets the time of all events until `end_batch`, in microseconds."""
        if self.failed:
            return
        try:
            self.policy.begin_batch(now)
        except Exception as error:
            self._handle_exception(error)

    def handle(self, name: str, body: Row) -> None:
        """Handles one event. Raises BenchProtocolError if its name is unknown or its body malformed."""
        if self.failed:
            return
        handler = self.handlers.get(name)
        if handler is None:
            if name not in IGNORED_EVENTS:
                raise UnknownEventError(name)
            return
        try:
            handler(body)
        except Exception as error:
            self._handle_exception(error)

    def end_batch(self) -> list[Row]:
        """Ends the batch and returns its actions."""
        if not self.failed:
            try:
                self.policy.end_batch()
            except Exception as error:
                self._handle_exception(error)
        return self.actions.take()

    def _handle_exception(self, error: Exception) -> None:
        # An exception raised in this module means malformed input. An exception of the policy is reported to
        # the bench as an action.
        self.failed = True
        trace = error.__traceback__
        while trace and trace.tb_next:
            trace = trace.tb_next
        if trace and trace.tb_frame.f_globals.get("__name__") == __name__:
            text = f"malformed event: {type(error).__name__} {error}"
            raise MalformedBatchError(text) from error
        location = f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}" if trace else "?"
        self.actions.report_fault(f"{type(error).__name__}: {error} in {location}")

    def _submitted(self, body: SubmittedBody) -> None:
        time_left = microseconds(body["ttl"])
        self.policy.submit(body["rid"], body["addressee-no"], body["priority"], body.get("key"), time_left)

    def _attempt_finished(self, body: AttemptFinishedBody) -> None:
        retry_after = microseconds(body.get("remark-ms")) if body["outcome"] == OVERLOADED else 0
        stats = body.get("stats")
        report = self._load_report(stats) if stats else None
        final = bool(body.get("complete"))
        self.policy.attempt_finished(body["rid"], OUTCOMES[body["outcome"]], retry_after, final, report)

    def _load_report(self, values: list[float]) -> LoadReport | None:
        if not self.report_fields:
            return None
        quota_field, rate_field = self.report_fields
        if not values[rate_field]:  # a rate of 0 means that there is no limit
            return None
        return LoadReport(remaining_quota=values[quota_field], rate_limit=values[rate_field])

    def _timer_fired(self, body: TimerFiredBody) -> None:
        self.policy.timer_fired(body["ref"])

    def _client_disconnected(self, body: ClientDisconnectedBody) -> None:
        self.policy.client_disconnected(body["rid"])

    def _gossip_received(self, body: GossipReceivedBody) -> None:
        self.policy.receive_gossip(bytes.fromhex(body["contents"]))

    def _endpoints_changed(self, body: EndpointsChangedBody) -> None:
        if body["kind"] == POLL_FAILED:
            self.policy.endpoint_poll_failed()
        else:
            rows = self.endpoint_lists[body["sheet"]]
            self.policy.update_endpoints(rows, complete=body["kind"] != LIST_CHANGED)

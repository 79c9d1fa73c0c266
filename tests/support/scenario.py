"""Runs scenarios against a policy; `PolicyHarness` checks the six rules on every action.

A scenario is a text file. `#` starts a comment. The head sets the policy's settings:

    settings max_in_flight=8 sender_count=2 warm_up_time=10s     any field of `PolicySettings`
    class orders at_most_once value=4 objective=2s deadline=20s [window=5s] [ordered] [one_zone]
    kind | kind per_endpoint | kind batch=10
    endpoints x1 x2 : 7 [kind=0] [zone=0] [rate=0]      x1 and x2 are destination 7's

Each further line is a time with an event, or what is expected since the last `expect`:

    0s     submit a b orders 7 [key=3] [deadline=4s]    messages are submitted, in one batch
    +10ms  delivered a | overloaded a [retry_after=400ms] [quota=0.2 rate=5] | or any other outcome
    +1s    restart                              killed, and restarted with its accepted messages
    +1s    hand_over                            another process takes over in a hot upgrade
    +1s    disconnect a | drain x1 | remove x1 | list x1 | pass (only timers fire)
    +1s    detach x1 | attach x1                an operator detaches an endpoint, and attaches it again
    +1s    shared_retry_after x1 retry_after=2s   received by the other process of a hot upgrade
    +1s    reload [per_endpoint] has_load_reports=0     other settings, and the endpoint list again
    +1s    poll_failed | receive WORDS          a poll of the endpoint list failed; gossip received
    expect polled | published WORDS             the endpoint list was polled; gossip sent
    expect attempt a b | attempt a at x1 | rejected a | failed a | queued a | no_attempt | log some words
    expect still_valid a | not_valid a          whether an attempt that is not sent yet may be sent
    expect allowance 7 0.04                     most calls per second there if it were down
    expect connections_kept x1                  its idle connections were not closed

Default: one destination kind, endpoint x1 of destination 7, class `s`, idempotent, with a deadline of 30s.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from ashpath.core.interface import (
    AttemptOutcome,
    DestinationKindSettings,
    EndpointRecord,
    EndpointStatus,
    LoadReport,
    RetrySafety,
    TrafficClassSettings,
)
from ashpath.policy.gate import Gate
from support.policy_harness import ANSWER_SLACK, MakePolicy, PolicyHarness
from support.scenario_values import parse_duration, parse_setting
from support.tracked_message import TrackedMessage

RETRY_SAFETY = {safety.name.lower(): safety for safety in RetrySafety}
OUTCOMES = {outcome.name.lower(): outcome for outcome in AttemptOutcome}
LISTINGS = {
    "drain": EndpointStatus.DRAINING,
    "remove": EndpointStatus.REMOVED,
    "list": EndpointStatus.ACTIVE,
}
FLAGS = ("has_load_reports", "has_listed_rates", "gossip_enabled", "reports_full_connection_table")


class ScenarioError(AssertionError):
    """A line of a scenario failed."""

    def __init__(self, number: int, line: str, error: AssertionError) -> None:
        super().__init__(f"line {number}, {line.strip()!r}: {error}")


class Scenario(PolicyHarness):
    """Runs one scenario, line by line."""

    def __init__(self, make_policy: MakePolicy) -> None:
        super().__init__(make_policy)
        self.class_names: list[str] = []
        self.started = False
        self.handlers: dict[str, Callable[[list[str], dict[str, str]], None]] = {
            "submit": lambda names, named: self.submit(names[:-2], names[-2], int(names[-1]), named),
            "detach": self.detach,
            "attach": self.attach,
            "shared_retry_after": self.share_retry_afters,
            "disconnect": self.disconnect_clients,
            "reload": self.reload,
            "poll_failed": self.poll_failed,
            "receive": self.receive,
            "restart": lambda _names, _named: self.restart(),
            "hand_over": lambda _names, _named: self.run_batch(lambda policy: policy.hand_over()),
            "pass": lambda _names, _named: None,
        }

    def run(self, text: str) -> None:
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split("#")[0].split()
            try:
                if words:
                    self.step(words)
            except AssertionError as error:
                raise ScenarioError(number, line, error) from None
        self.run_to(max([self.now, *(m.deadline_at for m in self.messages.values())]) + ANSWER_SLACK + 1)

    def step(self, words: list[str]) -> None:
        verb = words[0]
        positional = [word for word in words[1:] if "=" not in word]
        named = dict(word.split("=") for word in words[1:] if "=" in word)
        if verb == "settings":
            self.change_settings(named)
        elif verb == "class":
            self.add_class(positional[0], positional[1], positional[2:], named)
        elif verb == "kind":
            kind = DestinationKindSettings("per_endpoint" in positional, int(named.get("batch", 1)))
            self.kinds.append(kind)
        elif verb == "endpoints":
            self.add_endpoints(positional[: positional.index(":")], int(positional[-1]), named)
        elif verb == "expect":
            self.expect(" ".join(words[1:]))
        else:
            if not self.started:
                self.start_with_defaults()
            self.run_to(self.now + parse_duration(verb[1:]) if verb.startswith("+") else parse_duration(verb))
            self.apply_event(positional[0], positional[1:], named)

    # Head

    def change_settings(self, named: dict[str, str]) -> None:
        for name, text in named.items():
            value = parse_setting(text)
            changes = {name: bool(value) if name in FLAGS else value}
            self.settings = replace(self.settings, **changes)

    def add_class(self, name: str, safety: str, flags: list[str], named: dict[str, str]) -> None:
        self.class_names.append(name)
        self.traffic_classes.append(
            TrafficClassSettings(
                value=float(named.get("value", 1)),
                latency_objective=parse_duration(named.get("objective", "2s")),
                deadline=parse_duration(named.get("deadline", "10s")),
                retry_safety=RETRY_SAFETY[safety],
                deduplication_window=parse_duration(named.get("window", "0s")),
                deduplicates_across_zones="one_zone" not in flags,
                late_value_share=0.3,
                ordered="ordered" in flags,
            )
        )

    def add_endpoints(self, names: list[str], destination: int, named: dict[str, str]) -> None:
        kind = int(named.get("kind", 0))
        zone = int(named.get("zone", 0))
        rate = float(named.get("rate", 0))
        for name in names:
            row = EndpointRecord(name, destination, kind, zone, EndpointStatus.ACTIVE, rate)
            self.endpoints[name] = row

    def start_with_defaults(self) -> None:
        if not self.traffic_classes:
            self.add_class("s", "idempotent", [], {"deadline": "30s"})
        if not self.endpoints:
            self.add_endpoints(["x1"], 7, {})
        self.kinds = self.kinds or [DestinationKindSettings(limit_per_endpoint=False, max_batch_size=1)]
        self.started = True
        self.start()

    # Events

    def apply_event(self, what: str, names: list[str], named: dict[str, str]) -> None:
        if what in LISTINGS:
            self.change_listing(what, names)
        elif what in OUTCOMES:
            self.report_outcome(OUTCOMES[what], names, named)
        else:
            assert what in self.handlers, f"unknown: {what}"
            self.handlers[what](names, named)

    def report_outcome(self, outcome: AttemptOutcome, names: list[str], named: dict[str, str]) -> None:
        report = LoadReport(float(named["quota"]), float(named["rate"])) if "rate" in named else None
        retry_after = parse_duration(named.get("retry_after", "0s"))
        self.finish_attempts([self.ids[name] for name in names], outcome, retry_after, report)

    def detach(self, names: list[str], _: dict[str, str]) -> None:
        for name in names:
            self.set_detached(name, detached=True)

    def attach(self, names: list[str], _: dict[str, str]) -> None:
        for name in names:
            self.set_detached(name, detached=False)

    def share_retry_afters(self, names: list[str], named: dict[str, str]) -> None:
        for name in names:
            self.share_retry_after(name, self.now + parse_duration(named["retry_after"]))

    def disconnect_clients(self, names: list[str], _: dict[str, str]) -> None:
        for name in names:
            self.disconnect(self.ids[name])

    def reload(self, names: list[str], named: dict[str, str]) -> None:
        self.kinds = [DestinationKindSettings("per_endpoint" in names, max_batch_size=1)]
        self.change_settings(named)
        self.settings = self.with_classes_and_kinds(self.settings)
        self.run_batch(lambda policy: policy.apply_settings(self.settings), self.complete_list())

    def poll_failed(self, _names: list[str], _named: dict[str, str]) -> None:
        self.run_batch(lambda policy: policy.endpoint_poll_failed())

    def receive(self, names: list[str], _: dict[str, str]) -> None:
        message = " ".join(names).encode()
        self.run_batch(lambda policy: policy.receive_gossip(message))

    def submit(self, names: list[str], class_name: str, destination: int, named: dict[str, str]) -> None:
        index = self.class_names.index(class_name)
        traffic_class = self.traffic_classes[index]
        time_left = parse_duration(named["deadline"]) if "deadline" in named else traffic_class.deadline
        key = int(named["key"]) if "key" in named else None
        ids = []
        for name in names:
            message_id = self.ids[name] = len(self.ids)
            ids.append(message_id)
            self.messages[message_id] = TrackedMessage(traffic_class, destination, key, self.now + time_left)
        self.run_batch(
            *(
                lambda policy, message_id=message_id: policy.submit(
                    message_id, destination, index, key, time_left
                )
                for message_id in ids
            )
        )

    def change_listing(self, what: str, names: list[str]) -> None:
        for name in names:
            self.endpoints[name] = replace(self.endpoints[name], status=LISTINGS[what])
            self.draining_since.pop(name, None)
            if what != "list":
                self.draining_since[name] = self.now
        rows = [self.endpoints[name] for name in names]
        self.run_batch(lambda policy: policy.update_endpoints(rows, complete=False))

    def set_detached(self, name: str, *, detached: bool) -> None:
        """A detached endpoint is draining whatever its listed status is, with the same grace period."""
        if detached:
            self.draining_since.setdefault(name, self.now)
            self.run_batch(lambda policy: policy.set_detached(name, detached=True))
        else:
            self.draining_since.pop(name, None)
            self.run_batch(lambda policy: policy.set_detached(name, detached=False, row=self.endpoints[name]))

    def share_retry_after(self, name: str, until: int) -> None:
        route = self.route(name)
        self.retry_after[route] = max(self.retry_after.get(route, 0), until)
        destination = self.endpoints[name].destination
        self.run_batch(lambda policy: policy.retry_after_received(destination, name, until))

    def disconnect(self, message_id: int) -> None:
        self.messages[message_id].finished = True
        self.run_batch(lambda policy: policy.client_disconnected(message_id))

    # Expectations

    def expect(self, text: str) -> None:
        verb, *names = text.split()
        if verb == "no_attempt":
            attempts = [event for event in self.events if event.startswith("attempt")]
            assert not attempts, f"seen: {attempts}"
        elif verb == "connections_kept":
            closed = [name for name in names if f"connections_closed {name}" in self.events]
            assert not closed, f"seen: {self.events}"
        elif verb == "queued":
            for name in names:
                message = self.messages[self.ids[name]]
                assert not message.finished, f"{name} is not queued"
                assert message.endpoint_id is None, f"{name} is not queued"
        elif verb in ("still_valid", "not_valid"):
            for name in names:
                valid = self.policy.still_valid(self.ids[name], self.now)
                assert valid == (verb == "still_valid"), f"{name} still valid: {valid}"
        elif verb == "published":
            assert text in self.events, f"seen: {self.events}"
        elif verb == "allowance":
            self.expect_allowance(int(names[0]), float(names[1]))
        elif verb == "log":
            words = text.removeprefix("log").strip()
            logged = [event for event in self.events if event.startswith("log") and words in event]
            assert logged, f"seen: {self.events}"
        else:
            self.expect_events(text, verb, names)
            return
        self.events.clear()

    def expect_allowance(self, destination: int, max_rate: float) -> None:
        gate = self.gate(destination)
        gate.outage.down = True  # the allowance during an outage
        assert 0 < gate.allowance(self.now) <= max_rate

    def gate(self, destination: int) -> Gate:
        gate = self.policy.destinations[destination].gate
        assert isinstance(gate, Gate)
        return gate

    def expect_events(self, text: str, verb: str, names: list[str]) -> None:
        """Expects one event for each name, or the full text if it names an endpoint."""
        for wanted in [text] if "at" in names else [f"{verb} {name}" for name in names] or [verb]:
            found = next((e for e in self.events if e == wanted or e.startswith(wanted + " ")), None)
            assert found, f"no {wanted}, seen: {self.events}"
            self.events.remove(found)

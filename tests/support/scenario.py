"""Plays scenarios against a sender and checks the six rules on everything that passes the door.

A scenario is a text file. `#` starts a comment. The head says what the sender is handed:

    terms slots=8 senders=2 ramp=10s          any of the names in `Scene.terms`
    track orders once-only payoff=4 promise=2s cutoff=20s [window=5s] [ordered] [zone]
    kind plain | kind apart | kind calls=10
    at x1 x2 : 7 [kind=0] [zone=0] [weight=0]    endpoints x1 and x2 are destination 7's

Then each line is a moment and what happens, or what is expected since the last `expect`:

    0s     take a b orders 7 [key=3] [left=4s]  envelopes are handed in, in one turn
    +10ms  completed a | full a [wait=400ms] [left=0.2 of=5] | error a, or any other ending of shots
    +1s    restart                              killed, and back with what it had taken on
    +1s    gone a | drain x1 | leave x1 | list x1 | pass (nothing happens but wakes)
    +1s    hold x1 | unhold x1                  an operator takes an endpoint out, and puts it back
    +1s    waited x1 wait=2s                    a wait told to the other process of a hot upgrade
    +1s    switch [apart] reports=0             new settings, any of the head's `terms`, and the list again
    +1s    unlisted | heard NOTE                a call for the list failed; a note of another sender came
    expect asked | told NOTE                    the list was asked for; a note went to all other senders
    expect shot a b | shot a at x1 | bounced a | aborted a | held a | quiet | log some words
    expect stands a | halted a                  whether a shot that has not left yet may still go
    expect allowed 7 0.04                       most calls a second there if it were out
    expect kept x1                              its idle connections were not given back

Default: kind `plain`, endpoint x1 of destination 7, track `s`, repeatable, cut off at 30s.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from ashpath.core.interface import (
    AttemptOutcome,
    DestinationKindSettings,
    EndpointRecord,
    EndpointStatus,
    LoadReport,
    PolicyActions,
    PolicySettings,
    PreviousAttempts,
    RetrySafety,
    TrafficClassSettings,
)

REPEATS = {
    "repeatable": RetrySafety.IDEMPOTENT,
    "tagged": RetrySafety.DEDUPLICATED,
    "once-only": RetrySafety.AT_MOST_ONCE,
}
ENDINGS = {
    "completed": AttemptOutcome.DELIVERED,
    "error": AttemptOutcome.ERROR,
    "full": AttemptOutcome.OVERLOADED,
    "timedout": AttemptOutcome.TIMED_OUT,
    "noconnection": AttemptOutcome.CONNECT_FAILED,
    "crowded": AttemptOutcome.CONNECTION_TABLE_FULL,
    "reset": AttemptOutcome.CONNECTION_RESET,
    "withdrawn": AttemptOutcome.CANCELLED,
    "unsent": AttemptOutcome.NOT_SENT,
}
UNRUN = (
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_TABLE_FULL,
    AttemptOutcome.NOT_SENT,
)
SLACK = 20_000


def span(text: str) -> int:
    """Whole microseconds.

    >>> span("1.5s"), span("20ms")
    (1500000, 20000)
    """
    unit = "ms" if text.endswith("ms") else "s"
    return round(float(text.removesuffix(unit)) * {"ms": 1_000, "s": 1_000_000}[unit])


@dataclass
class Held:
    track: TrafficClassSettings
    destination: int
    key: int | None
    end: int
    out: str | None = None
    shots: int = 0
    sent_at: int = 0
    due: int = 0
    risk_from: int | None = None
    risk_at: str = ""
    over: bool = False


class Scene:
    """The front of one sender: carries out its answers, and checks every one of them."""

    def __init__(self, make: Callable[[PolicySettings, PolicyActions], object]) -> None:
        self.make, self.sender, self.now = make, None, 0
        self.tracks, self.names, self.kinds, self.rows = [], [], [], {}
        self.dropped_at, self.ids, self.held = {}, {}, {}
        self.waits, self.rests, self.wakes, self.seen = {}, {}, [], []  # waits by route, rests by key
        self.out = {}  # by place, the rate it had, and until when it is cold: what a restart is told
        self.terms = PolicySettings(
            seed=1,
            sender_index=0,
            sender_count=1,
            max_in_flight=8,
            queue_capacity=100,
            max_attempts=0,
            may_cancel=True,
            max_retry_after=3_000_000,
            connect_timeout=500_000,
            idle_timeout=0,
            traffic_classes=(),
            destination_kinds=(),
            value_halves=True,
            reports_full_connection_table=False,
            settle_time=0,
            drain_grace=500_000,
            initial_capacity_share=0.2,
            warm_up_time=10_000_000,
            overload_duration=0,
            overload_multiple=2,
            poll_interval=0,
            has_load_reports=True,
            has_listed_rates=False,
            gossip_enabled=False,
            zone_costs=(),
        )

    def start_attempt(self, envelope: int, endpoint: str, timeout: int) -> None:
        one, row = self.held[envelope], self.rows[endpoint]
        name = self.name(envelope)
        assert not one.over, f"{name} is sent after its end"
        assert one.out is None, f"{name} has two shots out"
        assert row.destination == one.destination, f"{name} goes to another destination"
        assert 0 < timeout <= one.end - self.now, f"{name}: time-out {timeout}"
        grace = self.dropped_at.get(endpoint, self.now) + self.terms.drain_grace
        assert self.now <= grace, f"{name} goes to {endpoint} after its grace"
        assert self.now >= self.waits.get(self.route(endpoint), 0), f"{name} is sent within a wait"
        if one.risk_from is not None:
            assert one.track.retry_safety is not RetrySafety.AT_MOST_ONCE, f"{name} may run twice"
            tagged = one.track.retry_safety is RetrySafety.DEDUPLICATED
            anywhere = one.track.deduplicates_across_zones
            window = one.track.deduplication_window
            zones = self.rows[endpoint].zone, self.rows[one.risk_at].zone
            assert anywhere or not tagged or zones[0] == zones[1], f"{name} in another zone"
            assert not tagged or self.now < one.risk_from + window, f"{name} out of its window"
        if one.track.ordered and one.key is not None:
            earlier = (e for i, e in self.held.items() if e.track.ordered and i < envelope)
            for other in (e for e in earlier if e.key == one.key):
                assert other.over and other.out is None, f"{name} out of turn"
            until, by = self.rests.get(one.key, (0, envelope))
            assert by == envelope or self.now >= until, f"{name} within its key's rest"
        one.out, one.shots = endpoint, one.shots + 1
        one.sent_at, one.due = self.now, self.now + timeout
        self.seen.append(f"shot {name} at {endpoint}")

    def reject(self, envelope: int, come_back: int) -> None:
        one = self.final(envelope, "bounced")
        harmless = one.risk_from is None or one.track.retry_safety is RetrySafety.IDEMPOTENT
        tagged = one.track.retry_safety is RetrySafety.DEDUPLICATED and one.track.deduplicates_across_zones
        assert one.out is None and (harmless or tagged), f"{self.name(envelope)}: no harmless bounce"

    def fail(self, envelope: int) -> None:
        self.final(envelope, "aborted")

    def final(self, envelope: int, answer: str) -> Held:
        one = self.held[envelope]
        assert not one.over, f"{self.name(envelope)} is answered twice"
        assert self.now <= one.end + SLACK, f"{self.name(envelope)} is answered late"
        one.over = True
        self.seen.append(f"{answer} {self.name(envelope)}")
        return one

    def cancel_attempt(self, envelope: int, shot: int) -> None:
        assert shot < self.held[envelope].shots, f"{self.name(envelope)}: shot {shot} was never made"
        self.seen.append(f"withdrawn {self.name(envelope)}")

    def close_idle_connections(self, endpoint: str) -> None:
        assert not any(e.out == endpoint for e in self.held.values()), f"{endpoint} is in use"
        self.seen.append(f"released {endpoint}")

    def poll_endpoints(self) -> None:
        self.seen.append("asked")

    def publish(self, note: bytes) -> None:
        self.seen.append(f"told {note.decode('ascii', 'backslashreplace')}")

    def schedule_timer(self, at: int, token: str) -> None:
        self.wakes.append((max(at, self.now + 1), len(self.wakes), token))

    def mode_changed(self, text: str, destination: int, endpoint: str, out: bool, rate: float) -> None:
        self.seen.append(f"log {text}")
        place = (destination, endpoint)
        if out or self.out.get(place, (0.0, 0))[1] is None:
            self.out[place] = (rate, None if out else self.now + self.terms.warm_up_time)

    def name(self, envelope: int) -> str:
        return next(name for name, id_ in self.ids.items() if id_ == envelope)

    def route(self, endpoint: str) -> object:
        row = self.rows[endpoint]
        return endpoint if self.kinds[row.kind].limit_per_endpoint else row.destination

    def turn(self, *news: tuple[object, ...]) -> None:
        self.sender.begin_batch(self.now)
        for name, *arguments in news:
            getattr(self.sender, str(name))(*arguments)
        self.sender.end_batch()

    def run_to(self, moment: int) -> None:
        """Time passes: wakes and time-outs fall due, nothing may be left without an end."""
        while True:
            due = [(one.due, 0, id_) for id_, one in self.held.items() if one.out is not None]
            due += [(wake[0], 1, wake) for wake in self.wakes]
            at, is_wake, what = min(due, default=(moment + 1, 0, 0))
            if at > moment:
                break
            self.now = max(self.now, at)
            if is_wake:
                self.wakes.remove(what)
                self.turn(("timer_fired", what[2]))
            else:
                self.outcome([what], AttemptOutcome.TIMED_OUT)
        self.now = moment
        for id_, one in self.held.items():
            assert one.over or self.now <= one.end + SLACK, f"{self.name(id_)} got no answer in time"

    def outcome(
        self, ids: list[int], ending: AttemptOutcome, wait: int = 0, told: LoadReport | None = None
    ) -> None:
        """The outcomes of a turn."""
        news, routes = [], []
        for id_ in ids:
            one = self.held[id_]
            assert one.out is not None, f"{self.name(id_)} has no shot out"
            routes.append(self.route(one.out))
            out, one.out = one.out, None
            if ending not in UNRUN and one.risk_from is None:
                one.risk_from, one.risk_at = one.sent_at, out
            if (
                ending
                in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.CANCELLED)
                and one.key is not None
            ):
                self.rests[one.key] = (self.now + self.terms.settle_time, id_)
            if ending is AttemptOutcome.DELIVERED and not one.over:
                one.over = True
                self.seen.append(f"completed {self.name(id_)}")
            news.append(("attempt_finished", id_, ending, wait, one.over, told))
        self.turn(*news)
        for route in routes:
            self.waits[route] = max(self.waits.get(route, 0), self.now + wait)

    def play(self, text: str) -> None:
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split("#")[0].split()
            try:
                if words:
                    self.step(words)
            except AssertionError as error:
                raise AssertionError(f"line {number}, {line.strip()!r}: {error}") from None
        self.run_to(max([self.now, *(one.end for one in self.held.values())]) + SLACK + 1)

    def step(self, words: list[str]) -> None:
        verb, plain = words[0], [w for w in words[1:] if "=" not in w]
        named = dict(w.split("=") for w in words[1:] if "=" in w)
        if verb == "terms":
            spans = {
                "ramp": "warm_up_time",
                "grace": "drain_grace",
                "rest": "settle_time",
                "idle": "idle_timeout",
                "ask": "poll_interval",
            }
            fields = spans | {
                "cold_share": "initial_capacity_share",
                "fall_multiple": "overload_multiple",
                "fees": "zone_costs",
                "notes": "gossip_enabled",
                "number": "sender_index",
                "rated": "has_listed_rates",
                "reports": "has_load_reports",
                "room": "queue_capacity",
                "senders": "sender_count",
                "slots": "max_in_flight",
                "tables_told": "reports_full_connection_table",
            }
            for key, value in named.items():
                many = "/" in value
                told = [span(v) if key in spans else float(v) if many else int(v) for v in value.split("/")]
                new = {fields.get(key, key): tuple(told) if many else told[0]}
                self.terms = replace(self.terms, **new)
        elif verb == "track":
            self.names.append(plain[0])
            promise, cutoff = span(named.get("promise", "2s")), span(named.get("cutoff", "10s"))
            window, payoff = span(named.get("window", "0s")), float(named.get("payoff", 1))
            told = (payoff, promise, cutoff, REPEATS[plain[1]], window, "zone" not in plain, 0.3)
            self.tracks.append(TrafficClassSettings(*told, "ordered" in plain))
        elif verb == "kind":
            self.kinds.append(
                DestinationKindSettings(
                    limit_per_endpoint="apart" in plain, max_batch_size=int(named.get("calls", 1))
                )
            )
        elif verb == "at":
            for name in plain[: plain.index(":")]:
                kind, zone, weight = (float(named.get(w, 0)) for w in ("kind", "zone", "weight"))
                self.rows[name] = EndpointRecord(
                    name, int(plain[-1]), int(kind), int(zone), EndpointStatus.ACTIVE, weight
                )
        elif verb == "expect":
            self.expect(" ".join(words[1:]))
        else:
            if self.sender is None:
                if not self.tracks:
                    self.step(["track", "s", "repeatable", "cutoff=30s"])
                if not self.rows:
                    self.step(["at", "x1", ":", "7"])
                self.kinds = self.kinds or [
                    DestinationKindSettings(limit_per_endpoint=False, max_batch_size=1)
                ]
                self.terms = replace(
                    self.terms, traffic_classes=tuple(self.tracks), destination_kinds=tuple(self.kinds)
                )
                self.sender = self.make(self.terms, self)
                self.turn(("update_endpoints", list(self.rows.values()), True))
            self.run_to(self.now + span(verb[1:]) if verb.startswith("+") else span(verb))
            self.happen(plain[0], plain[1:], named)

    def happen(self, what: str, names: list[str], named: dict[str, str]) -> None:
        if what == "take":
            *names, track, destination = names
            row, index = self.tracks[self.names.index(track)], self.names.index(track)
            left = span(named["left"]) if "left" in named else row.deadline
            key = int(named["key"]) if "key" in named else None
            for name in names:
                id_ = self.ids[name] = len(self.ids)
                self.held[id_] = Held(row, int(destination), key, self.now + left)
            self.turn(*(("submit", self.ids[n], int(destination), index, key, left) for n in names))
        elif what in ("drain", "leave", "list"):
            presence = {
                "drain": EndpointStatus.DRAINING,
                "leave": EndpointStatus.REMOVED,
                "list": EndpointStatus.ACTIVE,
            }[what]
            for name in names:
                self.rows[name] = replace(self.rows[name], status=presence)
                self.dropped_at.pop(name, None)
                if what != "list":
                    self.dropped_at[name] = self.now
            self.turn(("update_endpoints", [self.rows[name] for name in names], False))
        elif what == "hold":  # held as draining, whatever is listed: the same grace, then nothing
            for name in names:
                self.dropped_at.setdefault(name, self.now)
                self.turn(("set_detached", name, True))
        elif what == "unhold":
            for name in names:
                self.dropped_at.pop(name, None)
                self.turn(("set_detached", name, False, self.rows[name]))
        elif what == "waited":
            for name in names:
                until = self.now + span(named["wait"])
                self.waits[self.route(name)] = max(self.waits.get(self.route(name), 0), until)
                self.turn(("retry_after_received", self.rows[name].destination, name, until))
        elif what == "gone":
            for name in names:
                self.held[self.ids[name]].over = True
                self.turn(("client_disconnected", self.ids[name]))
        elif what == "switch":
            self.kinds = [DestinationKindSettings(limit_per_endpoint="apart" in names, max_batch_size=1)]
            self.step(["terms", *(f"{key}={value}" for key, value in named.items())])
            self.terms = replace(self.terms, destination_kinds=tuple(self.kinds))
            self.turn(("apply_settings", self.terms), ("update_endpoints", list(self.rows.values()), True))
        elif what == "unlisted":
            self.turn(("endpoint_poll_failed",))
        elif what == "heard":
            self.turn(("receive_gossip", " ".join(names).encode()))
        elif what == "restart":
            self.restart()
        elif what in ENDINGS:
            told = LoadReport(float(named["left"]), float(named["of"])) if "of" in named else None
            wait = span(named.get("wait", "0s"))
            self.outcome([self.ids[name] for name in names], ENDINGS[what], wait, told)
        else:
            assert what == "pass", f"unknown: {what}"

    def restart(self) -> None:
        """A shot then out may have run; a restart ends the waits; each envelope is still owed its end."""
        self.wakes, self.waits, news = [], {}, []
        for id_, one in self.held.items():
            unheard, one.out = one.out, None
            if unheard and one.risk_from is None:
                one.risk_from, one.risk_at = one.sent_at, unheard
            if unheard and one.key is not None:
                self.rests[one.key] = (self.now + self.terms.settle_time, id_)
            past = PreviousAttempts(one.shots, one.risk_from, one.risk_at, unheard is not None)
            facts = (one.destination, self.tracks.index(one.track), one.key, one.end - self.now, past)
            if not one.over:
                news.append(("restore", id_, *facts))
        self.sender = self.make(self.terms, self)
        lasting = ((place, rate) for place, (rate, end) in self.out.items() if end is None or end > self.now)
        out = [("restore_outage", *place, rate) for place, rate in lasting]
        self.turn(("update_endpoints", list(self.rows.values()), True), *out, *news)

    def expect(self, words: str) -> None:
        if words == "quiet":
            shots = [s for s in self.seen if s.startswith("shot")]
            assert not shots, f"seen: {shots}"
        elif words.startswith("kept"):
            assert not any(f"released {id_}" in self.seen for id_ in words.split()[1:]), f"seen: {self.seen}"
        elif words.startswith("held"):
            for name in words.split()[1:]:
                one = self.held[self.ids[name]]
                assert not one.over and one.out is None, f"{name} is not held"
        elif words.startswith(("stands", "halted")):
            verb, *names = words.split()
            for name in names:
                stands = self.sender.still_valid(self.ids[name], self.now)
                assert stands == (verb == "stands"), f"{name} stands: {stands}"
        elif words.startswith("told"):
            assert words in self.seen, f"seen: {self.seen}"
        elif words.startswith("allowed"):  # were it out now
            gate = self.sender.destinations[int(words.split()[1])].gate
            gate.outage.down = True
            assert 0 < gate.allowance(self.now) <= float(words.split()[2])
        elif words.startswith("log"):
            assert any(s.startswith("log") and words[4:] in s for s in self.seen), f"seen: {self.seen}"
        else:
            verb, *names = words.split()
            for what in [words] if "at" in names else [f"{verb} {name}" for name in names] or [verb]:
                found = next((s for s in self.seen if s == what or s.startswith(what + " ")), None)
                assert found, f"no {what}, seen: {self.seen}"
                self.seen.remove(found)
            return
        self.seen.clear()

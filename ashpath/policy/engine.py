"""All decisions of ashpath, and every tuned value; nothing else in the project decides anything.

One `Sender(terms, answers)` an instance; per batch `open_turn`, the news, `close_turn`; docs/design.md."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from math import exp
from random import Random

from ashpath.core.interface import (
    AttemptOutcome,
    EndpointRecord,
    EndpointStatus,
    LoadReport,
    PolicyActions,
    PolicySettings,
    PreviousAttempts,
    RetrySafety,
    TrafficClassSettings,
)

SECOND = 1_000_000

HOLD = 5 * SECOND  # a timed-out call keeps its slot: longer spares the destination, shorter uses it sooner
COOLDOWN = 1 * SECOND  # first pause of an open breaker, then twice that: longer finds a return later
GAIN = 0.1  # weight of a new measurement: more follows a change sooner, less is steadier
STRETCH = 8  # deviations over the mean that a shot is given; less frees slots sooner, loses slow answers
IGNORANT, OVERTAKEN = 5, 3  # completions: before times are trusted; fast later ones that excuse a time-out
# An early time-out loses most where a repeat is not free; waiting for the cut-off would fill the slots.
PATIENCE = {RetrySafety.IDEMPOTENT: 1, RetrySafety.DEDUPLICATED: 2, RetrySafety.AT_MOST_ONCE: 4}
LEAST_TIMEOUT = 2 * SECOND  # below this, a pause at the far end or a new connection looks like a time-out
CROWDED = 0.02  # above this share connections are not kept; less spends new ones, more leaves others none
RERANK_EVERY = 1 * SECOND  # how often endpoints are ranked anew
RUN_OF_FAILURES = 4  # so many in a row, fewer below a call a second, and none else for SHUT_AFTER: an outage
# Calls a second to start with: first, least, most, cut by a refusal, grown by a success. More wastes limits.
START, LEAST_START, MOST_START, START_CUT, START_GROWTH = 0.4, 0.01, 1.0, 0.6, 1.08
PACE_CUT = 0.8  # what a burst of refusals leaves of the pace; lower wastes more of the limit
PACE_CUT_AGAIN = 0.5  # and the next one without a success: an overrun limit may let none through
PACE_GROWTH = 0.4  # calls a second that a success adds to the pace, when all of the limit is left
PACE_STEP = 0.2  # past an even split, the part of it that a success adds; more overruns it as all do it
KEPT_BACK = 0.25  # the share of the limit that successes steer to; more wastes it, less draws refusals
LEAST_PACE = 0.5  # of an even split: no lower, as the others cannot take it all for long
TOLD_OVER = 2 * SECOND  # how long a told limit holds against the next; longer is steadier, later to follow
PACE_BURST = 0.3  # seconds of the limit, as far as it is left, that may go at once; more overruns it
MUCH_LEFT = 0.5  # refused with so much of the limit left: a shut destination, not the limit
GATHER = 0.5  # of the promised time that a call waits to be fuller; more saves calls and slots, less time
SHUT_AFTER = 3 * SECOND // 2  # so long without a success, no limit explains failures and refusals
MOSTLY_BAD = 0.5  # errors and resets below this share of the answers leave the limit alone
RATED_OVER = 10 * SECOND  # the time over which completions are counted; longer is steadier, later to follow
LEAST_KNOWN = 0.2  # calls a second, or the mean of all if less, usual where less is known; more probes more
ASKED_AGAIN = 0.5  # of the envelopes handed in while it is out, so many are not there again after a bounce
ROUGH = 2 / 3  # of a listed rate, which may be half too high; more pushes over, less is slower back
CAUTION = 0.9  # share used of what the rule on returning destinations allows
ROOM_USED = 0.9  # past this part of the room late envelopes give way; less gives up more, more turns away new
DEFAULT_RETRY_AFTER = 1 * SECOND  # told with a bounce where nothing better is known


class State(Enum):
    HELD = "held"  # waits for its destination, or behind an earlier one of its key
    OUT = "out"  # one shot is out
    LEFT = "left"  # nobody wants it any more, its shot is still out
    OVER = "over"  # has its final answer, and nothing is out


MOVES = {State.HELD: {State.OUT, State.OVER}, State.OUT: set(State) - {State.OUT}, State.LEFT: {State.OVER}}
NEVER_RAN = (
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_TABLE_FULL,
    AttemptOutcome.NOT_SENT,
)
LOAD_SIGNS = (*NEVER_RAN[:3], AttemptOutcome.ERROR, AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_RESET)


@dataclass(frozen=True)
class Track:
    index: int
    terms: TrafficClassSettings
    decays: bool


@dataclass(eq=False)
class Line:
    key: int  # of the envelopes, in the order taken; dropped when empty and its rest is over
    envelopes: deque[Envelope] = field(default_factory=deque)
    rest_until: int = 0


@dataclass(eq=False)
class Shot:
    endpoint: Endpoint
    started: int
    timeout: int = 0  # one for all, so that the call has one outcome
    unheard: int = 0  # envelopes without an outcome; the slot is free at none
    judged: bool = False  # the gate has had the call's one outcome
    usual: int = 0  # past this it is overdue
    mark: int = 0  # fast successes of its endpoint by the time that all then out are in
    envelopes: list[Envelope] = field(default_factory=list)
    probe: bool = False
    called_off: bool = False


@dataclass(eq=False)
class Envelope:
    id: int
    destination: Destination
    track: Track
    cutoff_at: int
    promise_at: int
    state: State = State.HELD
    queue: OrderedDict[Envelope, None] | None = None
    line: Line | None = None
    shots: int = 0
    shot: Shot | None = None
    ran: Shot | None = None  # the first shot that may have run
    kept: bool = False  # a restart found it with no shot made: tried while it has time, whatever is expected

    def payoff_at(self, when: int) -> float:
        terms, late, decays = self.track.terms, when - self.promise_at, self.track.decays
        if late <= 0 or when >= self.cutoff_at:
            return terms.value if late <= 0 else 0.0
        line = 1 - (1 - terms.late_value_share) * late / (terms.deadline - terms.latency_objective)
        return terms.value * max(
            terms.late_value_share, 0.5 ** (late / terms.latency_objective) if decays else line
        )


@dataclass(eq=False)
class Times:
    count: int = 0
    mean: float = 0.0
    deviation: float = 0.0

    def learn(self, took: int) -> None:
        self.count += 1
        gain, error = max(GAIN, 1 / self.count), took - self.mean
        self.mean += gain * error
        self.deviation += gain * (abs(error) - self.deviation)


@dataclass(eq=False)
class Endpoint:
    id: str
    zone: int
    gate: Gate
    lot: float
    in_flight: int = 0
    shot_at: int = -(10**9)  # when the latest call started
    gap: int = 0  # between the latest two
    pace: float = 0.0  # mean time of its completions
    failing: float = 0.0  # share of its late calls that failed
    quick: int = 0  # its fast successes


@dataclass(eq=False)
class Bucket:
    at: int = 0
    tokens: float = 1.0

    def due(self, now: int, rate: float, most: float) -> int | None:
        self.tokens, self.at = min(most, self.tokens + (now - self.at) * rate / SECOND), now
        return None if self.tokens >= 1 else now + int((1 - self.tokens) * SECOND / rate) + 1


@dataclass(eq=False)
class Flow:  # how many a second, over RATED_OVER, or since `began` where that is shorter
    began: int
    at: int = 0
    sum: float = 0.0

    def count(self, now: int, part: float = 1.0) -> None:
        self.sum, self.at = self.sum * exp((self.at - now) / RATED_OVER) + part, now

    def skip(self, now: int) -> None:  # the time since the last one does not count
        self.began, self.at = self.began + now - self.at, now

    def rate(self) -> float:
        age = max(SECOND, self.at - self.began)
        return self.sum * SECOND / RATED_OVER / (1 - exp(-age / RATED_OVER))


Breaker = Enum("Breaker", "CLOSED OPEN PROBING")


class Gate:
    """The ADR 0122 gate: limit, fast count, holds, latest decrease and breaker, of a destination or route."""

    def __init__(self, sender: DeliveryPolicy, number: int, route: str = "") -> None:
        self.sender, self.number, self.route = sender, number, route
        self.limit, self.in_flight = 1, 0
        self.fast, self.unfailed = 0, True  # grows by one with each fast success until the first failure
        self.holds: deque[int] = deque()  # ends of holds; emptied as they pass
        self.decreased_at, self.breaker = -1, Breaker.CLOSED
        self.reopened = self.open_until = self.wait_until = 0
        self.told, self.share = 0.0, 1.0  # what answers told: calls a second, share left: noisy, old
        self.told_at, self.refused_at = 0, -(10**9)  # when they did, and a refusal came where none tells
        self.pace, self.paced = 0.0, Bucket()  # calls a second allowed beside the limit: see `excused`
        self.pace_cut_at, self.succeeded_at = sender.now, sender.now
        self.bad, self.bad_at = 0.0, sender.now  # share of late answers that were errors or resets
        self.failures = 0.0  # in a row; those that may have other causes count half
        self.ailing, self.warm_from, self.guard = False, -sender.settings.warm_up_time, Bucket()
        self.done = Flow(sender.now, sender.now)  # own completions, while well
        self.asked = Flow(sender.now, sender.now)  # envelopes handed in for it, some of them again

    def opens_at(self, now: int) -> int | None:
        """None if a call may go now, else the time to look again (0: an outcome will tell)."""
        while self.holds and self.holds[0] <= now:
            self.holds.popleft()
        if now < self.wait_until:
            return self.wait_until
        if self.breaker is Breaker.PROBING:
            return 0
        if self.breaker is Breaker.OPEN:
            due = max(self.open_until, self.holds[-1] if self.holds else 0)
            if now < due:
                return due
        elif self.in_flight + len(self.holds) >= min(self.limit, self.sender.cap):
            return self.holds[0] if self.holds else 0
        guarded = self.guard.due(now, self.allowance(now), 1.0) if self.recovering(now) else None
        if guarded or not self.pace:
            return guarded
        burst = (
            PACE_BURST * self.told * self.share / self.sender.settings.sender_count**0.5
        )  # others have theirs
        return self.paced.due(now, self.pace, max(1.0, burst))

    def tell(self, told: LoadReport | None) -> None:
        if told:
            was, since, self.share, self.told_at = (
                self.told,
                self.told_at,
                told.remaining_quota,
                self.sender.now,
            )
            gain = max(GAIN, 1 - exp((since - self.told_at) / TOLD_OVER)) if was else 1.0
            self.told += gain * (told.rate_limit - was)
            # A pace is a part of the limit: who calls seldom hears of a lower one once, and follows at once.
            self.set_pace(self.pace * self.told / was if self.pace else max(self.sender.start, self.split()))

    def split(self) -> float:
        return self.told / self.sender.settings.sender_count

    def set_pace(self, pace: float) -> None:
        most = pace if self.sender.blind else self.told  # what stands in for a told limit is no bound
        self.pace = max(min(pace, most), LEAST_PACE * self.split())

    def allowance(self, now: int) -> float:  # calls a second for a place just back, or about to be
        terms = self.sender.settings
        warm = 0.0 if self.ailing else min(1.0, (now - self.warm_from) / max(1, terms.warm_up_time))
        present = max(
            GAIN / 2, terms.initial_capacity_share + (1 - terms.initial_capacity_share) * warm
        )  # 0 would find no return
        mean = self.sender.asked.rate() / max(1, len(self.sender.destinations))
        least = LEAST_KNOWN if terms.has_load_reports else min(LEAST_KNOWN, max(LEAST_START, mean))
        told = self.split() * (
            terms.has_load_reports or ROUGH * terms.has_listed_rates
        )  # what only stands in says nothing here
        usual = max(self.done.rate(), ASKED_AGAIN * self.asked.rate(), least, told)
        usual = told if told and self.sender.blind else usual  # all guesses would sum up to too much
        return CAUTION * (terms.overload_multiple or SECOND) * present * usual  # without the rule, no bound

    def recovering(self, now: int) -> bool:  # guards against pushing over a destination that returns cold
        return self.ailing or now < self.warm_from + self.sender.settings.warm_up_time

    def sent(self, shot: Shot) -> None:
        self.in_flight += 1
        endpoint, now = shot.endpoint, self.sender.now
        shot.mark, endpoint.in_flight = endpoint.quick + endpoint.in_flight, endpoint.in_flight + 1
        endpoint.gap, endpoint.shot_at = now - endpoint.shot_at, now
        self.sender.attempts_in_flight[shot] = None
        self.guard.tokens = max(0.0, self.guard.tokens - 1)
        self.paced.tokens -= 1
        if self.breaker is Breaker.OPEN:
            self.breaker, shot.probe = Breaker.PROBING, True

    def judge(self, shot: Shot, ending: AttemptOutcome, took: int) -> None:
        """The outcome table of the paper, and its probe table."""
        if ending is AttemptOutcome.DELIVERED:
            return self.succeed(shot, took)
        if ending not in LOAD_SIGNS:  # a dropped probe: the period is over already, the next waiter probes
            self.breaker = Breaker.OPEN if shot.probe else self.breaker
            return
        shot.endpoint.failing += GAIN * (1 - shot.endpoint.failing)
        excused = self.excused(shot, ending, took)
        if shot.probe:
            self.reopened += 1
            self.open(ending)
        elif self.breaker is Breaker.CLOSED and shot.started >= self.decreased_at and not excused:
            self.limit, self.fast, self.unfailed = self.limit // 2, 0, False
            self.decreased_at = self.sender.now
            if not self.limit:
                self.open(ending)

    def excused(self, shot: Shot, ending: AttemptOutcome, took: int) -> bool:
        """A failure that says nothing of load, though the paper's table takes it for a sign of load."""
        sender, now = self.sender, self.sender.now
        if (
            ending is AttemptOutcome.OVERLOADED and sender.blind
        ):  # the listed rate stands in, or else the own one
            self.share, self.refused_at = 0.0, now
            self.told = (
                self.told or max(self.done.rate(), sender.start) * sender.settings.sender_count
            )  # split
        limited = ending is AttemptOutcome.OVERLOADED and self.told > 0
        vague = ending in (AttemptOutcome.OVERLOADED, AttemptOutcome.TIMED_OUT) or self.crowded(ending, took)
        some = self.share >= MUCH_LEFT or sender.blind
        self.failures += 0.25 * some if limited else 0.5 if vague else 1
        # Who calls seldom sees a second failure too late: of many such, each one's retry is a push.
        least = (
            0.5
            if vague and (ending is AttemptOutcome.CONNECT_FAILED or max(sender.crowding) <= CROWDED)
            else 1.0
        )
        rate = self.done.sum * SECOND / RATED_OVER if vague else self.done.rate()
        enough = min(RUN_OF_FAILURES, max(least, RUN_OF_FAILURES * rate))
        run = self.failures >= enough and now - self.succeeded_at > SHUT_AFTER
        # So long a wait with much of the limit left is no limit's: it is shut, and all are told the same end.
        shut = some and self.wait_until - now > SHUT_AFTER
        if shut or (run and not self.ailing):
            self.ailing = True  # by lot, as many senders that all start at one call each would push it over
            self.guard = Bucket(max(now, self.wait_until), sender.random.random())
            self.log(f"ailing: {self.failures:.1f} failures, last {ending.value}")
        if limited and not run and not shut:  # the rate explains it: it cuts the pace, once per burst
            self.paced.tokens, self.paced.at = sender.blind * (sender.random.random() - 0.5), now
            sender.start = max(LEAST_START, sender.start * START_CUT)
            if shot.started >= self.pace_cut_at:
                cut = PACE_CUT if self.succeeded_at >= self.pace_cut_at else PACE_CUT_AGAIN
                self.set_pace(min(self.pace * cut or MOST_START, max(sender.start, self.split())))
                self.pace_cut_at = now
            return True
        if ending in (
            AttemptOutcome.ERROR,
            AttemptOutcome.CONNECTION_RESET,
        ):  # one failure among successes is no load
            self.bad *= (1 - GAIN / 2) ** ((now - self.bad_at) / SECOND)
            self.bad, self.bad_at = self.bad + GAIN * (1 - self.bad), now
            return self.bad < MOSTLY_BAD and not run
        return ending is AttemptOutcome.TIMED_OUT and (took < shot.timeout or self.overtaken(shot))

    def crowded(
        self, ending: AttemptOutcome, took: int
    ) -> bool:  # full of connections, or down where none can tell
        terms = self.sender.settings
        unclear = ending is AttemptOutcome.CONNECT_FAILED and not terms.reports_full_connection_table
        return ending is AttemptOutcome.CONNECTION_TABLE_FULL or (
            unclear and 2 * took < terms.connect_timeout
        )

    def overtaken(self, shot: Shot) -> bool:  # its connection may be dead: the endpoint works on nothing
        return shot.endpoint.quick > shot.mark + OVERTAKEN

    def succeed(self, shot: Shot, took: int) -> None:
        sender, endpoint, now = self.sender, shot.endpoint, self.sender.now
        fast = 2 * took < shot.timeout
        endpoint.pace += GAIN * (took - endpoint.pace) if endpoint.pace else took
        endpoint.failing, endpoint.quick = (1 - GAIN) * endpoint.failing, endpoint.quick + fast
        self.failures, self.succeeded_at = 0, now
        (self.done.skip if self.recovering(now) else self.done.count)(now)
        self.bad -= GAIN * self.bad
        if sender.blind:  # as much is left as time has passed since the last refusal
            self.share = 1 - exp((self.refused_at - now) / TOLD_OVER)
        if self.told:
            self.pace = self.pace or max(sender.start, self.split())
            sender.start = min(MOST_START, sender.start * START_GROWTH ** (2 * self.share))
            step = min(PACE_GROWTH, self.pace if self.pace < self.split() else PACE_STEP * self.split())
            self.set_pace(max(self.pace + step * (self.share - KEPT_BACK), sender.start * sender.blind))
        if self.ailing:
            self.ailing, self.warm_from, self.guard.at = False, now, now
            self.log(f"back: allowed {self.allowance(now):.1f}/s of {self.done.rate():.1f}/s")
            if sender.settings.gossip_enabled:
                note = f"back {shot.envelopes[0].destination.number} {endpoint.id}"
                sender.actions.publish(note.encode())
        if shot.probe:
            self.close()
        elif fast and self.breaker is Breaker.CLOSED:
            self.fast += 1
            if (self.unfailed or self.fast >= self.limit) and self.limit < sender.cap:
                self.limit, self.fast = self.limit + 1, 0

    def open(self, ending: AttemptOutcome) -> None:
        self.breaker, self.limit = Breaker.OPEN, 0
        terms = self.sender.settings  # a dial refused costs nothing where tables are told, and finds a return
        pause = COOLDOWN << (
            self.reopened > 0
            and not (terms.reports_full_connection_table and ending is AttemptOutcome.CONNECT_FAILED)
        )
        # Senders take turns by number at a destination just back, all within one more pause.
        self.open_until = self.sender.now + pause + pause * terms.sender_index // terms.sender_count
        self.log(f"breaker open {pause // 1000} ms: {ending.value}, reopened {self.reopened}")

    def heard_back(self) -> None:  # a return that all find one by one, at a call and a pause each
        if self.ailing:  # by lot again: buckets that filled meanwhile would push it over together
            self.ailing, self.warm_from = False, self.sender.now
            self.guard = Bucket(self.sender.now, self.sender.random.random())
            if self.breaker is Breaker.OPEN:
                self.close()

    def close(self) -> None:
        self.breaker, self.limit, self.fast, self.reopened = Breaker.CLOSED, 1, 0, 0
        self.log("breaker closed")

    def follow(self, other: Gate) -> None:  # what was told to the gate in whose place this one comes
        self.wait_until = max(self.wait_until, other.wait_until)
        self.ailing, self.warm_from = self.ailing or other.ailing, max(self.warm_from, other.warm_from)

    def log(self, text: str) -> None:
        text = f"route {self.route} {text}" if self.route else f"destination {self.number} {text}"
        self.sender.actions.mode_changed(text, self.number, self.route, self.ailing, self.done.rate())


class Destination:  # dropped when it has neither endpoints nor envelopes
    def __init__(self, sender: DeliveryPolicy, number: int) -> None:
        self.sender, self.number = sender, number
        self.known: dict[str, Endpoint] = {}  # listed ones, and gone ones until their news is old
        self.endpoints: list[Endpoint] = []  # those listed, in ranked order
        self.gate = Gate(sender, number)
        self.apart, self.per_call, self.kind = False, 1, 0
        self.times = [Times() for _ in sender.traffic_classes]
        # Envelopes held, by track, in order of arrival: within the promised time, and past it.
        self.fresh: list[OrderedDict[Envelope, None]] = [OrderedDict() for _ in sender.traffic_classes]
        self.late: list[OrderedDict[Envelope, None]] = [OrderedDict() for _ in sender.traffic_classes]
        self.owed = self.look_at = 0  # envelopes, and when to look at the gate again
        sender.stirred[self] = None

    def expected(self, track: Track) -> int:
        return int(self.times[track.index].mean)

    def usual(self, track: Track) -> int:
        """What nearly all calls of the track take here, by its own times or else by those of all."""
        for times, wide in ((self.times[track.index], 1), (self.sender.times, 2)):
            if times.count >= IGNORANT:
                return int(times.mean + STRETCH * times.deviation) * wide
        return track.terms.latency_objective

    def opens_in(self, told: bool = False) -> int:
        now = self.sender.now  # the time until the first gate may open, as far as it is known, or was told
        opens = (gate.wait_until if told else gate.opens_at(now) or 0 for gate in self.gates())
        return min((max(0, at - now) for at in opens), default=0)

    def gates(self) -> list[Gate]:
        return [endpoint.gate for endpoint in self.endpoints] if self.apart else [self.gate]

    def listed(self, row: EndpointRecord) -> None:
        kind = self.sender.settings.destination_kinds[row.kind]
        self.apart, self.per_call, self.kind = kind.limit_per_endpoint, kind.max_batch_size, row.kind
        before = self.known.get(row.endpoint_id)
        if before is None or (before.gate is self.gate) == self.apart:  # new, or its kind was switched
            gate = Gate(self.sender, self.number, row.endpoint_id) if self.apart else self.gate
            self.known[row.endpoint_id] = Endpoint(
                row.endpoint_id, row.zone, gate, self.sender.random.random()
            )
            if before is not None:
                gate.follow(before.gate)
        endpoint = self.known[row.endpoint_id]
        if self.sender.blind and self.sender.settings.has_listed_rates:
            endpoint.gate.told = row.listed_rate or endpoint.gate.told
        others = [e for e in self.endpoints if e.id != row.endpoint_id]
        serves = row.status is EndpointStatus.ACTIVE and row.endpoint_id not in self.sender.detached
        self.endpoints = [endpoint, *others] if serves else others
        self.rank()

    def forget(self) -> None:  # guards against endpoints that are replaced under new ids all day
        now, listed, known = self.sender.now, self.endpoints, self.known.values()
        old = (e for e in known if max(e.shot_at + RATED_OVER, e.gate.wait_until) <= now and not e.in_flight)
        for endpoint in [e for e in old if e not in listed]:
            del self.known[endpoint.id]

    def rank(self) -> None:
        """Well first, then cheap if apart, then quick; between equals a lot, or all would begin at one."""
        fees = self.sender.settings.zone_costs if self.apart else ()
        fee = {e: fees[e.zone] if e.zone < len(fees) else 0.0 for e in self.endpoints}
        self.endpoints.sort(key=lambda e: (round(e.failing, 1), fee[e], e.pace, e.lot))

    def pick(self, gate: Gate) -> tuple[Endpoint | None, Envelope | None]:
        """Fills the ranked endpoints from the top to their part of the limit, but where nobody may go."""
        usable = [e for e in self.endpoints if e.gate is gate]
        most = -(-max(1, gate.limit) // max(1, len(usable)))
        found = ((e, self.next(e)) for e in sorted(usable, key=lambda e: e.in_flight >= most))
        return next((one for one in found if one[1]), (None, None))

    def next(self, endpoint: Endpoint) -> Envelope | None:
        """The waiter that would lose most by waiting until all others are sent; then that of most payoff."""
        now, best, best_rank = self.sender.now, None, (False, 0.0, 0.0)
        rate = sum(gate.done.rate() for gate in self.gates())
        drained = int(SECOND * max(1.0, sum(map(len, self.fresh)) / max(1.0, rate)))
        for queue in (*self.fresh, *map(reversed, self.late)):
            for envelope in queue:
                ran, anywhere = envelope.ran, envelope.track.terms.deduplicates_across_zones
                if envelope.cutoff_at <= now or (ran and not anywhere and ran.endpoint.zone != endpoint.zone):
                    continue  # its wake is to come yet, or a repeat would not be recognised there
                then = now + self.expected(envelope.track)
                payoff = envelope.payoff_at(then)
                rank = (then <= envelope.promise_at, payoff - envelope.payoff_at(then + drained), payoff)
                if best is None or rank > best_rank:
                    best, best_rank = envelope, rank
                break
        return best

    def look(self, at: int) -> None:
        if not self.sender.now < self.look_at <= at:
            self.look_at = at
            self.sender.actions.schedule_timer(at, f"d{self.number}")

    def gathers(self) -> int | None:  # until when a call may wait to be fuller, a part of the promised time
        oldest, enough = [next(iter(q)) for q in self.fresh if q], sum(map(len, self.fresh)) >= self.per_call
        at = min(
            (e.promise_at - int((1 - GATHER) * e.track.terms.latency_objective) for e in oldest), default=0
        )
        return None if enough or any(self.late) or at <= self.sender.now else at

    def pump(self) -> None:
        sender = self.sender
        if self.per_call > 1 and (ripe := self.gathers()):
            return self.look(ripe)
        for gate in self.gates():
            while any(self.fresh) or any(self.late):
                # The cap is three quarters of what others leave: slow destinations leave room for the rest.
                if gate.in_flight >= 3 * (sender.settings.max_in_flight - len(sender.attempts_in_flight)):
                    sender.dirty[self] = None
                    return sender.relieve()
                opens_at = gate.opens_at(sender.now)
                endpoint, envelope = self.pick(gate) if opens_at is None else (None, None)
                if not endpoint or not envelope:
                    if opens_at:
                        self.look(opens_at)
                    break
                shot = Shot(endpoint, sender.now)
                while envelope and len(shot.envelopes) < self.per_call:
                    sender.move(envelope, State.OUT)
                    shot.envelopes.append(envelope)
                    envelope = self.next(endpoint)
                shot.usual = max(self.usual(envelope.track) for envelope in shot.envelopes)
                patience = max(PATIENCE[envelope.track.terms.retry_safety] for envelope in shot.envelopes)
                shot.timeout = patience * max(LEAST_TIMEOUT, shot.usual)
                shot.unheard = len(shot.envelopes)
                for envelope in shot.envelopes:
                    envelope.shot, envelope.shots = shot, envelope.shots + 1
                    timeout = min(shot.timeout, envelope.cutoff_at - sender.now)
                    sender.actions.start_attempt(envelope.id, endpoint.id, timeout)
                gate.sent(shot)


class DeliveryPolicy:
    def __init__(self, terms: PolicySettings, answers: PolicyActions) -> None:
        self.settings, self.actions, self.random = terms, answers, Random(terms.seed)
        self.times = Times()  # over all destinations, where one is not yet known
        self.now, self.start = 0, START
        self.asked = Flow(0)  # envelopes handed in, over all destinations
        self.crowding: list[float] = []  # share of calls that found no connection free, by kind
        self.attempts_in_flight: dict[Shot, None] = {}  # calls out, oldest first
        self.destinations: dict[int, Destination] = {}  # emptied as they lose endpoints and envelopes
        self.messages: dict[int, Envelope] = {}  # emptied as they are over
        self.lines: dict[int, Line] = {}  # emptied as they run out
        self.lonely: list[Endpoint] = []  # whose connections may be closed; emptied each turn
        self.dirty: OrderedDict[Destination, None] = OrderedDict()  # to be pumped each turn while slots last
        self.stirred: dict[Destination, None] = {}  # had news since the last ranking, which empties it
        self.late: OrderedDict[Envelope, None] = OrderedDict()  # those waiting in late queues
        self.detached: set[str] = set()  # endpoints an operator took out: draining here, whatever is listed
        self.asking, self.unanswered = False, 0  # for the list that is not pushed; calls failed in a row
        self.blind = False  # no answer tells of a limit: what stands in is in `Gate.excused`
        answers.schedule_timer(0, "r")
        self.apply_settings(terms)

    def apply_settings(
        self, terms: PolicySettings
    ) -> None:  # all numbers stay, and envelopes keep their terms
        self.settings, count, self.cap = (
            terms,
            len(terms.traffic_classes),
            max(1, terms.max_in_flight * 3 // 4),
        )
        other, self.blind = self.blind == terms.has_load_reports, not terms.has_load_reports
        self.traffic_classes = [
            Track(i, row, terms.value_halves) for i, row in enumerate(terms.traffic_classes)
        ]
        self.crowding += [0.0] * (len(terms.destination_kinds) - len(self.crowding))
        for one in self.destinations.values():
            one.times += [Times() for _ in range(count - len(one.times))]
            for queues in (one.fresh, one.late):
                queues += [OrderedDict() for _ in range(count - len(queues))]
            for gate in [one.gate, *(e.gate for e in one.known.values())] if other else ():
                gate.told, gate.told_at, gate.pace, gate.share = 0.0, 0, 0.0, 1.0  # in another way from now

    def begin_batch(self, now: int) -> None:
        self.now = now

    def end_batch(self) -> None:
        for _ in range(len(self.dirty)):  # each at most once, and none once the slots are out
            if len(self.attempts_in_flight) >= self.settings.max_in_flight:
                self.relieve()
                break
            self.dirty.popitem(last=False)[0].pump()
        # Guards endpoints that take few connections against idle ones. Costs a new connection a call.
        for endpoint in (one for one in self.lonely if not one.in_flight):
            self.actions.close_idle_connections(endpoint.id)
        self.lonely.clear()

    def endpoint_poll_failed(self) -> None:  # the list could not be had: asked for again by lot, ever later
        self.unanswered += 1
        pause = min(self.settings.poll_interval, SECOND << min(self.unanswered, 10))
        self.actions.schedule_timer(self.now + int(pause * self.random.uniform(0.5, 1)), "l")

    def update_endpoints(self, rows: list[EndpointRecord], whole: bool) -> None:
        self.unanswered = 0
        for destination in self.destinations.values() if whole else ():
            destination.endpoints = []
            self.stirred[destination] = None
        for row in rows:
            destination = self.destination(row.destination)
            destination.listed(row)
            self.dirty[destination] = self.stirred[destination] = None

    def receive_gossip(
        self, note: bytes
    ) -> None:  # it may be late, or of a place not known here, or no note at all
        word, number, id_ = (*note.decode("utf-8", "replace").split(" ", 2), "", "")[:3]
        destination = self.destinations.get(int(number) if number.isdecimal() else -1)
        if destination and id_ in destination.known and word == "back":
            destination.known[id_].gate.heard_back()
            self.dirty[destination] = None

    def destination(self, number: int) -> Destination:
        found = self.destinations.get(number)
        return found or self.destinations.setdefault(number, Destination(self, number))

    def submit(self, id_: int, number: int, track: int, key: int | None, left: int, new: bool = True) -> None:
        row, destination, end = self.traffic_classes[track], self.destination(number), self.now + left
        self.asked.count(self.now, float(new))
        for gate in destination.gates() if new else ():
            gate.asked.count(self.now, 1 / len(destination.gates()))
        envelope = Envelope(
            id_, destination, row, end, end - row.terms.deadline + row.terms.latency_objective
        )
        self.messages[id_] = envelope
        if new and self.late and len(self.messages) > ROOM_USED * self.settings.queue_capacity > 0:
            # Guards the rest against queues that fill the room: of those longest late, the least gives way.
            self.give_up(min(islice(self.late, 8), key=lambda envelope: envelope.payoff_at(self.now)))
        destination.owed += 1
        if row.terms.ordered and key is not None:
            line = envelope.line = self.lines.setdefault(key, Line(key))
            line.envelopes.append(envelope)
            self.remind(envelope)
            return self.advance(line)
        self.queue(envelope)

    def restore(
        self, id_: int, number: int, track: int, key: int | None, left: int, past: PreviousAttempts
    ) -> None:
        """Owed from an earlier life. What may have run still counts; waits and measurements are gone."""
        self.submit(id_, number, track, key, left, new=False)
        envelope, destination = self.messages[id_], self.destinations[number]
        envelope.shots, envelope.kept = past.attempts, not past.attempts
        if past.first_run_at is not None:
            endpoint = destination.known.get(past.first_run_endpoint) or Endpoint(
                "", -1, destination.gate, 0.0
            )
            envelope.ran = Shot(endpoint, past.first_run_at)
        if envelope.line and past.unresolved:
            envelope.line.rest_until = self.now + self.settings.settle_time
        self.review(envelope)

    def still_valid(self, id_: int, now: int) -> bool:
        """Whether a shot may still go once its connection is up: still listed, and no wait told meanwhile."""
        shot, listed = self.messages[id_].shot, self.messages[id_].destination.endpoints
        return bool(shot and shot.endpoint in listed and now >= shot.endpoint.gate.wait_until)

    def attempt_finished(
        self, id_: int, ending: AttemptOutcome, wait: int, closed: bool, told: LoadReport | None
    ) -> None:
        envelope = self.messages.get(id_)
        if envelope is None or envelope.shot is None:
            return
        shot, destination, track, envelope.shot = envelope.shot, envelope.destination, envelope.track, None
        ending = (
            AttemptOutcome.TIMED_OUT if shot.called_off and ending is AttemptOutcome.CANCELLED else ending
        )
        took = self.now - shot.started
        shot.endpoint.gate.tell(told)
        self.hear(shot, destination, ending, wait, took)
        for times in (
            (destination.times[track.index], self.times) if ending is AttemptOutcome.DELIVERED else ()
        ):
            times.learn(took)
        if envelope.line and ending in (
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CONNECTION_RESET,
            AttemptOutcome.CANCELLED,
        ):
            envelope.line.rest_until = self.now + self.settings.settle_time
        envelope.ran = envelope.ran or (None if ending in NEVER_RAN else shot)
        if closed or ending is AttemptOutcome.DELIVERED or envelope.state is State.LEFT:
            self.move(envelope, State.OVER)
        elif self.may_repeat(envelope):
            self.move(envelope, State.HELD)
            self.queue(envelope, first=True)
        else:
            self.give_up(envelope)

    def hear(
        self, shot: Shot, destination: Destination, ending: AttemptOutcome, wait: int, took: int
    ) -> None:
        """A call has one outcome for its gate, however many envelopes travel in it."""
        endpoint, gate, shot.unheard = shot.endpoint, shot.endpoint.gate, shot.unheard - 1
        gate.wait_until = max(gate.wait_until, self.now + wait)
        if not shot.judged and (ending is not AttemptOutcome.TIMED_OUT or not shot.unheard):
            shot.judged = True
            gate.judge(shot, ending, took)
        if not shot.unheard:
            gate.in_flight, endpoint.in_flight = gate.in_flight - 1, endpoint.in_flight - 1
            del self.attempts_in_flight[shot]
            if ending is AttemptOutcome.TIMED_OUT and not gate.overtaken(shot):
                gate.holds.append(self.now + HOLD)
            kind = destination.kind
            self.crowding[kind] += GAIN / 2 * (gate.crowded(ending, took) - self.crowding[kind])
            if 2 * endpoint.gap > self.settings.idle_timeout or self.crowding[kind] > CROWDED:
                self.lonely.append(endpoint)
        self.dirty[destination] = self.stirred[destination] = None

    def may_repeat(self, envelope: Envelope) -> bool:  # harmless, with time to succeed once a gate opens
        destination, repeat = envelope.destination, envelope.track.terms.retry_safety
        sent_at = self.now + destination.opens_in(envelope.kept and not envelope.shots)
        late = envelope.cutoff_at - sent_at <= destination.expected(envelope.track)
        in_window = repeat is RetrySafety.DEDUPLICATED and sent_at < self.window_end(envelope)
        harmless = envelope.ran is None or repeat is RetrySafety.IDEMPOTENT or in_window
        return harmless and not late and not envelope.shots >= self.settings.max_attempts > 0

    def window_end(self, envelope: Envelope) -> int:
        """The last moment to send a tagged envelope again; a connection may have to be made on the way."""
        started = envelope.ran.started if envelope.ran else self.now
        return started + envelope.track.terms.deduplication_window - self.settings.connect_timeout

    def client_disconnected(self, id_: int) -> None:
        envelope = self.messages.get(id_)
        if envelope is not None and envelope.state is not State.LEFT:
            self.move(envelope, State.LEFT if envelope.state is State.OUT else State.OVER)

    def set_detached(self, endpoint: str, out: bool, row: EndpointRecord | None = None) -> None:
        """An operator's hold: out, the endpoint drains here until put back, then cold, listed as in `row`."""
        (self.detached.add if out else self.detached.discard)(endpoint)
        if not out and row is not None:
            self.update_endpoints([row], False)
        for destination in self.destinations.values():
            if endpoint in destination.known:
                gate = destination.known[endpoint].gate
                if out:
                    destination.endpoints = [e for e in destination.endpoints if e.id != endpoint]
                else:  # guards a restarted endpoint against the sum of all senders at once
                    gate.ailing, gate.warm_from, gate.guard.at = False, self.now, self.now
                self.dirty[destination] = self.stirred[destination] = None

    def retry_after_received(
        self, number: int, endpoint: str, until: int
    ) -> None:  # told to our other process
        for gate in self.gates(number, endpoint):
            gate.wait_until = max(gate.wait_until, until)

    def restore_outage(
        self, number: int, endpoint: str, rate: float
    ) -> None:  # an earlier life had been told of it
        for gate in self.gates(number, endpoint):  # by lot again: all may have restarted at once
            gate.ailing, gate.guard = True, Bucket(self.now, self.random.random())
            gate.done = Flow(-(10**9), self.now, rate * RATED_OVER / SECOND)

    def gates(self, number: int, endpoint: str) -> list[Gate]:  # all routes where the endpoint is not known
        destination = self.destination(number)
        self.dirty[destination] = self.stirred[destination] = None
        known = destination.known.get(endpoint)
        return destination.gates() if known is None else [known.gate]

    def timer_fired(self, token: str) -> None:
        kind, number = token[0], int(token[1:] or 0)
        if kind == "r":
            self.rank()
        elif kind == "l" and self.asking:
            self.actions.poll_endpoints()
        elif kind == "d" and number in self.destinations:
            self.dirty[self.destinations[number]] = None
        elif kind == "k" and number in self.lines:
            self.advance(self.lines[number])
        elif kind == "e" and number in self.messages and self.messages[number].state is State.HELD:
            self.review(self.messages[number])

    def rank(self) -> None:
        stirred, self.stirred = self.stirred, {}
        for destination in stirred:
            destination.forget()
            if not (destination.known or destination.owed):
                del self.destinations[destination.number]
            elif destination.endpoints:
                destination.rank()
            else:
                self.stirred[destination] = None
        if self.settings.poll_interval and not self.asking:  # by turn, as all may have started at once
            turn = (
                self.settings.poll_interval * self.settings.sender_index // (2 * self.settings.sender_count)
            )
            self.actions.schedule_timer(self.now + turn, "l")
        self.asking = self.settings.poll_interval > 0
        self.actions.schedule_timer(self.now + RERANK_EVERY, "r")

    def move(self, envelope: Envelope, state: State) -> None:  # every change of an envelope's state
        assert state in MOVES[envelope.state], f"{envelope.state} to {state}"
        envelope.state = state
        self.unqueue(envelope)
        if state is State.OVER:
            del self.messages[envelope.id]
            envelope.destination.owed -= 1
            if envelope.line is not None:
                envelope.line.envelopes.remove(envelope)
                self.advance(envelope.line)

    def unqueue(self, envelope: Envelope) -> None:
        self.late.pop(envelope, None)
        if envelope.queue is not None:
            del envelope.queue[envelope]
            envelope.queue = None

    def queue(self, envelope: Envelope, first: bool = False) -> None:
        """To the queue of its track: fresh while it can still make its promised time."""
        destination, index = envelope.destination, envelope.track.index
        self.unqueue(envelope)
        fresh = self.now + destination.expected(envelope.track) < envelope.promise_at
        envelope.queue = (destination.fresh if fresh else destination.late)[index]
        envelope.queue[envelope] = None
        if not fresh:
            self.late[envelope] = None
        envelope.queue.move_to_end(envelope, last=not first)
        self.dirty[destination] = None
        self.remind(envelope)

    def remind(self, envelope: Envelope) -> None:
        """Wakes at its promised time, then its cut-off, or as its window ends, less what a call takes."""
        expected = envelope.destination.expected(envelope.track)
        at = envelope.promise_at if envelope.promise_at - expected > self.now else envelope.cutoff_at
        if envelope.ran and envelope.track.terms.retry_safety is RetrySafety.DEDUPLICATED:
            at = min(at, self.window_end(envelope) + expected)
        self.actions.schedule_timer(max(self.now, at - expected), f"e{envelope.id}")

    def review(self, envelope: Envelope) -> None:
        if not self.may_repeat(envelope):
            return self.give_up(envelope)
        return self.remind(envelope) if envelope.queue is None else self.queue(envelope)

    def relieve(self) -> None:
        """Guards the slots against answers that never come: with none free, an overdue call is called off."""
        for shot in self.attempts_in_flight:
            if self.settings.may_cancel and shot.usual < self.now - shot.started and not shot.called_off:
                shot.called_off = True
                for envelope in (e for e in shot.envelopes if e.shot is shot):
                    self.actions.cancel_attempt(envelope.id, envelope.shots - 1)
                return

    def give_up(self, envelope: Envelope) -> None:
        """The final answer, at once. A bounce where it is harmless to come again, else an abort."""
        self.move(envelope, State.OVER)
        if envelope.ran is None or envelope.track.terms.retry_safety is RetrySafety.IDEMPOTENT:
            shut = max(DEFAULT_RETRY_AFTER, envelope.destination.opens_in())
            self.actions.reject(envelope.id, min(self.settings.max_retry_after, shut))
        else:
            self.actions.fail(envelope.id)

    def advance(self, line: Line) -> None:
        if line.rest_until > self.now:
            self.actions.schedule_timer(line.rest_until, f"k{line.key}")
        elif not line.envelopes:
            self.lines.pop(line.key, None)
        elif line.envelopes[0].state is State.HELD and line.envelopes[0].queue is None:
            self.queue(line.envelopes[0])

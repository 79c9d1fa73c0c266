"""Watches a day and names each broken rule, in the words of the rules' text alone: it shares nothing with the
core, knows no gate and no policy, and is told only what an onlooker with a clock would see.

    lost        an envelope that was taken on has not one final answer by its cut-off, or is sent after it
    doubled     an effect may happen, or did happen, twice
    drain       a call goes to an endpoint later than the grace after its sender was told it is off the list
    returning   a destination that returned cold was pushed over by those who had seen it fail
    order       a call goes out for a key while an earlier envelope of that key is not done, or rests
    wait        a call goes to a destination that told its sender to wait
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from ashpath.core.interface import RetrySafety, TrafficClassSettings

LATE = 50_000  # a final answer so much later than the cut-off is in time: clocks of onlookers differ
STARTING = 1_500_000  # after a start: what fell due meanwhile has its end by then
BLAME = 2 / 3  # the part of the load that those who knew must have sent, for a fall to be theirs
MOST = 100  # broken rules whose stories are kept; the rest is counted
UNRUN = frozenset({"full", "no connection", "unsent"})  # outcomes that prove that a call has not run
UNHEARD = frozenset({"timed out", "reset", "withdrawn"})  # outcomes after which a key rests
FAILED = frozenset({"error", "full", "timed out", "no connection", "reset"})


@dataclass(frozen=True, slots=True)
class Broken:
    """One broken rule, and the story of the envelope that it was broken for, as far as there is one."""

    rule: str
    at: int
    what: str
    envelope: str
    story: tuple[tuple[int, str], ...]


@dataclass(eq=False, slots=True)
class Seen:
    """One envelope at one sender, from its taking on until it is over and nothing of it is out."""

    id: str
    sender: int
    destination: int
    terms: TrafficClassSettings
    key: int | None
    cutoff_at: int
    out: int = 0  # shots without an outcome
    may_have_run: int | None = None  # when the first shot that may have run went out
    final: str = ""
    story: list[tuple[int, str]] = field(default_factory=list)

    def tell(self, at: int, what: str) -> None:
        self.story.append((at, what))


@dataclass(eq=False, slots=True)
class Queue:
    """The envelopes of one key at one sender, in the order taken on; gone with the last, unless it rests."""

    waiting: deque[Seen] = field(default_factory=deque)
    rests_until: int = 0
    rests_for: Seen | None = None  # whose call may run on: it alone may be sent again meanwhile


class InvariantChecker:
    """`seen` is emptied as envelopes are over, `queues` with them; `off`, `waits` and `knew` have an entry
    for each endpoint or destination that a sender was told of, and go with the day."""

    def __init__(self, grace: int, rest: int, watched: str = "", slack: int = 0) -> None:
        self.grace, self.rest, self.watched = grace, rest, watched
        self.slack = slack  # calls so soon behind a wait were on their way as it was told
        self.broken: list[Broken] = []
        self.counts: Counter[str] = Counter()
        self.seen: dict[tuple[int, int], Seen] = {}  # by sender and its own number for the envelope
        self.queues: dict[tuple[int, int], Queue] = {}
        self.off: dict[tuple[int, str], int] = {}  # when a sender was told that an endpoint is off the list
        self.waits: dict[tuple[int, str], tuple[int, int]] = {}  # from and until when, by sender and route
        self.outages: dict[int, int] = {}  # destinations that are out, or were and are still cold: since when
        self.knew: dict[int, set[int]] = {}  # senders that saw a call fail there since then
        self.now = 0
        self.stories: list[tuple[int, str]] = []  # of the one that is watched

    def break_(self, rule: str, at: int, what: str, one: Seen | None = None) -> None:
        self.counts[rule] += 1
        if len(self.broken) < MOST:
            story = tuple(one.story) if one else ()
            self.broken.append(Broken(rule, at, what, one.id if one else "", story))

    def tell(self, one: Seen, at: int, what: str) -> None:
        one.story.append((at, what))
        if one.id == self.watched:
            self.stories.append((at, f"sender {one.sender}: {what}"))

    # What is seen.

    def taken(
        self,
        at: int,
        sender: int,
        number: int,
        id_: str,
        destination: int,
        terms: TrafficClassSettings,
        key: int | None,
        cutoff_at: int,
    ) -> None:
        """A sender took an envelope on; with an id that an earlier life of it had, it goes on."""
        one = self.seen.get((sender, number))
        if one is not None:
            return self.restored(at, sender, number)
        one = self.seen[sender, number] = Seen(id_, sender, destination, terms, key, cutoff_at)
        self.tell(one, at, f"taken on for destination {destination}, cut-off at {cutoff_at}")
        if terms.ordered and key is not None:
            queue = self.queues.get((sender, key))
            if queue is None:
                queue = self.queues[sender, key] = Queue()
            queue.waiting.append(one)

    def restored(self, at: int, sender: int, number: int) -> None:
        """The next life of a sender has it. No end is overdue until shortly after a start."""
        one = self.seen.get((sender, number))
        if one is not None:
            self.tell(one, at, "taken on again by the next life")
            one.cutoff_at = max(one.cutoff_at, at + STARTING - LATE)

    def listed(self, at: int, sender: int, endpoint: str, on: bool) -> None:
        """A sender was told that an endpoint is on the list, or off it."""
        if on:
            self.off.pop((sender, endpoint), None)
        else:
            self.off.setdefault((sender, endpoint), at)

    def told_to_wait(self, at: int, sender: int, route: str, wait: int) -> None:
        since, until = self.waits.get((sender, route), (0, 0))
        if at + wait > until:
            self.waits[sender, route] = (since if at < until else at + self.slack, at + wait)

    def shot(self, at: int, sender: int, number: int, endpoint: str, route: str) -> None:
        """The first byte of a call goes out."""
        one = self.seen.get((sender, number))
        if one is None:
            return self.break_("lost", at, f"sender {sender} sends what is over, to {endpoint}")
        self.tell(one, at, f"shot to {endpoint}")
        if one.final:
            self.break_("lost", at, f"sent after its final answer, {one.final}", one)
        if one.out:
            self.break_("doubled", at, "a second shot beside one that is out", one)
        if one.may_have_run is not None:
            if one.terms.retry_safety is RetrySafety.AT_MOST_ONCE:
                self.break_("doubled", at, "a once-only envelope that may have run is sent again", one)
            elif (
                one.terms.retry_safety is RetrySafety.DEDUPLICATED
                and at > one.may_have_run + one.terms.deduplication_window
            ):
                since = at - one.may_have_run
                self.break_(
                    "doubled", at, f"a tagged envelope is sent again {since} us after it may have run", one
                )
        off = self.off.get((sender, endpoint))
        if off is not None and at > off + self.grace:
            self.break_("drain", at, f"to {endpoint}, {at - off} us after it was told off the list", one)
        since, until = self.waits.get((sender, route), (0, 0))
        if since <= at < until:
            self.break_("wait", at, f"to {route}, {until - at} us before its wait is over", one)
        if one.terms.ordered and one.key is not None:
            self.in_turn(at, sender, one)
        one.out += 1

    def in_turn(self, at: int, sender: int, one: Seen) -> None:
        assert one.key is not None
        queue = self.queues[sender, one.key]
        if queue.waiting and queue.waiting[0] is not one:
            self.break_("order", at, f"before {queue.waiting[0].id} of its key, which is not done", one)
        elif at < queue.rests_until and queue.rests_for is not one:
            self.break_("order", at, f"{queue.rests_until - at} us before its key has rested", one)

    def outcome(self, at: int, sender: int, number: int, ending: str, began: int) -> None:
        """A shot that began then has come to an end, as its sender saw it."""
        self.now = at
        one = self.seen.get((sender, number))
        if one is None:
            return
        one.out -= 1
        self.tell(one, at, f"shot ended: {ending}")
        if ending not in UNRUN and one.may_have_run is None:
            one.may_have_run = began
        if one.key is not None and one.terms.ordered and ending in UNHEARD:
            queue = self.queues[sender, one.key]
            queue.rests_until, queue.rests_for = at + self.rest, one
        if ending in FAILED and one.destination in self.outages:
            self.knew.setdefault(one.destination, set()).add(sender)
        if ending == "completed" and not one.final:
            one.final = "completed"
        self.let_go(sender, number, one)

    def final(self, at: int, sender: int, number: int, how: str) -> None:
        """The one answer that the envelope's client, or whoever is told in its place, has to have."""
        self.now = at
        one = self.seen.get((sender, number))
        if one is None:
            return self.break_("lost", at, f"sender {sender} answers {how} for what is over")
        self.tell(one, at, how)
        if one.final:
            self.break_("lost", at, f"a second final answer, {how}, after {one.final}", one)
        elif at > one.cutoff_at + LATE:
            self.break_("lost", at, f"{how} {at - one.cutoff_at} us after its cut-off", one)
        ran = one.may_have_run is not None or one.out
        if how == "bounced" and ran and one.terms.retry_safety is RetrySafety.AT_MOST_ONCE:
            self.break_("doubled", at, "a once-only envelope that may have run is bounced", one)
        one.final = one.final or how
        self.let_go(sender, number, one)

    def left(self, at: int, sender: int, number: int) -> None:
        """Nobody wants it any more."""
        one = self.seen.get((sender, number))
        if one is not None:
            self.tell(one, at, "nobody wants it any more")
            one.final = one.final or "left"
            self.let_go(sender, number, one)

    def let_go(self, sender: int, number: int, one: Seen) -> None:
        if not one.final or one.out:
            return
        del self.seen[sender, number]
        queue = self.queues.get((sender, one.key)) if one.terms.ordered and one.key is not None else None
        if queue is not None and one.key is not None:
            queue.waiting.remove(one)
            if not queue.waiting and queue.rests_until <= self.now:
                del self.queues[sender, one.key]

    def outage(self, at: int, destination: int) -> None:
        """A destination went out; until it has been well again for long, who calls may know."""
        self.outages[destination] = at
        self.knew[destination] = set()

    def well(self, destination: int) -> None:
        """It is as it was before its outage."""
        self.outages.pop(destination, None)
        self.knew.pop(destination, None)

    def fell(self, at: int, destination: int, load: Counter[int]) -> None:
        """It was pushed over as it returned, by these calls of these senders."""
        knew = self.knew.get(destination, set())
        theirs, whole = sum(count for sender, count in load.items() if sender in knew), sum(load.values())
        if theirs >= BLAME * whole:
            self.break_(
                "returning", at, f"destination {destination} fell: {theirs} of {whole} calls from who knew"
            )

    def effects(self, at: int, work: str, effects: int, repeat: RetrySafety) -> None:
        """How often one piece of work ran in the end, over all envelopes that carried it."""
        if effects > 1 and repeat is not RetrySafety.IDEMPOTENT:
            self.counts["doubled"] += 1
            if len(self.broken) < MOST:
                self.broken.append(Broken("doubled", at, f"{work} ran {effects} times", work, ()))

    def end(self, at: int) -> None:
        """The day is over and everything has had its time: what has no end is lost."""
        for one in self.seen.values():
            if not one.final and at > one.cutoff_at + LATE:
                self.break_("lost", at, "no final answer", one)

"""Plain policies behind the same door, to hold the decision module against. They stand here and nowhere else:
no sender is ever started with one.

All share one skeleton, which keeps the rules as far as a policy can by itself (kinds of repeat, windows,
waits, drains, order), so that what differs is how many calls each lets out, and when.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import islice
from random import Random
from typing import TYPE_CHECKING, Any

from ashpath.core.interface import (
    AttemptOutcome,
    EndpointRecord,
    EndpointStatus,
    LoadReport,
    PolicyActions,
    PolicySettings,
    PreviousAttempts,
    RetrySafety,
)

if TYPE_CHECKING:
    from ashpath.emulator.simulation import Simulation

SECOND = 1_000_000
TIMEOUT = 4 * SECOND  # of a call
FIXED = 8  # calls in flight to a destination
BACKOFF, BACKOFF_MOST = SECOND // 10, 5 * SECOND
FAILURES, COOLDOWN = 5, 5 * SECOND  # in a row, until a breaker opens, and for how long
UNRUN = (
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_TABLE_FULL,
    AttemptOutcome.NOT_SENT,
)


class Item:
    """One envelope."""

    __slots__ = ("cutoff", "destination", "id", "key", "ran", "shots", "track")

    def __init__(self, id_: int, destination: Place, track: int, key: int | None, cutoff: int) -> None:
        self.id, self.destination, self.track, self.key, self.cutoff = id_, destination, track, key, cutoff
        self.shots, self.ran = 0, -1


class Shot:
    __slots__ = ("began", "endpoint", "item", "place")

    def __init__(self, place: Place, item: Item, endpoint: str, began: int) -> None:
        self.place, self.item, self.endpoint, self.began = place, item, endpoint, began


class Place:
    """One destination, and what a policy knows of it. `queue` is emptied as its envelopes go out or end."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.endpoints: list[str] = []
        self.turn = self.out = 0
        self.queue: OrderedDict[Item, None] = OrderedDict()
        self.waits: dict[str, int] = {}
        self.wait_until = 0
        self.quiet_until = 0  # the policy's own: a backoff, an open breaker
        self.failures = 0
        self.limit = 1.0
        self.long = 0.0  # gradient: the usual time
        self.look_at = 0  # the oracle's next look


class Baseline:
    """Sends in order of arrival as long as `lets` allows; `heard` is told how calls end."""

    def __init__(self, terms: PolicySettings, answers: PolicyActions, world: Simulation) -> None:
        self.settings, self.actions, self.world, self.number = terms, answers, world, terms.sender_index
        self.random = Random(terms.seed)
        self.now = 0
        self.places: dict[int, Place] = {}
        self.items: dict[int, Item] = {}  # emptied as they end
        self.shots: dict[int, Shot] = {}  # out, by envelope
        self.lines: dict[int, deque[Item]] = {}  # ordered envelopes by key; gone with the last one
        self.rests: dict[int, int] = {}  # until when a key rests; looked at as its line moves on
        self.dirty: dict[Place, None] = {}

    # What a policy decides.

    def lets(self, place: Place) -> bool:
        """Whether one more call may go out now."""
        return place.out < FIXED

    def receive_gossip(self, place: Place, ending: AttemptOutcome, took: int) -> None:
        """What an outcome changes."""

    def next(self, place: Place) -> Item:
        """Who goes next: the first that came."""
        return next(iter(place.queue))

    # The skeleton.

    def begin_batch(self, now: int) -> None:
        self.now = now

    def end_batch(self) -> None:
        while self.dirty:
            place = next(iter(self.dirty))
            del self.dirty[place]
            self.pump(place)

    def place(self, number: int) -> Place:
        found = self.places.get(number)
        if found is None:
            found = self.places[number] = Place(number)
        return found

    def update_endpoints(self, rows: list[EndpointRecord], whole: bool) -> None:
        if whole:
            for place in self.places.values():
                place.endpoints = []
        for row in rows:
            place = self.place(row.destination)
            place.endpoints = [name for name in place.endpoints if name != row.endpoint_id]
            if row.status is EndpointStatus.ACTIVE:
                place.endpoints.append(row.endpoint_id)
            self.dirty[place] = None

    def submit(self, id_: int, number: int, track: int, key: int | None, left: int) -> None:
        ordered = self.settings.traffic_classes[track].ordered
        item = Item(id_, self.place(number), track, key if ordered else None, self.now + left)
        self.items[id_] = item
        self.actions.schedule_timer(item.cutoff - SECOND // 20, f"e{id_}")
        if item.key is not None:
            line = self.lines.setdefault(item.key, deque())
            line.append(item)
            if line[0] is not item or self.rests.get(item.key, 0) > self.now:
                return
        self.queue(item)

    def restore_outage(self, number: int, endpoint: str, rate: float) -> None:
        """A plain policy knows of none."""

    def restore(
        self, id_: int, number: int, track: int, key: int | None, left: int, past: PreviousAttempts
    ) -> None:
        self.submit(id_, number, track, key, left)
        item = self.items[id_]
        item.shots, item.ran = past.attempts, -1 if past.first_run_at is None else past.first_run_at
        if item.key is not None and past.unresolved:
            self.rests[item.key] = self.now + self.settings.settle_time
            item.destination.queue.pop(item, None)
            self.actions.schedule_timer(self.rests[item.key], f"k{item.key}")
        elif not self.may_repeat(item):
            self.give_up(item)

    def queue(self, item: Item, first: bool = False) -> None:
        place = item.destination
        place.queue[item] = None
        place.queue.move_to_end(item, last=not first)
        self.dirty[place] = None

    def may_repeat(self, item: Item) -> bool:
        if item.cutoff - self.now < SECOND // 10 or item.shots >= (self.settings.max_attempts or 1 << 30):
            return False
        repeat = self.settings.traffic_classes[item.track].retry_safety
        if item.ran < 0 or repeat is RetrySafety.IDEMPOTENT:
            return True
        window = (
            self.settings.traffic_classes[item.track].deduplication_window - self.settings.connect_timeout
        )
        return repeat is RetrySafety.DEDUPLICATED and self.now < item.ran + window

    def pump(self, place: Place) -> None:
        while place.queue and place.endpoints:
            if len(self.shots) >= self.settings.max_in_flight:
                self.dirty_later(place, SECOND // 50)
                return
            wait = max(place.wait_until, place.quiet_until)
            if wait > self.now:
                self.actions.schedule_timer(wait, f"p{place.number}")
                return
            if not self.lets(place):
                return
            item = self.next(place)
            del place.queue[item]
            if not self.may_repeat(item):
                self.give_up(item)
                continue
            self.send(place, item)

    def dirty_later(self, place: Place, wait: int) -> None:
        if place.look_at <= self.now:  # one look ahead is enough
            place.look_at = self.now + wait
            self.actions.schedule_timer(place.look_at, f"p{place.number}")

    def send(self, place: Place, item: Item) -> None:
        place.turn += 1
        endpoint = place.endpoints[place.turn % len(place.endpoints)]
        place.out += 1
        item.shots += 1
        self.shots[item.id] = Shot(place, item, endpoint, self.now)
        timeout = max(1000, min(TIMEOUT, item.cutoff - self.now - SECOND // 20))
        self.actions.start_attempt(item.id, endpoint, timeout)

    def still_valid(self, id_: int, now: int) -> bool:
        shot = self.shots.get(id_)
        return shot is not None and shot.endpoint in shot.place.endpoints and now >= shot.place.wait_until

    def attempt_finished(
        self, id_: int, ending: AttemptOutcome, wait: int, closed: bool, told: LoadReport | None
    ) -> None:
        shot = self.shots.pop(id_, None)
        if shot is None:
            return
        place, item = shot.place, shot.item
        place.out -= 1
        place.wait_until = max(place.wait_until, self.now + wait)
        if ending is not AttemptOutcome.NOT_SENT:
            self.receive_gossip(place, ending, self.now - shot.began)
        self.dirty[place] = None
        if ending not in UNRUN and item.ran < 0:
            item.ran = shot.began
        unheard = ending in (
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CONNECTION_RESET,
            AttemptOutcome.CANCELLED,
        )
        if item.key is not None and unheard:
            self.rests[item.key] = self.now + self.settings.settle_time
            self.actions.schedule_timer(self.rests[item.key], f"k{item.key}")
        if closed or ending is AttemptOutcome.DELIVERED:
            self.over(item)
        elif not self.may_repeat(item):
            self.give_up(item)
        elif item.key is None or not unheard:
            self.queue(item, first=True)

    def give_up(self, item: Item) -> None:
        repeat = self.settings.traffic_classes[item.track].retry_safety
        self.over(item)
        if item.ran < 0 or repeat is RetrySafety.IDEMPOTENT:
            self.actions.reject(item.id, min(self.settings.max_retry_after, SECOND))
        else:
            self.actions.fail(item.id)

    def over(self, item: Item) -> None:
        del self.items[item.id]
        item.destination.queue.pop(item, None)
        if item.key is not None:
            line = self.lines[item.key]
            line.remove(item)
            self.advance(item.key)

    def advance(self, key: int) -> None:
        line = self.lines.get(key)
        if not line:
            self.lines.pop(key, None)
            if self.rests.get(key, 0) <= self.now:
                self.rests.pop(key, None)
        elif self.rests.get(key, 0) <= self.now:
            self.rests.pop(key, None)
            if line[0].id not in self.shots:
                self.queue(line[0])

    def client_disconnected(self, id_: int) -> None:
        item = self.items.get(id_)
        if item is not None and id_ not in self.shots:
            self.over(item)

    def timer_fired(self, token: str) -> None:
        kind, number = token[0], int(token[1:])
        if kind == "p" and number in self.places:
            self.dirty[self.places[number]] = None
        elif kind == "e" and number in self.items and number not in self.shots:
            self.give_up(self.items[number])
        elif kind == "k":
            self.advance(number)


class Fixed(Baseline):
    """A fixed number in flight to each destination, and nothing learned."""


class Retries(Baseline):
    """No limit of its own: after a failure the destination rests; the time doubles, with full jitter."""

    def lets(self, place: Place) -> bool:
        return True

    def receive_gossip(self, place: Place, ending: AttemptOutcome, took: int) -> None:
        if ending is AttemptOutcome.DELIVERED:
            place.failures = 0
            return
        most = min(BACKOFF_MOST, BACKOFF << min(place.failures, 10))
        place.failures += 1
        place.quiet_until = max(place.quiet_until, self.now + int(self.random.random() * most))


class BreakerAlone(Baseline):
    """A breaker without a limit: some failures in a row, and nothing goes for a while; then one probe."""

    def lets(self, place: Place) -> bool:
        return place.failures < FAILURES or place.out == 0

    def receive_gossip(self, place: Place, ending: AttemptOutcome, took: int) -> None:
        if ending is AttemptOutcome.DELIVERED:
            place.failures = 0
            return
        place.failures += 1
        if place.failures >= FAILURES:
            place.quiet_until = self.now + COOLDOWN


class Gradient(Baseline):
    """A concurrency limit that follows the gradient of response times, after Netflix's description: the
    long-run time over the present one, from a half to one, times the limit, plus a queue of its root."""

    def lets(self, place: Place) -> bool:
        return place.out < max(1, int(place.limit))

    def receive_gossip(self, place: Place, ending: AttemptOutcome, took: int) -> None:
        if ending is not AttemptOutcome.DELIVERED:
            place.limit = max(1.0, 0.9 * place.limit)
            return
        place.long = took if not place.long else place.long + 0.02 * (took - place.long)
        if 2 * place.out < place.limit:
            return  # the limit was not what held it
        gradient = max(0.5, min(1.0, 1.5 * place.long / max(1, took)))
        wanted = place.limit * gradient + max(1.0, place.limit**0.5)
        place.limit = min(3 * self.settings.max_in_flight / 4, 0.8 * place.limit + 0.2 * wanted)


class Oracle(Baseline):
    """Sees each partner as it truly is, and what all senders have out: nearly what could be reached."""

    def lets(self, place: Place) -> bool:
        world, partner, now = self.world, self.world.partners[place.number], self.now
        mine = self.this_turn.get(place.number, 0)  # not yet on their way: answers are worked off after it
        on_the_way = world.on_the_way[place.number] + mine
        nature = partner.nature
        if partner.out() or partner.dumb(now) or (self.number, place.number) in world.split:
            self.dirty_later(place, SECOND // 10)
            return False
        speed = partner.speed(now)
        sites = 1 if nature.shared else max(1, len(partner.sites))
        most = max(1.0, nature.workers * sites * min(1.0, 1.5 * speed)) + sites
        free = world.out_to(place.number) + mine < most
        if free and speed < 1:
            allowed = nature.fall_multiple * partner.capacity * speed * nature.fall_time / SECOND
            recent = len(world.loads.get(place.number, ())) + on_the_way
            free = recent < 0.8 * allowed
        free = free and partner.room(now) - on_the_way >= 1
        if not free:
            self.dirty_later(place, SECOND // 40)
        return bool(free)

    def begin_batch(self, now: int) -> None:
        super().begin_batch(now)
        self.this_turn: dict[int, int] = {}

    def send(self, place: Place, item: Item) -> None:
        self.this_turn[place.number] = self.this_turn.get(place.number, 0) + 1
        super().send(place, item)

    def next(self, place: Place) -> Item:
        """Of the first that came, the one that is worth most while it is in time."""
        return max(islice(place.queue, 30), key=self.worth)

    def worth(self, item: Item) -> float:
        terms = self.settings.traffic_classes[item.track]
        late = self.now - (item.cutoff - terms.deadline + terms.latency_objective)
        return terms.value if late < 0 else terms.value * 0.5 ** (1 + late / terms.latency_objective)


def module(terms: PolicySettings, answers: Any, world: Simulation) -> Any:
    """The decision module itself."""
    from ashpath.policy.delivery_policy import DeliveryPolicy

    return DeliveryPolicy(terms, answers)


POLICIES: dict[str, Callable[[PolicySettings, Any, Simulation], Any]] = {
    "module": module,
    "fixed": Fixed,
    "retries": Retries,
    "breaker": BreakerAlone,
    "gradient": Gradient,
    "oracle": Oracle,
}

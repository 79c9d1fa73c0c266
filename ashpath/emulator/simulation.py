"""A day in virtual time: many senders, each with the decision module or a baseline behind the door, between
clients, partners, directory and network. Discrete events on the standard library's heap: the same day, seed
and policy give the same outcome, to the byte, on any machine.

A sender here is `node` without sockets: a turn for each piece of news, answers worked off after it, one idle
connection or a new one for each call, a ledger that a kill leaves behind.
"""

from __future__ import annotations

import gc
from bisect import bisect
from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import accumulate
from pathlib import Path
from random import Random
from typing import Any, Protocol

from ashpath.core.interface import (
    AttemptOutcome,
    EndpointRecord,
    EndpointStatus,
    LoadReport,
    PolicySettings,
    PreviousAttempts,
    RetrySafety,
)
from ashpath.emulator.baselines import UNRUN
from ashpath.emulator.destination_model import NEVER, OUTAGES, SECOND, Call, DestinationModel, Meets, Trouble
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.scenario import (
    OF_PARTNERS,
    Scenario,
    condition,
    day_terms,
    length,
    weight,
)
from ashpath.emulator.scenario import Trouble as Scripted
from ashpath.emulator.scoreboard import Scoreboard, payoff
from ashpath.emulator.topology import Arrivals, Topology

LOOK = SECOND // 10  # how often conditions are looked at
AGAIN = SECOND // 10  # a client whose sender is gone tries another after this
STILL = 500_000  # events of one moment
HELD_MOST = 10 * SECOND  # past the last cut-off, until which the world runs on
ENDINGS = {
    Meets.OK: AttemptOutcome.DELIVERED,
    Meets.ERROR: AttemptOutcome.ERROR,
    Meets.FULL: AttemptOutcome.OVERLOADED,
    Meets.RESET: AttemptOutcome.CONNECTION_RESET,
    Meets.REFUSED: AttemptOutcome.CONNECT_FAILED,
}


class StoodStill(ValueError):
    """A policy that asks to be woken at once, again and again: the run would never end."""


class Policy(Protocol):
    """What the door asks of a decision module; `decide.Sender` and the baselines have it."""

    def begin_batch(self, now: int) -> None: ...
    def end_batch(self) -> None: ...
    def update_endpoints(self, rows: list[EndpointRecord], whole: bool) -> None: ...
    def submit(self, id_: int, number: int, track: int, key: int | None, left: int) -> None: ...
    def restore(
        self, id_: int, number: int, track: int, key: int | None, left: int, past: PreviousAttempts
    ) -> None: ...
    def restore_outage(self, number: int, endpoint: str, rate: float) -> None: ...
    def still_valid(self, id_: int, now: int) -> bool: ...
    def attempt_finished(
        self, id_: int, ending: AttemptOutcome, wait: int, closed: bool, told: LoadReport | None
    ) -> None: ...
    def client_disconnected(self, id_: int) -> None: ...
    def timer_fired(self, token: str) -> None: ...


Maker = Callable[[PolicySettings, Any, "Simulation"], Policy]


class Work:
    """What one client wants done: handed in once, and again after a bounce, until its time is over."""

    __slots__ = ("born", "cutoff_at", "destination", "id", "key", "order", "span", "track", "tries", "why")

    def __init__(
        self, id_: str, track: int, destination: int, order: int | None, born: int, cutoff: int, span: int
    ) -> None:
        self.id, self.track, self.destination, self.order = id_, track, destination, order
        self.born, self.cutoff_at, self.span = born, born + cutoff, span
        self.key = "k" + id_
        self.tries = 0
        self.why = "never sent"  # what became of its latest shot


class Entry:
    """One envelope at one sender, as its ledger has it."""

    __slots__ = ("flight", "number", "ran_at", "ran_to", "shots", "work")

    def __init__(self, number: int, work: Work) -> None:
        self.number, self.work = number, work
        self.shots, self.ran_at, self.ran_to = 0, -1, ""
        self.flight: Flight | None = None


class Flight:
    """One shot on its way. `dead`: its outcome is known, whatever else still comes."""

    __slots__ = ("arrived", "began", "call", "dead", "due", "endpoint", "entry", "host", "timeout", "wired")

    def __init__(self, host: Host, entry: Entry, endpoint: str, began: int, timeout: int) -> None:
        self.host, self.entry, self.endpoint = host, entry, endpoint
        self.began, self.timeout, self.due = began, timeout, began + timeout
        self.call: Call | None = None
        self.dead = self.wired = self.arrived = False


class Site:
    """Where an endpoint is: its partner, and whether anybody still answers there."""

    __slots__ = ("destination", "listing", "partner", "successor")

    def __init__(self, destination: int, partner: DestinationModel, listing: EndpointRecord) -> None:
        self.destination, self.partner, self.listing = destination, partner, listing
        self.successor: str | None = None  # who has its address now


class Host:
    """One sender. `entries` is emptied as envelopes end, `idle` as connections are closed."""

    def __init__(self, world: Simulation, number: int) -> None:
        self.world, self.number = world, number
        self.seeds = Random(f"{world.seed} sender {number}")
        self.alive, self.life = True, 0
        self.last = 0
        self.entries: dict[int, Entry] = {}
        self.idle: dict[str, deque[int]] = {}
        # By place, what a further life is told of outages: the rate before, and until when it is cold.
        self.outages: dict[tuple[int, str], tuple[float, int | None]] = {}
        self.known: dict[str, EndpointRecord] = {}  # as the directory last told
        self.queue: list[tuple[Any, ...]] = []
        self.delay = world.directory_delay(number)
        self.wall = 0  # what its clock on the wall is ahead
        self.handing_in: Entry | None = None
        self.answer: tuple[str, int] | None = None
        self.make()

    def make(self) -> None:
        world = self.world
        self.terms = day_terms(world.day, self.seeds.getrandbits(48), self.number)
        self.policy: Policy = world.maker(self.terms, self, world)
        self.turn(self.policy.update_endpoints, list(self.known.values()), True)

    def turn(self, call: Callable[..., None], *arguments: Any) -> None:
        policy = self.policy
        policy.begin_batch(self.world.now)
        call(*arguments)
        policy.end_batch()
        while self.queue:
            work, self.queue = self.queue, []
            for act, *rest in work:
                act(*rest)

    # Answers of the policy.

    def start_attempt(self, envelope: int, endpoint: str, timeout: int) -> None:
        self.queue.append((self.begin, self.entries[envelope], endpoint, timeout))

    def reject(self, envelope: int, come_back: int) -> None:
        self.queue.append((self.end, self.entries[envelope], "bounced", come_back))

    def fail(self, envelope: int) -> None:
        self.queue.append((self.end, self.entries[envelope], "aborted", 0))

    def cancel_attempt(self, envelope: int, shot: int) -> None:
        entry = self.entries.get(envelope)
        if entry is not None and entry.flight is not None:
            self.queue.append((self.world.call_off, entry.flight))

    def close_idle_connections(self, endpoint: str) -> None:
        self.queue.append((self.drop_idle, endpoint))

    def schedule_timer(self, at: int, token: str) -> None:
        self.world.at(at, self.woken, token, self.life)

    def mode_changed(self, text: str, destination: int, endpoint: str, out: bool, rate: float) -> None:
        place = (destination, endpoint)
        if out or self.outages.get(place, (0.0, 0))[1] is None:
            ramp = self.terms.warm_up_time
            self.outages[place] = (rate, None if out else self.world.now + ramp)
        self.world.account.mode(self.world.now, self.number, text)

    # What is carried out.

    def woken(self, token: str, life: int) -> None:
        if self.alive and life == self.life:
            self.turn(self.policy.timer_fired, token)

    def take(self, work: Work) -> tuple[str, int] | None:
        """None: taken on. Else the answer, and when to come back."""
        world = self.world
        if 0 < self.terms.queue_capacity <= len(self.entries):
            return "bounced", 0
        self.last += 1
        entry = Entry(self.last, work)
        self.entries[self.last] = entry
        track = self.terms.traffic_classes[work.track]
        world.witness.taken(
            world.now, self.number, self.last, work.id, work.destination, track, work.order, work.cutoff_at
        )
        self.handing_in, self.answer = entry, None
        left = work.cutoff_at - world.now
        self.turn(self.policy.submit, self.last, work.destination, work.track, work.order, left)
        self.handing_in = None
        return self.answer

    def end(self, entry: Entry, how: str, come_back: int) -> None:
        world = self.world
        if entry.flight is None:
            del self.entries[entry.number]
        world.witness.final(world.now, self.number, entry.number, how)
        if entry is self.handing_in:
            self.answer = (how, come_back)
        else:
            world.ended(entry.work, how, come_back)

    def begin(self, entry: Entry, endpoint: str, timeout: int) -> None:
        entry.shots += 1
        flight = entry.flight = Flight(self, entry, endpoint, self.world.now, timeout)
        self.world.fly(flight)

    def returned(
        self, flight: Flight, ending: AttemptOutcome, wait: int = 0, told: LoadReport | None = None
    ) -> None:
        """The one outcome of a flight."""
        if flight.dead:
            return
        world, entry = self.world, flight.entry
        flight.dead, entry.flight = True, None
        world.landed(flight)
        if flight.call is not None:
            world.sites[flight.endpoint].partner.ended(world.now, flight.call, entry.work.id)
        entry.work.why = ending.value
        world.account.outcome(world.now, ending)
        if flight.wired:
            world.witness.outcome(world.now, self.number, entry.number, ending.value, flight.began)
        if wait:
            world.witness.told_to_wait(world.now, self.number, world.route(flight.endpoint), wait)
        if ending not in UNRUN and entry.ran_at < 0:
            entry.ran_at, entry.ran_to = flight.began, flight.endpoint
        if ending is AttemptOutcome.DELIVERED:
            self.entries.pop(entry.number, None)
            world.delivered(entry.work)
        self.turn(
            self.policy.attempt_finished, entry.number, ending, wait, ending is AttemptOutcome.DELIVERED, told
        )

    def drop_idle(self, endpoint: str) -> None:
        count = len(self.idle.pop(endpoint, ()))
        if count and endpoint in self.world.sites:
            self.world.closed(endpoint, count)

    def connected(self, endpoint: str) -> bool:
        """Takes an idle connection, if there is one that is fit."""
        idle, world = self.idle.get(endpoint), self.world
        while idle:
            since = idle.popleft()
            if not idle:
                del self.idle[endpoint]
            if world.now - since < world.idle_life:
                return True
            world.closed(endpoint, 1)
        return False

    def told(self, rows: list[EndpointRecord], life: int) -> None:
        """The directory's news."""
        world = self.world
        for row in rows:
            on = row.status is EndpointStatus.ACTIVE
            if row.status is EndpointStatus.REMOVED:
                self.known.pop(row.endpoint_id, None)
            else:
                self.known[row.endpoint_id] = row
            if self.alive:
                world.witness.listed(world.now, self.number, row.endpoint_id, on)
        if self.alive and life == self.life:
            self.turn(self.policy.update_endpoints, rows, False)

    def kill(self) -> None:
        """Its connections are reset; what it holds is in its ledger."""
        world = self.world
        self.alive = False
        self.life += 1
        for entry in self.entries.values():
            flight = entry.flight
            if flight is not None:
                flight.dead, entry.flight = True, None
                world.landed(flight)
                if flight.call is not None:
                    world.sites[flight.endpoint].partner.ended(world.now, flight.call, entry.work.id)
                if flight.wired:
                    world.closed(flight.endpoint, 1)
                    ending = AttemptOutcome.CONNECTION_RESET.value
                    world.witness.outcome(world.now, self.number, entry.number, ending, flight.began)
                if entry.ran_at < 0:
                    entry.ran_at, entry.ran_to = flight.began, flight.endpoint
                entry.shots |= 1 << 40  # unheard
        for endpoint in list(self.idle):
            self.drop_idle(endpoint)

    def start(self) -> None:
        """The next life, with what the ledger holds. A wait ends with the life that was told it."""
        world = self.world
        self.alive = True
        for key in [key for key in world.witness.waits if key[0] == self.number]:
            del world.witness.waits[key]
        self.make()
        for place, (rate, end) in self.outages.items():
            if end is None or end > world.now:
                self.turn(self.policy.restore_outage, *place, rate)
        for entry in list(self.entries.values()):
            work = entry.work
            world.witness.restored(world.now, self.number, entry.number)
            unheard, entry.shots = bool(entry.shots >> 40), entry.shots & ((1 << 40) - 1)
            past = PreviousAttempts(
                entry.shots, entry.ran_at if entry.ran_at >= 0 else None, entry.ran_to, unheard
            )
            left = work.cutoff_at - world.now - self.wall
            self.turn(self.policy.restore, entry.number, work.destination, work.track, work.order, left, past)


class Simulation:
    """One run of one day."""

    def __init__(
        self, day: Scenario, folder: Path, seed: int, maker: Maker, account: Scoreboard, watched: str = ""
    ) -> None:
        self.day, self.folder, self.seed, self.maker, self.account = day, folder, seed, maker, account
        self.now, self.count = 0, 0
        self.heap: list[tuple[Any, ...]] = []
        self.chance = Random(f"{seed} world")
        self.clients = Random(f"{seed} clients' choices")
        self.net = Random(f"{seed} network")
        terms = day_terms(day, 0, 0)
        self.tracks = terms.traffic_classes
        self.decays = terms.value_halves
        self.connect_time, self.idle_life = terms.connect_timeout, terms.idle_timeout - SECOND // 5
        self.witness = InvariantChecker(terms.drain_grace, terms.settle_time, watched)
        self.latency, self.jitter = int(day.network.latency), day.network.jitter
        self.held_back = 0  # what a troubled network adds
        self.split: set[tuple[int, int]] = set()  # senders and destinations that do not reach each other
        self.late = 0  # what a troubled directory adds
        self.layout = layout = Topology(day, folder, seed)
        self.partners, self.apart = layout.partners, layout.apart
        self.sites = {
            row.endpoint_id: Site(row.destination, self.partners[row.destination], row)
            for row in layout.listings
        }
        self.coming = Arrivals(day, layout.shares, seed)
        self.flying: Counter[int] = Counter()  # calls out, by destination
        self.on_the_way: Counter[int] = Counter()  # calls that are not yet at their destination
        self.loads: dict[int, deque[tuple[int, int]]] = {}  # calls at cold destinations, by whom
        self.hosts: list[Host] = []
        for number in range(day.fleet.senders):
            self.hosts.append(Host(self, number))
        rows = [site.listing for site in self.sites.values()]
        for host in self.hosts:
            host.known = {row.endpoint_id: row for row in rows}
            host.turn(host.policy.update_endpoints, rows, True)
        self.front = list(range(day.fleet.senders))  # senders that clients are sent to
        self.weights: list[float] = []  # of those, added up; made anew as the front changes
        self.made = 0
        self.ends = length(day)
        for scripted in day.troubles:
            self.plan(scripted)

    # Events.

    def at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:
        self.count += 1
        heappush(self.heap, (when if when > self.now else self.now, self.count, call, arguments))

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        """To the end of the day, and on until all have their ends."""
        heap = self.heap
        # What stands for the whole day is not walked through again and again: at 300 senders that costs most.
        gc.collect()
        gc.freeze()
        self.at(0, self.arrive)
        most = max(track.deadline for track in self.tracks)
        last, shown, still = self.ends + most + HELD_MOST, 0, 0
        while heap:
            when, _, call, arguments = heappop(heap)
            if when > last or (when > self.ends and not self.account.open):
                break
            still = still + 1 if when == self.now else 0
            if still > STILL:
                raise StoodStill(f"at {when} us more than {STILL} events follow on one another")
            self.now = when
            call(*arguments)
            if progress is not None and when - shown > SECOND:
                shown = when
                progress(min(1.0, when / self.ends))
        self.finish()

    def finish(self) -> None:
        gc.unfreeze()
        self.witness.end(self.now)
        repeats = {f"{n}": track.retry_safety for n, track in enumerate(self.tracks)}
        for partner in self.partners:
            for work, tally in partner.tallies.items():
                if tally.effects > 1:
                    self.witness.effects(self.now, work, tally.effects, repeats[work.split("-")[0]])
        self.account.close(self.witness)

    # Clients.

    def arrive(self) -> None:
        """One clump of envelopes, and the time of the next."""
        if self.now >= self.ends:
            return
        gap = self.coming.gap(self.now)
        if gap is None:
            return self.at(self.now + SECOND // 10, self.arrive)
        self.at(self.now + gap, self.arrive)
        span = self.coming.span(self.now)
        for track, destination, order in self.coming.clump():
            self.made += 1
            cutoff = self.tracks[track].deadline
            work = Work(f"{track}-{self.made}", track, destination, order, self.now, cutoff, span)
            self.account.asked(work, self.worth(work, self.now))
            self.hand_in(work)

    def hand_in(self, work: Work) -> None:
        if self.now >= work.cutoff_at:
            return self.give_up(work, "out of time")
        number = self.pick()
        host = self.hosts[number] if number >= 0 else None
        if host is None or not host.alive:
            self.at(self.now + AGAIN, self.hand_in, work)  # nothing was taken on: another one is tried
            return
        answer = host.take(work)
        if answer is not None:
            self.ended(work, *answer)

    def pick(self) -> int:
        """The sender that a client is sent to; below 0: there is none."""
        power = self.day.fleet.busiest
        if not self.front or not power:
            return self.front[self.clients.randrange(len(self.front))] if self.front else -1
        if len(self.weights) != len(self.front):  # the front has changed since
            self.weights = list(accumulate((number + 1) ** -power for number in self.front))
        return self.front[bisect(self.weights, self.clients.random() * self.weights[-1])]

    def ended(self, work: Work, how: str, come_back: int) -> None:
        """Bounced or aborted; its client may hand it in again."""
        clients = self.day.clients
        if how == "aborted" or work.tries >= clients.retries:
            return self.give_up(work, how)
        work.tries += 1
        self.account.bounced(self.now)
        wait = int(clients.backoff) << (work.tries - 1)
        if come_back and self.clients.random() < clients.heeds:
            wait = come_back
        wait = int(wait * self.clients.uniform(0.8, 1.2))
        if self.now + wait >= work.cutoff_at:
            return self.give_up(work, how)
        # Handed in again it is another envelope, as it has another id: what is taken on has its own end.
        self.at(self.now + wait, self.hand_in, work)

    def give_up(self, work: Work, how: str) -> None:
        self.account.lost(self.now, work, how)

    def delivered(self, work: Work) -> None:
        self.account.delivered(self.now, work, self.worth(work, self.now))

    def worth(self, work: Work, when: int) -> float:
        """The payoff of a delivery then, by its terms; thinned spans count more."""
        return payoff(self.tracks[work.track], self.decays, work, when) * weight(self.day.spans[work.span])

    # Calls.

    def route(self, endpoint: str) -> str:
        """What a wait is told for: the destination, or the endpoint where those are separate routes."""
        site = self.sites[endpoint]
        return endpoint if self.apart[site.destination] else str(site.destination)

    def one_way(self) -> int:
        delay = self.latency * self.net.lognormvariate(0, self.jitter) if self.jitter else self.latency
        return int(delay) + self.held_back

    def fly(self, flight: Flight) -> None:
        """A connection first: an idle one, or a new one, which takes a way there and back."""
        host, endpoint = flight.host, flight.endpoint
        self.flying[flight.entry.work.destination] += 1
        self.on_the_way[flight.entry.work.destination] += 1
        if host.connected(endpoint):
            return self.write(flight, False)
        site = self.sites.get(endpoint)
        cut = site is None or (host.number, site.destination) in self.split
        partner = None if site is None else site.partner
        if cut or partner is None or partner.dumb(self.now):  # nobody answers: the connection never comes up
            at = min(self.now + self.connect_time, flight.due)
            return self.at(at, self.lost, flight, AttemptOutcome.CONNECT_FAILED)
        took = 2 * self.one_way()
        where = self.where(endpoint)
        most = partner.nature.connections
        if where is None or partner.down:
            return self.at(self.now + took, self.lost, flight, AttemptOutcome.CONNECT_FAILED)
        if most and partner.sites[where].connections >= most:
            return self.at(self.now + took, self.lost, flight, AttemptOutcome.CONNECTION_TABLE_FULL)
        if took >= self.connect_time:
            return self.at(self.now + self.connect_time, self.lost, flight, AttemptOutcome.CONNECT_FAILED)
        partner.sites[where].connections += 1
        self.at(self.now + took, self.write, flight, True)

    def where(self, endpoint: str) -> str | None:
        """Who answers at its address; None: nobody."""
        site = self.sites[endpoint]
        while endpoint not in site.partner.sites and site.successor is not None:
            endpoint = site.successor
            site = self.sites[endpoint]
        return endpoint if endpoint in site.partner.sites else None

    def closed(self, endpoint: str, count: int) -> None:
        where = self.where(endpoint)
        if where is not None:
            found = self.sites[where].partner.sites[where]
            found.connections = max(0, found.connections - count)

    def write(self, flight: Flight, fresh: bool) -> None:
        """Its connection is up: it goes if it still stands."""
        host = flight.host
        if flight.dead:
            self.closed(flight.endpoint, 1)
            return
        if fresh and not host.policy.still_valid(flight.entry.number, self.now):
            host.idle.setdefault(flight.endpoint, deque()).append(self.now)
            return host.returned(flight, AttemptOutcome.NOT_SENT)
        flight.wired = True
        flight.began = self.now
        self.account.shot(self.now)
        route = self.route(flight.endpoint)
        self.witness.shot(self.now, host.number, flight.entry.number, flight.endpoint, route)
        self.at(self.now + self.one_way(), self.reach, flight, fresh)

    def reach(self, flight: Flight, fresh: bool) -> None:
        """Its last byte is at the partner, or on its way to nowhere."""
        host = flight.host
        destination = self.sites[flight.endpoint].destination
        if flight.dead:
            return
        flight.arrived = True
        self.on_the_way[destination] -= 1
        partner, where = self.sites[flight.endpoint].partner, self.where(flight.endpoint)
        if (host.number, destination) in self.split:
            return self.at(flight.due, self.lost, flight, AttemptOutcome.TIMED_OUT)
        work = flight.entry.work
        if where is None or partner.down:
            return self.at(self.now + self.one_way(), self.lost, flight, AttemptOutcome.CONNECTION_RESET)
        if destination in self.witness.outages:
            self.load(destination, host.number)
        falls = partner.falls
        key = work.key if self.tracks[work.track].retry_safety is RetrySafety.DEDUPLICATED else None
        call = flight.call = partner.arrive(self.now, where, work.id, work.track, key, fresh)
        if partner.falls > falls:
            self.fell(destination)
        if call.after >= NEVER:
            return self.at(flight.due, self.lost, flight, AttemptOutcome.TIMED_OUT)
        back = self.now + call.after + self.one_way()
        if back >= flight.due:
            self.at(flight.due, self.lost, flight, AttemptOutcome.TIMED_OUT)
        else:
            self.at(back, self.come, flight, call)

    def come(self, flight: Flight, call: Call) -> None:
        """An answer is here, if what it came from still answers."""
        if flight.dead:
            return
        site, host = self.sites[flight.endpoint], flight.host
        if (host.number, site.destination) in self.split or site.partner.dumb(self.now):
            return self.at(flight.due, self.lost, flight, AttemptOutcome.TIMED_OUT)
        if call.meets is Meets.RESET or site.partner.down:
            return self.lost(flight, AttemptOutcome.CONNECTION_RESET)
        host.idle.setdefault(flight.endpoint, deque()).append(self.now)
        told = LoadReport(call.left, call.rate) if call.left >= 0 else None
        host.returned(flight, ENDINGS[call.meets], call.wait, told)

    def lost(self, flight: Flight, ending: AttemptOutcome) -> None:
        """Its connection is of no further use."""
        if not flight.dead:
            if flight.wired:
                self.closed(flight.endpoint, 1)
            flight.host.returned(flight, ending)

    def call_off(self, flight: Flight) -> None:
        self.lost(flight, AttemptOutcome.CANCELLED)

    # Outages.

    def load(self, destination: int, sender: int) -> None:
        """Calls at a destination that is out or cold, by whom, over the time that counts for a fall."""
        recent = self.loads.setdefault(destination, deque())
        recent.append((self.now, sender))
        while recent[0][0] <= self.now - self.partners[destination].nature.fall_time:
            recent.popleft()

    def fell(self, destination: int) -> None:
        self.account.fell(self.now, destination)
        self.witness.fell(self.now, destination, Counter(sender for _, sender in self.loads[destination]))
        partner = self.partners[destination]
        self.at(partner.fallen_until + partner.nature.ramp + 1, self.well, destination)

    def well(self, destination: int) -> None:
        partner = self.partners[destination]
        if not partner.out() and self.now > partner.back_at + partner.nature.ramp:
            self.witness.well(destination)
            self.loads.pop(destination, None)

    # What an oracle sees.

    def landed(self, flight: Flight) -> None:
        destination = flight.entry.work.destination
        self.flying[destination] -= 1
        if not flight.arrived:
            self.on_the_way[destination] -= 1

    def out_to(self, number: int) -> int:
        """Calls that all senders have out to a destination."""
        return self.flying[number]

    # The script.

    def directory_delay(self, number: int) -> int:
        spread = int(self.day.directory.spread)
        return int(self.day.directory.delay) + (self.chance.randrange(spread) if spread else 0)

    def plan(self, scripted: Scripted) -> None:
        if scripted.when:
            found = condition(scripted.when)
            assert found is not None
            self.at(LOOK, self.look, scripted, found)
        else:
            assert scripted.at is not None
            self.at(int(scripted.at), self.begin, scripted)

    def look(self, scripted: Scripted, wanted: tuple[str, bool, float]) -> None:
        """Whether its condition holds."""
        name, above, figure = wanted
        value = self.account.signal(name, self.hosts)
        if value > figure if above else value < figure:
            return self.begin(scripted)
        if self.now < self.ends:
            self.at(self.now + LOOK, self.look, scripted, wanted)

    def begin(self, scripted: Scripted) -> None:
        """Puts a trouble on, and takes it off when it is over."""
        undo: Callable[[], None] | None = None
        self.account.trouble(self.now, scripted.kind)
        if scripted.kind == "replace":
            for number in self.layout.named(scripted, 0, self.chance):
                self.replace(number, scripted.endpoints)
        elif scripted.kind in OF_PARTNERS:
            trouble, rows = Trouble(scripted.kind), self.layout.named(scripted, 0, self.chance)
            for number in rows:
                self.put(number, trouble, scripted.amount)

            def undo() -> None:
                for number in rows:
                    self.take_off(number, trouble, scripted.amount)
        else:
            undo = self.of_the_world(scripted)
        if undo is not None and scripted.lasts:
            self.at(self.now + int(scripted.lasts), undo)

    def of_the_world(self, scripted: Scripted) -> Callable[[], None] | None:
        amount = scripted.amount
        senders = self.layout.named(scripted, len(self.hosts), self.chance)
        if scripted.kind == "kill":
            hosts = [self.hosts[number] for number in senders]
            for host in hosts:
                self.kill(host)

            def revive() -> None:
                for host in hosts:
                    self.start(host)

            return revive
        if scripted.kind == "split":
            partners = self.layout.named(scripted, 0, self.chance)
            pairs = {(sender, partner) for sender in senders for partner in partners}
            pairs -= self.split
            self.split |= pairs
            return lambda: self.split.difference_update(pairs)
        if scripted.kind == "clock":
            for number in senders:
                self.hosts[number].wall += int(amount * 1000)
            return None
        if scripted.kind == "traffic":
            self.coming.factor *= amount
            return lambda: setattr(self.coming, "factor", self.coming.factor / amount)
        name = "late" if scripted.kind == "directory" else "held_back"
        added = int(amount * 1000)
        setattr(self, name, getattr(self, name) + added)
        return lambda: setattr(self, name, getattr(self, name) - added)

    def put(self, number: int, trouble: Trouble, amount: float) -> None:
        partner = self.partners[number]
        was = partner.out()
        partner.put(trouble, amount)
        if trouble in OUTAGES and not was:
            self.witness.outage(self.now, number)
        if trouble is Trouble.DOWN:  # what is open there is reset
            for host in self.hosts:
                for name in partner.sites:
                    host.drop_idle(name)

    def take_off(self, number: int, trouble: Trouble, amount: float) -> None:
        partner = self.partners[number]
        partner.take_off(trouble, amount, self.now)
        if not partner.out():
            self.at(self.now + partner.nature.ramp + 1, self.well, number)

    def replace(self, number: int, most: int) -> None:
        """Endpoints go, and others come at their addresses under new ids; the directory tells it late."""
        partner = self.partners[number]
        old = list(partner.sites)[: most or None]
        rows = []
        for name in old:
            listing = self.sites[name].listing
            new = f"{name}+"
            partner.remove(name)
            partner.add(new)
            fresh = EndpointRecord(new, number, listing.kind, listing.zone, EndpointStatus.ACTIVE)
            self.sites[name].successor = new
            self.sites[new] = Site(number, partner, fresh)
            gone = EndpointRecord(name, number, listing.kind, listing.zone, EndpointStatus.REMOVED)
            rows += [gone, fresh]
            for host in self.hosts:
                host.idle.pop(name, None)
        for host in self.hosts:
            self.at(self.now + host.delay + self.late, self.tell, host, rows)

    def tell(self, host: Host, rows: list[EndpointRecord]) -> None:
        host.told(rows, host.life)

    def kill(self, host: Host) -> None:
        if host.alive:
            host.kill()
            self.at(self.now + int(self.day.fleet.front), self.notice, host.number)

    def notice(self, number: int) -> None:
        """Clients are no longer sent to a sender that is dead."""
        if not self.hosts[number].alive and number in self.front:
            self.front.remove(number)

    def start(self, host: Host) -> None:
        if not host.alive:
            host.start()
            if host.number not in self.front:
                self.front.append(host.number)
                self.front.sort()

"""Days in virtual time: the same twice, the rules kept, and a witness that sees each of them broken."""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import pytest
from support.standalone import Alone

from ashpath.cli.check import command as check
from ashpath.config.errors import InvalidConfigurationError
from ashpath.core.interface import AttemptOutcome, RetrySafety, TrafficClassSettings
from ashpath.core.messages import Message
from ashpath.emulator.baselines import POLICIES
from ashpath.emulator.destination_model import NEVER, SECOND, DestinationModel, Meets, Nature, Trouble
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.scenario import Scenario, condition, read_scenario
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulate import DAYS, find, outcome, play, play_all, table
from ashpath.emulator.simulation import Simulation, StoodStill
from ashpath.policy.delivery_policy import DeliveryPolicy
from ashpath.policy.destination import Destination
from ashpath.policy.gate import Gate

SHORT = [
    "calm",
    "burst",
    "silent-bank",
    "shut",
    "fast-errors",
    "lost-answers",
    "resets",
    "replaced",
    "kills",
    "in-turn",
    "split",
    "pile",
]


def run(day: Scenario, maker: Any, seed: int = 1, folder: Path = DAYS) -> tuple[dict[str, Any], Simulation]:
    account = Scoreboard(list(day.tracks), keeps_modes=True)
    world = Simulation(day, folder, seed, maker, account)
    world.run()
    return account.result(), world


@pytest.mark.parametrize("name", SHORT)
def test_rules_kept(name: str) -> None:
    """The module on a day: no rule broken, everything has its end, and it is not far below the oracle."""
    ours, best = (play(find(name), 2, policy).result for policy in ("module", "oracle"))
    assert not ours["rules"] and sum(ours["ends"].values()) == ours["handed_in"]
    assert ours["g"] >= best["g"] - 0.06, (ours["g"], best["g"])


def test_days_of_the_library(capsys: pytest.CaptureFixture[str]) -> None:
    found = sorted(DAYS.glob("*.toml"))
    wide = [
        path
        for path in found
        if (day := read_scenario(path)).fleet.senders >= 200
        and sum(row.count * row.endpoints for row in day.partners.values()) >= 200
    ]
    assert len(found) >= 15 and len(wide) >= 3
    assert all(check.main([str(path)], standalone_mode=False) == 0 for path in found)
    assert "sound: a day of 3 senders" in capsys.readouterr().out
    for path in found:
        incident = read_scenario(path).day.incident
        assert not incident or (DAYS.parents[2] / "docs" / "incidents" / incident).exists()


def test_same_day_same_seed_same_bytes() -> None:
    path = find("pile")
    day = read_scenario(path)
    played = [list(play_all(path, [1, 2, 3], ["module", "retries"], jobs)) for jobs in (1, 1, 3)]
    first, again, spread = (outcome(day, "pile", runs) for runs in played)
    assert first == again == spread
    assert outcome(day, "pile", [play(path, 4, "module")]) != outcome(day, "pile", [play(path, 5, "module")])
    rows = table(list(play_all(path, [1], list(POLICIES), 1)))
    assert [row["policy"] for row in rows] == list(POLICIES) and rows[0]["rules_broken"] == 0


# Modules that are crippled, each in one place, and the rule that the witness must see broken on a day.


class Forgetful(DeliveryPolicy):
    """Gives no answer for what it gives up."""

    def finish_undelivered(self, message: Message) -> None:
        self.finish(message)


class Repeating(DeliveryPolicy):
    """Takes a repeat for recognised for four times as long as it is."""

    def __init__(self, terms: Any, answers: Any) -> None:
        tracks = tuple(
            replace(track, deduplication_window=4 * track.deduplication_window)
            for track in terms.traffic_classes
        )
        super().__init__(replace(terms, traffic_classes=tracks), answers)


class Lingering(DeliveryPolicy):
    """Does not hear of endpoints that go."""

    def update_endpoints(self, rows: Any, whole: bool) -> None:
        super().update_endpoints([row for row in rows if row.status.value == "listed"], whole)
        for row in rows:
            if row.status.value == "gone" and row.destination in self.destinations:
                one = self.destinations[row.destination]
                one.endpoints = [one.known.get(row.endpoint_id) or one.endpoints[0]]

    def still_valid(self, id_: int, now: int) -> bool:
        return True


class Pushy(DeliveryPolicy):
    """Knows no cold destinations, no failures, no limit."""

    def new_destination(self, number: int) -> Destination:
        found = super().new_destination(number)
        found.gate.__class__ = Open
        return found


class Open(Gate):
    def opens_at(self, now: int) -> int | None:
        return self.retry_after_until if now < self.retry_after_until else None


class Disorderly(DeliveryPolicy):
    """Takes ordered envelopes for any others."""

    def submit(self, id_: int, number: int, track: int, key: int | None, left: int) -> None:
        super().submit(id_, number, track, None, left)


class Impatient(DeliveryPolicy):
    """Does not hear waits."""

    def attempt_finished(self, id_: int, ending: AttemptOutcome, wait: int, closed: bool, told: Any) -> None:
        super().attempt_finished(id_, ending, 0, closed, None)


CRIPPLED = [
    (Forgetful, "large-silent", "lost"),
    (Repeating, "errors-behind", "doubled"),
    (Lingering, "replaced", "drain"),
    (Pushy, "silent-bank", "returning"),
    (Disorderly, "in-turn", "order"),
    (Impatient, "limit-cut", "wait"),
]


@pytest.mark.parametrize(("crippled", "name", "rule"), CRIPPLED)
def test_the_witness_sees_each_rule_broken(crippled: type[DeliveryPolicy], name: str, rule: str) -> None:
    _, world = run(read_scenario(find(name)), lambda terms, answers, world: crippled(terms, answers))
    assert world.witness.counts[rule], world.witness.counts
    assert any(one.rule == rule for one in world.witness.broken)
    if rule not in ("returning", "lost"):
        assert next(one for one in world.witness.broken if one.rule == rule).story


class Restless(DeliveryPolicy):
    def timer_fired(self, token: str) -> None:
        self.actions.schedule_timer(self.now, token)


def test_a_policy_that_stands_still() -> None:
    with pytest.raises(StoodStill):
        run(read_scenario(find("calm")), lambda terms, answers, world: Restless(terms, answers))


TAGGED = TrafficClassSettings(
    1.0, 4 * SECOND, 20 * SECOND, RetrySafety.DEDUPLICATED, 5 * SECOND, True, 0.0, True
)
ONCE = TrafficClassSettings(1.0, 4 * SECOND, 20 * SECOND, RetrySafety.AT_MOST_ONCE, 0, True, 0.0, False)
# What an onlooker sees of one sender, and the rules that are broken by it: T taken, S shot, E ending,
# F final, W wait told, O off the list; times in milliseconds.
SEEN = """
    T0 S1 E9:completed                               ~
    T0 S1 E9:error F10:bounced                       ~
    T0 S1 E9:full S10 E20:completed                  ~
    T0 S1 E9:error S5500                             ~ doubled
    T0 S1 S2                                         ~ doubled
    T0 S1 E9:error F10:aborted F11:aborted           ~ lost
    T0 S1 E9:error F10:aborted S12                   ~ lost
    T0 F20100:bounced                                ~ lost
    T0                                               ~ lost
    T0 W1:500 S400 E500:completed                    ~ wait
    T0 W1:500 S501 E502:completed                    ~
    T0 O1 S900 E901:completed                        ~
    T0 O1 S1002 E1003:completed                      ~ drain
    o T0 S1 E9:error S10                             ~ doubled
    o T0 S1 E9:error F10:bounced                     ~ doubled
    o T0 S1 E9:no+connection F10:bounced             ~
    o T0 S1 E9:error F10:aborted                     ~
"""


def test_what_the_witness_makes_of_it() -> None:
    for row in SEEN.strip().splitlines():
        words, _, broken = row.partition("~")
        witness, terms = InvariantChecker(SECOND, SECOND // 5), ONCE if words.split()[0] == "o" else TAGGED
        began = 0
        for word in words.split():
            found = re.fullmatch(r"([TSEFWO])([0-9]+)(?::(.*))?", word)
            if found is None:
                continue
            at, told = int(found[2]) * 1000, (found[3] or "").replace("+", " ")
            if found[1] == "T":
                witness.taken(at, 0, 1, "a", 7, terms, 3, 20 * SECOND)
            elif found[1] == "S":
                began = at
                witness.shot(at, 0, 1, "e", "7")
            elif found[1] == "E":
                witness.outcome(at, 0, 1, told, began)
            elif found[1] == "F":
                witness.final(at, 0, 1, told)
            elif found[1] == "W":
                witness.told_to_wait(at, 0, "7", int(told) * 1000)
            else:
                witness.listed(at, 0, "e", False)
        witness.end(60 * SECOND)
        seen = " ".join(sorted(witness.counts))
        assert seen == broken.strip() or (broken.strip() == "doubled" and "doubled" in seen), (row, seen)


def test_order_and_falls_seen() -> None:
    witness = InvariantChecker(SECOND, SECOND // 5)
    for number in (1, 2):
        witness.taken(0, 0, number, f"e{number}", 7, TAGGED, 3, 20 * SECOND)
    witness.shot(1, 0, 2, "e", "7")
    assert witness.counts == Counter(order=1), "the second before the first"
    witness = InvariantChecker(SECOND, SECOND // 5)
    for number in (1, 2):
        witness.taken(0, 0, number, f"e{number}", 7, TAGGED, 3, 20 * SECOND)
    witness.shot(1, 0, 1, "e", "7")
    witness.outcome(1000, 0, 1, "reset", 1)
    witness.shot(2000, 0, 1, "e", "7")
    assert not witness.counts, "its own repeat does not wait for its key's rest"
    witness.outcome(3000, 0, 1, "reset", 2000)
    witness.final(3000, 0, 1, "aborted")
    witness.shot(100_000, 0, 2, "e", "7")
    assert witness.counts == Counter(order=1), "the next one does"
    witness.outage(0, 7)
    witness.outcome(200_000, 0, 2, "timed out", 100_000)
    witness.fell(300_000, 7, Counter({0: 1, 1: 1}))
    assert not witness.counts["returning"], "half of the load came from a sender that had seen nothing"
    witness.fell(300_000, 7, Counter({0: 2, 1: 1}))
    assert witness.counts["returning"] == 1


def arrive(partner: DestinationModel, now: int, work: str, key: str | None = None, end: str = "e") -> Any:
    return partner.arrive(now, end, work, 0, key, False)


def test_model_of_a_partner() -> None:
    """Queue, keys, silence and hang, cold start and fall, pauses, in virtual time."""
    plain = Nature(workers=2, service=(SECOND,), spread=0, queue=1, ramp=10 * SECOND)
    partner = DestinationModel(plain, Random(1), ["e"])
    met = [arrive(partner, 0, f"w{n}", "key") for n in range(4)]
    assert [one.after for one in met] == [SECOND, SECOND, 2 * SECOND, 0] and met[3].meets is Meets.FULL
    assert [partner.tallies[f"w{n}"].effects for n in range(3)] == [1, 0, 0], "a repeat within the window"
    assert arrive(partner, 5 * SECOND, "w1", "key").ran and partner.tallies["w1"].doubled
    for trouble, runs in ((Trouble.SILENT, 0), (Trouble.HUNG, 1)):
        partner.put(trouble, 1.0)
        assert arrive(partner, 6 * SECOND, trouble.value).after == NEVER and partner.dumb(6 * SECOND)
        assert partner.tallies[trouble.value].effects == runs
        partner.take_off(trouble, 1.0, 8 * SECOND)
    assert partner.speed(8 * SECOND) == 0.2 and round(partner.speed(13 * SECOND), 6) == 0.6
    assert arrive(partner, 8 * SECOND, "cold").after == 5 * SECOND
    assert not any(arrive(partner, 9 * SECOND, f"few{n}").meets is Meets.NOTHING for n in range(3))
    late = [arrive(partner, 11_500_000 + n, f"many{n}") for n in range(9)]
    assert partner.falls == 1 and late[-1].meets is Meets.NOTHING and partner.dumb(12 * SECOND)
    dropped = DestinationModel(
        Nature(workers=1, service=(SECOND,), spread=0, runs_on=False), Random(1), ["e"]
    )
    arrive(dropped, 0, "a")
    call = arrive(dropped, 0, "b")
    dropped.ended(SECOND // 2, call, "b")
    assert dropped.tallies["b"].effects == 0, "left the queue before it began"
    pausing = Nature(service=(1000,), spread=0, pause_every=SECOND, pause_for=SECOND // 5)
    pauses = DestinationModel(pausing, Random(1), ["e"])
    assert arrive(pauses, 5 * SECOND + 100, "p").after == SECOND // 5 - 100 + 1000


# Nature of a limit, and how many of 40 calls, one each 50 ms, are let in over two seconds.
LIMITS = """
    rate=4.0                                     ~ 8  10
    rate=4.0 span=1000000                        ~ 8  8
    rate=4.0 span=1000000 sliding=1              ~ 8  8
    rate=4.0 refused_count=1                     ~ 1  4
    rate=4.0 span=1000000 sliding=1 refused_count=1 ~ 4 4
"""


def test_limits_of_the_model() -> None:
    for row in LIMITS.strip().splitlines():
        words, _, bounds = row.partition("~")
        told: dict[str, Any] = {}
        for word in words.split():
            name, _, value = word.partition("=")
            told[name] = float(value) if name == "rate" else int(value)
        partner = DestinationModel(
            Nature(workers=50, service=(1000,), reports=True, wait=7, **told), Random(1), ["e"]
        )
        met = [arrive(partner, n * SECOND // 20, f"w{n}") for n in range(40)]
        least, most = (int(bound) for bound in bounds.split())
        let = sum(one.meets is Meets.OK for one in met)
        assert least <= let <= most, (row, let)
        assert all(one.wait == 7 for one in met if one.meets is Meets.FULL)
        assert all(0 <= one.left <= 1 and one.rate == 4.0 for one in met)


BAD_DAYS = """
    share = 5          ~ share = -1             ~ partners.bank.share: found -1
    count = 3          ~ count = 0              ~ partners.bank.count: found 0
    kind = "slow"      ~ kind = "slower"        ~ troubles[0].kind: found 'slower'
    at = "10s"         ~ at = "10s"|when = "held > 3" ~ troubles[0].at: found both or neither
    at = "10s"         ~ when = "held is 3"     ~ troubles[0].when: found 'held is 3'
    to = ["bank"]      ~ to = ["banc"]          ~ troubles[0].to: found 'banc'
    to = ["bank"]      ~ to = ["bank/9"]        ~ troubles[0].to: found 'bank/9'
    check-status = 1,  ~ check-stats = 1,       ~ clients.mix.check-stats: found a track
    lasts = "50s"      ~ lasts = "5s"|played = "9s" ~ spans[0].played: found more than lasts
    window = "5s"      ~ window = "1s"          ~ tracks.check-result.window: found 1s
    senders = 3        ~ senders = 0            ~ fleet.senders: found 0
"""


def test_bad_days(tmp_path: Path) -> None:
    text, path = find("pile").read_text(), tmp_path / "day.toml"
    for row in BAD_DAYS.strip().splitlines():
        old, new, said = (part.strip() for part in row.split("~"))
        path.write_text(text.replace(old, new.replace("|", "\n"), 1))
        with pytest.raises(InvalidConfigurationError) as caught:
            read_scenario(path)
        assert any(said in line for line in caught.value.lines), (row, caught.value.lines)
    assert condition("held > 1e9") == ("held", True, 1e9)


def test_command(tmp_path: Path) -> None:
    alone = Alone(tmp_path)
    try:
        file = tmp_path / "out.json"
        words = ["--seeds", "1..2", "--policy", "all", "--jobs", "2", "--json", str(file)]
        ran = alone.run("rehearse", "calm", *words)
        assert ran.returncode == 0 and len(file.read_bytes().splitlines()) == 1 + 2 * len(POLICIES), ran
        assert "calm: nothing is wrong" in ran.stdout and "(simulated)" in ran.stdout
        story = alone.run("rehearse", "calm", "--story", "0-1")
        assert "taken on for destination" in story.stdout and "shot ended: completed" in story.stdout
        for row, said in (
            ("no-such", "the library has"),
            ("calm --policy x", "expected all"),
            ("calm --seeds 9..1", "--seeds"),
            ("calm --seed 1 --seeds 1", "both"),
            ("none.toml", "No such file"),
        ):
            ran = alone.run("rehearse", *row.split())
            assert ran.returncode == 2 and said in ran.stderr and ran.stderr.count("\n") == 1, ran
    finally:
        alone.stop()

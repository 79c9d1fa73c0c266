"""Plays days: one run, or many seeds and policies in processes of their own, with the same outcome whatever
their number."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from statistics import mean
from typing import Any

import orjson

from ashpath.emulator.baselines import POLICIES
from ashpath.emulator.invariant_checker import Broken
from ashpath.emulator.scenario import Scenario, read_scenario
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulation import Simulation

DAYS = Path(__file__).parent / "scenarios"


@dataclass(frozen=True, slots=True)
class Run:
    """What one run comes to."""

    seed: int
    policy: str
    result: dict[str, Any]
    broken: list[Broken]
    stories: list[tuple[int, str]]
    modes: list[list[Any]]

    def told(self) -> dict[str, Any]:
        """As the outcome file has it."""
        broken = [
            {"rule": one.rule, "at": one.at, "what": one.what, "id": one.envelope} for one in self.broken
        ]
        return {"seed": self.seed, "policy": self.policy, **self.result, "broken": broken}


def find(name: str) -> Path:
    """A file, or a day of the library by its name."""
    path = Path(name)
    return path if path.suffix == ".toml" or path.exists() else DAYS / f"{name}.toml"


def play(
    path: Path, seed: int, policy: str, watched: str = "", shown: Callable[[float], None] | None = None
) -> Run:
    """One run in virtual time."""
    day = read_scenario(path)
    account = Scoreboard(list(day.tracks), keeps_modes=True)
    world = Simulation(day, path.parent, seed, POLICIES[policy], account, watched)
    world.run(shown)
    return Run(seed, policy, account.result(), world.witness.broken, world.witness.stories, account.modes)


def play_on_sockets(
    path: Path, seed: int, folder: Path, watched: str = "", shown: Callable[[float], None] | None = None
) -> Run:
    """One run on sockets, with `ashpath serve` processes; files and logs of the run go to the folder."""
    from ashpath.emulator.loopback import Loopback

    day = read_scenario(path)
    account = Scoreboard(list(day.tracks))
    run = Loopback(day, path.parent, folder, seed, account, watched)
    run.run(shown)
    return Run(seed, "module on sockets", account.result(), run.witness.broken, run.witness.stories, [])


def play_all(path: Path, seeds: list[int], policies: list[str], jobs: int) -> Iterator[Run]:
    """Every seed under every policy, in that order, whoever is done first."""
    rows = [(path, seed, policy) for policy in policies for seed in seeds]
    if jobs == 1 or len(rows) == 1:
        yield from (play(*row) for row in rows)
        return
    # Started afresh: a fork would carry an event loop, or a progress bar's thread, along.
    with ProcessPoolExecutor(min(jobs, len(rows)), mp_context=get_context("spawn")) as pool:
        yield from pool.map(play, *zip(*rows, strict=True))


def outcome(day: Scenario, name: str, runs: list[Run]) -> bytes:
    """The outcome file: a line for the day, and one for each run, the same to the byte each time."""
    head = {"day": name, "lesson": day.day.lesson, "runs": len(runs)}
    lines = [head, *(run.told() for run in runs)]
    return b"".join(orjson.dumps(line, option=orjson.OPT_SORT_KEYS) + b"\n" for line in lines)


def table(runs: list[Run]) -> list[dict[str, Any]]:
    """A row for each policy over its seeds."""
    found = []
    for policy in dict.fromkeys(run.policy for run in runs):
        of = [run.result for run in runs if run.policy == policy]
        rules = sum(sum(one["rules"].values()) for one in of)
        found.append(
            {
                "policy": policy,
                "seeds": len(of),
                "g": round(mean(one["g"] for one in of), 4),
                "least": min(one["g"] for one in of),
                "worst_10s": round(mean(one["worst_window"] for one in of), 4),
                "worst_track": round(mean(one["worst_track"] for one in of), 4),
                "shots": round(mean(one["shots"] / max(1, one["handed_in"]) for one in of), 3),
                "fell": sum(one["falls"] for one in of),
                "rules_broken": rules,
            }
        )
    return found

"""Runs of scenarios: one, or many seeds and policies in processes of their own, with the same outcome
whatever their number; and the outcome file that is written of them."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from statistics import mean

import orjson

from ashpath.core.json_types import JsonObject
from ashpath.emulator.invariant_records import MessageEvent, RuleViolation
from ashpath.emulator.policies import POLICIES
from ashpath.emulator.scenario.loading import read_scenario
from ashpath.emulator.scenario.schema import Scenario
from ashpath.emulator.scoreboard import ModeChange, Scoreboard
from ashpath.emulator.simulation.event_queue import Progress
from ashpath.emulator.simulation.run import Simulation

SCENARIO_LIBRARY = Path(__file__).parent / "scenarios"
POLICY_ON_LOOPBACK = "module on sockets"


@dataclass(frozen=True, slots=True)
class Run:
    """What one run comes to; `result` is as `Scoreboard.result` has it."""

    seed: int
    policy: str
    result: JsonObject
    violations: list[RuleViolation]
    watched_events: list[MessageEvent]
    mode_changes: list[ModeChange]

    def row(self) -> JsonObject:
        """As outcome files have it."""
        broken = [
            {"rule": one.rule, "at": one.at, "what": one.what, "id": one.message_id}
            for one in self.violations
        ]
        return {"seed": self.seed, "policy": self.policy, **self.result, "broken": broken}


def scenario_path(name: str) -> Path:
    """A file, or a scenario of the library by its name. The file need not exist."""
    path = Path(name)
    return path if path.suffix == ".toml" or path.exists() else SCENARIO_LIBRARY / f"{name}.toml"


def simulate(path: Path, seed: int, policy: str, watched: str = "", progress: Progress | None = None) -> Run:
    """One run in simulated time. `watched` is the id of a message whose story is kept.

    Raises InvalidConfigurationError, OSError, ValueError or SimulationStalledError.
    """
    scenario = read_scenario(path)
    scoreboard = Scoreboard(list(scenario.traffic_classes), keeps_mode_changes=True)
    simulation = Simulation(scenario, path.parent, seed, POLICIES[policy], scoreboard, watched)
    simulation.run(progress)
    checker = simulation.checker
    return Run(
        seed, policy, scoreboard.result(), checker.violations, checker.watched_events, scoreboard.mode_changes
    )


def run_on_loopback(
    path: Path, seed: int, folder: Path, watched: str = "", progress: Progress | None = None
) -> Run:
    """One run on sockets, with `ashpath serve` processes; files and logs of the run go to the folder.

    Raises what `simulate` does, UnsupportedFaultError and FleetStartError.
    """
    from ashpath.emulator.loopback.run import LoopbackRun  # gevent, and a sender's modules

    scenario = read_scenario(path)
    scoreboard = Scoreboard(list(scenario.traffic_classes))
    run = LoopbackRun(scenario, path.parent, folder, seed, scoreboard, watched)
    run.run(progress)
    checker = run.checker
    return Run(seed, POLICY_ON_LOOPBACK, scoreboard.result(), checker.violations, checker.watched_events, [])


def simulate_all(path: Path, seeds: list[int], policies: list[str], jobs: int) -> Iterator[Run]:
    """Every seed under every policy, in that order, whichever is done first."""
    runs = [(path, seed, policy) for policy in policies for seed in seeds]
    if jobs == 1 or len(runs) == 1:
        yield from (simulate(*arguments) for arguments in runs)
        return
    # Started afresh: a fork would carry an event loop, or a progress bar's thread, along.
    with ProcessPoolExecutor(min(jobs, len(runs)), mp_context=get_context("spawn")) as pool:
        yield from pool.map(simulate, *zip(*runs, strict=True))


def outcome_file(scenario: Scenario, name: str, runs: list[Run]) -> bytes:
    """A line for the scenario, and one for each run, the same to the byte each time."""
    head = {"day": name, "lesson": scenario.about.lesson, "runs": len(runs)}
    lines = [head, *(run.row() for run in runs)]
    return b"".join(orjson.dumps(line, option=orjson.OPT_SORT_KEYS) + b"\n" for line in lines)


def policy_table(runs: list[Run]) -> list[JsonObject]:
    """A row for each policy over its seeds."""
    return [
        _policy_row(policy, [run.result for run in runs if run.policy == policy])
        for policy in dict.fromkeys(run.policy for run in runs)
    ]


def _policy_row(policy: str, results: list[JsonObject]) -> JsonObject:
    return {
        "policy": policy,
        "seeds": len(results),
        "g": round(mean(one["g"] for one in results), 4),
        "least": min(one["g"] for one in results),
        "worst_10s": round(mean(one["worst_window"] for one in results), 4),
        "worst_track": round(mean(one["worst_track"] for one in results), 4),
        "shots": round(mean(one["shots"] / max(1, one["handed_in"]) for one in results), 3),
        "fell": sum(one["falls"] for one in results),
        "rules_broken": sum(sum(one["rules"].values()) for one in results),
    }

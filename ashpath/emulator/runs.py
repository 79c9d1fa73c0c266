"""Runs of scenarios, and outcome files.

Many seeds and policies run in parallel processes; the outcome does not depend on the number of processes.
"""

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
    """The outcome of one run. `result` is the value of `Scoreboard.result`."""

    seed: int
    policy: str
    result: JsonObject
    violations: list[RuleViolation]
    watched_events: list[MessageEvent]
    mode_changes: list[ModeChange]

    def row(self) -> JsonObject:
        """Returns the run's row of an outcome file."""
        broken = [
            {"rule": violation.rule, "at": violation.at, "what": violation.what, "id": violation.message_id}
            for violation in self.violations
        ]
        return {"seed": self.seed, "policy": self.policy, **self.result, "broken": broken}


def scenario_path(name: str) -> Path:
    """Returns the path of a scenario, given as a file or by its name in the library. It may not exist."""
    path = Path(name)
    return path if path.suffix == ".toml" or path.exists() else SCENARIO_LIBRARY / f"{name}.toml"


def simulate(path: Path, seed: int, policy: str, watched: str = "", progress: Progress | None = None) -> Run:
    """Runs a scenario in simulated time. `watched` is the id of a request whose events are kept.

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
    """Runs a scenario on sockets, with `ashpath serve` processes that write files and logs to `folder`.

    Raises the errors of `simulate`, UnsupportedFaultError and FleetStartError.
    """
    from ashpath.emulator.loopback.run import LoopbackRun  # imports gevent and modules of the sender

    scenario = read_scenario(path)
    scoreboard = Scoreboard(list(scenario.traffic_classes))
    run = LoopbackRun(scenario, path.parent, folder, seed, scoreboard, watched)
    run.run(progress)
    checker = run.checker
    return Run(seed, POLICY_ON_LOOPBACK, scoreboard.result(), checker.violations, checker.watched_events, [])


def simulate_all(path: Path, seeds: list[int], policies: list[str], jobs: int) -> Iterator[Run]:
    """Runs each seed under each policy, and yields the runs by policy, then by seed."""
    runs = [(path, seed, policy) for policy in policies for seed in seeds]
    if jobs == 1 or len(runs) == 1:
        yield from (simulate(*arguments) for arguments in runs)
        return
    # A forked process would inherit an event loop, or the thread of a progress bar.
    with ProcessPoolExecutor(min(jobs, len(runs)), mp_context=get_context("spawn")) as pool:
        yield from pool.map(simulate, *zip(*runs, strict=True))


def outcome_file(scenario: Scenario, name: str, runs: list[Run]) -> bytes:
    """Returns a line for the scenario and one for each run; equal runs give equal bytes."""
    head = {"day": name, "lesson": scenario.about.lesson, "runs": len(runs)}
    lines = [head, *(run.row() for run in runs)]
    return b"".join(orjson.dumps(line, option=orjson.OPT_SORT_KEYS) + b"\n" for line in lines)


def policy_table(runs: list[Run]) -> list[JsonObject]:
    """Returns a row for each policy, over all of its seeds."""
    return [
        _policy_row(policy, [run.result for run in runs if run.policy == policy])
        for policy in dict.fromkeys(run.policy for run in runs)
    ]


def _policy_row(policy: str, results: list[JsonObject]) -> JsonObject:
    return {
        "policy": policy,
        "seeds": len(results),
        "g": round(mean(result["g"] for result in results), 4),
        "least": min(result["g"] for result in results),
        "worst_10s": round(mean(result["worst_window"] for result in results), 4),
        "worst_track": round(mean(result["worst_track"] for result in results), 4),
        "shots": round(mean(result["shots"] / max(1, result["handed_in"]) for result in results), 3),
        "fell": sum(result["falls"] for result in results),
        "rules_broken": sum(sum(result["rules"].values()) for result in results),
    }

"""Selects and executes the runs that a user requests with `ashpath simulate`."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from ashpath.cli.errors import BadInputError, CommandError
from ashpath.cli.progress_bar import progress_bar
from ashpath.config.errors import InvalidConfigurationError
from ashpath.emulator.policies import POLICIES
from ashpath.emulator.runs import (
    SCENARIO_LIBRARY,
    Run,
    outcome_file,
    run_on_loopback,
    scenario_path,
    simulate,
    simulate_all,
)
from ashpath.emulator.scenario.loading import read_scenario
from ashpath.emulator.scenario.schema import Scenario

ALL_POLICIES = "all"
DEFAULT_SEED = 1
SEED_OPTIONS = "--seed and --seeds"


@dataclass(frozen=True, slots=True)
class SimulationRequest:
    """A request to run a scenario with every seed under every policy."""

    path: Path
    """The scenario's file."""
    seeds: list[int]
    policies: list[str]
    jobs: int
    """The number of processes."""
    trace_id: str
    """The message whose history is recorded; empty for none."""

    @property
    def run_count(self) -> int:
        """The number of runs."""
        return len(self.seeds) * len(self.policies)


@dataclass(frozen=True, slots=True)
class ScenarioResults:
    """A scenario and its runs."""

    name: str
    scenario: Scenario
    runs: list[Run]

    def outcome(self) -> bytes:
        """Returns the contents of the results file."""
        return outcome_file(self.scenario, self.name, self.runs)


def find_scenario(name: str) -> Path:
    """Returns the file of a scenario. Raises BadInputError if the library has none of that name."""
    path = scenario_path(name)
    if not path.exists() and not name.endswith(".toml"):
        known = ", ".join(sorted(file.stem for file in SCENARIO_LIBRARY.glob("*.toml")))
        problem = f"no day {name!r}; the library has {known}"
        raise BadInputError(problem)
    return path


def choose_policies(names: tuple[str, ...]) -> list[str]:
    """Returns the policies in order, without duplicates. Raises BadInputError if a name is unknown."""
    chosen = list(POLICIES) if ALL_POLICIES in names else list(dict.fromkeys(names))
    for name in chosen:
        if name not in POLICIES:
            known = ", ".join(POLICIES)
            problem = f"found {name!r}, expected all or one of {known}"
            raise BadInputError("--policy", problem)
    return chosen


def choose_seeds(seed: int | None, seeds: list[int] | None) -> list[int]:
    """Returns the seeds to run. Raises BadInputError if both options are given."""
    if seed is not None and seeds is not None:
        problem = "found both, expected one of them"
        raise BadInputError(SEED_OPTIONS, problem)
    return seeds or [DEFAULT_SEED if seed is None else seed]


def run_scenario(request: SimulationRequest, *, sockets: bool, keep: Path | None) -> ScenarioResults:
    """Executes all runs.

    Raises InvalidConfigurationError if the scenario's file is invalid, or CommandError.
    """
    try:
        scenario = read_scenario(request.path)
        runs = run_on_sockets(request, keep) if sockets else run_in_virtual_time(request)
    except InvalidConfigurationError:
        raise
    except (OSError, ValueError) as error:
        raise BadInputError(request.path, error) from error
    except RuntimeError as error:
        raise CommandError(error) from error
    return ScenarioResults(request.path.stem, scenario, runs)


def run_in_virtual_time(request: SimulationRequest) -> list[Run]:
    """Executes all runs in virtual time and returns them by policy and seed."""
    with progress_bar(request.path.stem, request.run_count) as report_progress:
        if request.run_count == 1:
            seed = request.seeds[0]
            policy = request.policies[0]
            return [simulate(request.path, seed, policy, request.trace_id, report_progress)]
        runs: list[Run] = []
        for run in simulate_all(request.path, request.seeds, request.policies, request.jobs):
            runs.append(run)
            report_progress(len(runs))
        return runs


def run_on_sockets(request: SimulationRequest, keep: Path | None) -> list[Run]:
    """Executes a run for each seed on loopback, one after another, as parallel runs slow each other down."""
    runs: list[Run] = []
    with progress_bar(request.path.stem, request.run_count) as report_progress:
        for seed in request.seeds:
            with run_directory(seed, keep) as directory:
                runs.append(run_on_loopback(request.path, seed, directory, request.trace_id, report_progress))
    return runs


@contextmanager
def run_directory(seed: int, keep: Path | None) -> Iterator[Path]:
    """Yields a new directory for the files and logs of one run, removed afterwards if `keep` is None."""
    if keep is not None:
        directory = keep / f"seed-{seed}"
        directory.mkdir(parents=True)
        yield directory
        return
    with tempfile.TemporaryDirectory(prefix="ashpath-simulate-") as directory_name:
        yield Path(directory_name)

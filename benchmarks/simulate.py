"""Measures the speed of the simulation by number of senders, and each policy's results in every scenario.

    .venv/bin/python -m benchmarks.simulate speed
    .venv/bin/python -m benchmarks.simulate days [SEEDS] [JOBS]

`speed` runs the scenario wide-calm on one core, with traffic and destinations scaled to the number of
senders, and profiles it by file. `days` runs the scenario library. All figures except times and memory are
simulated.
"""

from __future__ import annotations

import cProfile
import pstats
import resource
import sys
import time
from pathlib import Path
from statistics import mean
from typing import Any

from ashpath.config.units import Duration
from ashpath.core.time_units import SECOND
from ashpath.emulator.policies import DELIVERY_POLICY, POLICIES
from ashpath.emulator.runs import SCENARIO_LIBRARY, scenario_path, simulate_all
from ashpath.emulator.scenario.loading import read_scenario
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulation.run import Simulation
from benchmarks.figure_storage import store_figures

RATE = 4.5  # requests per second and sender, as in the scenario file
SENDERS_OF_SCENARIO = 200
SENDERS_MEASURED = (30, 50, 300)
SENDERS_PROFILED = 50
FILES_SHOWN = 8
DEFAULT_SEEDS = 20
LONG_SCENARIO = "september-week"
SEEDS_OF_LONG_SCENARIO = 2


def scaled_simulation(senders: int) -> Simulation:
    """Returns the scenario with this number of senders, and destinations and traffic in proportion."""
    scenario = read_scenario(scenario_path("wide-calm"))
    scenario.fleet.senders = senders
    scenario.spans[0].rate = RATE * senders
    scenario.spans[0].length = Duration(max(10, 6000 // senders) * SECOND)
    for group in scenario.destinations.values():
        group.count = max(1, group.count * senders // SENDERS_OF_SCENARIO)
    scoreboard = Scoreboard(list(scenario.traffic_classes))
    return Simulation(scenario, SCENARIO_LIBRARY, 1, POLICIES[DELIVERY_POLICY], scoreboard)


def measure_speed() -> None:
    """Measures and stores the figures of `speed`."""
    rows = {str(senders): _timed_run(senders) for senders in SENDERS_MEASURED}
    most_senders = str(max(SENDERS_MEASURED))
    fewest_senders = str(min(SENDERS_MEASURED))
    ratio = round(rows[most_senders]["us_an_envelope"] / rows[fewest_senders]["us_an_envelope"], 2)
    figures = {"senders": rows, "cost_at_300_to_30": ratio, "share_of_time_by_file": _time_by_file()}
    store_figures("rehearse-speed", "python -m benchmarks.simulate speed", figures)


def _timed_run(senders: int) -> dict[str, float]:
    simulation = scaled_simulation(senders)
    began = time.process_time()
    simulation.run()
    took = time.process_time() - began
    requests = simulation.scoreboard.requested_count
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return {
        "endpoints": len(simulation.network.endpoints),
        "envelopes": requests,
        "envelopes_a_second": round(requests / took),
        "us_an_envelope": round(1e6 * took / requests, 1),
        "peak_mib_so_far": round(peak),
    }


def _time_by_file() -> dict[str, float]:
    """Returns the share of a profiled run's time by file, in descending order."""
    profile = cProfile.Profile()
    profile.runcall(scaled_simulation(SENDERS_PROFILED).run)
    stats: Any = pstats.Stats(profile)  # the type stubs lack its tables
    by_file: dict[str, float] = {}
    for (path, _, _), (_, _, own, _, _) in stats.stats.items():
        name = path.rsplit("/", 1)[-1]
        by_file[name] = by_file.get(name, 0.0) + own
    largest = sorted(by_file.items(), key=lambda row: -row[1])[:FILES_SHOWN]
    return {name: round(own / stats.total_tt, 3) for name, own in largest}


def measure_scenarios(seeds: int, jobs: int) -> None:
    """Measures and stores the figures of `days`."""
    rows: dict[str, Any] = {}
    for path in sorted(SCENARIO_LIBRARY.glob("*.toml")):
        seed_count = min(seeds, SEEDS_OF_LONG_SCENARIO) if path.stem == LONG_SCENARIO else seeds
        row = _policies_on(path, seed_count, jobs)
        rows[path.stem] = row
        print(path.stem, {policy: (one["g"], one["rules"]) for policy, one in row.items()}, flush=True)
    store_figures("rehearse-days", f"python -m benchmarks.simulate days {seeds} {jobs}", {"days": rows})


def _policies_on(path: Path, seeds: int, jobs: int) -> dict[str, dict[str, float]]:
    found: dict[str, list[dict[str, Any]]] = {}
    for run in simulate_all(path, list(range(1, seeds + 1)), list(POLICIES), jobs):
        found.setdefault(run.policy, []).append(run.result)
    return {
        policy: {
            "g": round(mean(one["g"] for one in results), 4),
            "least": min(one["g"] for one in results),
            "rules": sum(sum(one["rules"].values()) for one in results),
            "seeds": len(results),
        }
        for policy, results in found.items()
    }


def main() -> None:
    """Runs the command of the command line."""
    command = sys.argv[1] if len(sys.argv) > 1 else "speed"
    if command == "speed":
        measure_speed()
        return
    seeds = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_SEEDS
    jobs = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    measure_scenarios(seeds, jobs)


if __name__ == "__main__":
    main()

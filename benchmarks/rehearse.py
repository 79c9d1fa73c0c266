"""How fast the emulator is, what a sender more costs it, and what the module and each baseline come to on
every day of the library.

    .venv/bin/python -m benchmarks.rehearse speed
    .venv/bin/python -m benchmarks.rehearse days [SEEDS] [JOBS]

`speed` plays the day wide-calm with its traffic and partners scaled to the number of senders, one core, and
prints where the time goes. All figures but the times are simulated.
"""

from __future__ import annotations

import cProfile
import pstats
import resource
import sys
import time
from statistics import mean
from typing import Any

from ashpath.config.units import Duration
from ashpath.emulator.baselines import POLICIES
from ashpath.emulator.scenario import read_scenario
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulate import DAYS, find, play_all
from ashpath.emulator.simulation import Simulation
from benchmarks.kept import keep

RATE = 4.5  # envelopes a second and sender, as on the day itself


def world(senders: int) -> Simulation:
    """The day for so many senders: as many partners and as much traffic for each as for two hundred."""
    day = read_scenario(find("wide-calm"))
    day.fleet.senders = senders
    day.spans[0].rate, day.spans[0].lasts = RATE * senders, Duration(max(10, 6000 // senders) * 1_000_000)
    for row in day.partners.values():
        row.count = max(1, row.count * senders // 200)
    return Simulation(day, DAYS, 1, POLICIES["module"], Scoreboard(list(day.tracks)))


def speed() -> None:
    rows: dict[str, Any] = {}
    for senders in (30, 50, 300):
        one = world(senders)
        began = time.process_time()
        one.run()
        took, count = time.process_time() - began, one.account.handed_in
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        rows[str(senders)] = {
            "endpoints": len(one.sites),
            "envelopes": count,
            "envelopes_a_second": round(count / took),
            "us_an_envelope": round(1e6 * took / count, 1),
            "peak_mib_so_far": round(peak),
        }
    profile = cProfile.Profile()
    one = world(50)
    profile.runcall(one.run)
    stats: Any = pstats.Stats(profile)
    whole = stats.total_tt
    by_file: dict[str, float] = {}
    for (path, _, _), (_, _, own, _, _) in stats.stats.items():
        name = path.rsplit("/", 1)[-1]
        by_file[name] = by_file.get(name, 0.0) + own
    shares = {name: round(own / whole, 3) for name, own in sorted(by_file.items(), key=lambda r: -r[1])[:8]}
    ratio = round(rows["300"]["us_an_envelope"] / rows["30"]["us_an_envelope"], 2)
    told = {"senders": rows, "cost_at_300_to_30": ratio, "share_of_time_by_file": shares}
    keep("rehearse-speed", "python -m benchmarks.rehearse speed", told)


def days(seeds: int, jobs: int) -> None:
    rows: dict[str, Any] = {}
    for path in sorted(DAYS.glob("*.toml")):
        found: dict[str, Any] = {}
        few = seeds if path.stem != "september-week" else min(seeds, 2)
        for run in play_all(path, list(range(1, few + 1)), list(POLICIES), jobs):
            found.setdefault(run.policy, []).append(run.result)
        rows[path.stem] = {
            policy: {
                "g": round(mean(one["g"] for one in of), 4),
                "least": min(one["g"] for one in of),
                "rules": sum(sum(one["rules"].values()) for one in of),
                "seeds": len(of),
            }
            for policy, of in found.items()
        }
        seen = {policy: (row["g"], row["rules"]) for policy, row in rows[path.stem].items()}
        print(path.stem, seen, flush=True)
    keep("rehearse-days", f"python -m benchmarks.rehearse days {seeds} {jobs}", {"days": rows})


def main() -> None:
    what = sys.argv[1] if len(sys.argv) > 1 else "speed"
    if what == "speed":
        speed()
    else:
        numbers = [int(word) for word in sys.argv[2:4]]
        days(*(numbers + [20, 1][len(numbers) :]))


if __name__ == "__main__":
    main()

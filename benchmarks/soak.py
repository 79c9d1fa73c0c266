"""Short runs of real senders under concurrent faults of all kinds, one per seed, checked by the six rules.

    .venv/bin/python -m benchmarks.soak --seeds 1..50 [--side-by-side 4] [--keep FOLDER]

Prints a line per seed. The same seed gives the same schedule. If a run breaks a rule, its logs, states and
records are kept, and the exit code is 1. Endpoints, clients and agents are simulated, the senders are real.
Each seed has a process of its own: stand-ins that share one are late where another run keeps it busy.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from ashpath.emulator.soak.judge import BrokenRule, RuleChecker
from ashpath.emulator.soak.plan import draw_plan
from ashpath.emulator.soak.run import SoakRun
from ashpath.emulator.soak.settings import rule_checker_settings

START_INTERVAL_S = 0.5  # staggers the starts, as they take processor time
MAX_FINDINGS_SHOWN = 4  # findings printed for one seed


def run_seed(seed: int, folder: Path) -> list[BrokenRule]:
    """Runs one seed. Returns the broken rules; if there are any, the run's records are in the folder."""
    plan = draw_plan(
        seed, with_upgrades=True, with_message_faults=True, with_crowds=True, with_second_upgrades=True
    )
    run_folder = folder / f"seed-{seed}"
    records = SoakRun(plan, run_folder, fills_disk=True).play()
    broken = RuleChecker(records, rule_checker_settings(plan)).broken_rules()
    if broken:
        (run_folder / "plan.json").write_bytes(msgspec.json.encode(plan))
        (run_folder / "records.json").write_bytes(msgspec.json.encode(records))
    else:
        shutil.rmtree(run_folder)
    accepted = sum(one.status in (200, 202) for one in records.submissions.values())
    line = (
        f"seed {seed}: {len(records.submissions)} requests, {accepted} accepted, {len(records.calls)} calls, "
        f"longest pause of the stand-ins {records.longest_pause_s:.2f} s, "
        f"most bytes on disk {max(records.most_disk_bytes.values(), default=0)}, "
        f"resident {max(records.most_resident_bytes.values(), default=0)}, "
        f"sockets {max(records.most_sockets.values(), default=0)}, upgrades {len(plan.upgrades)}, "
        f"crowds {[f'{event.clients} {event.shape.value}' for event in plan.crowds]}"
    )
    print(line, *map(str, broken[:MAX_FINDINGS_SHOWN]), sep="\n  ", flush=True)
    return broken


def parse_seeds(text: str) -> list[int]:
    """Parses `3` or `1..50`. Raises ValueError for other text."""
    first, _, last = text.partition("..")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1..50"))
    parser.add_argument("--side-by-side", type=int, default=4)
    parser.add_argument("--keep", type=Path, default=None)
    options = parser.parse_args()
    folder = options.keep or Path(tempfile.mkdtemp(prefix="soak-"))
    if len(options.seeds) == 1:
        return 1 if run_seed(options.seeds[0], folder) else 0
    failed = run_in_processes(options.seeds, folder, options.side_by_side)
    failing = f", broken: {failed}, see {folder}" if failed else ""
    print(f"{len(options.seeds)} days, {len(failed)} broke a rule{failing}")
    return 1 if failed else 0


def run_in_processes(seeds: list[int], folder: Path, side_by_side: int) -> list[int]:
    """Runs each seed in its own process. Returns the seeds that broke a rule, or whose process failed."""

    def run_in_process(number: int, seed: int) -> int:
        time.sleep(START_INTERVAL_S * (number % side_by_side))
        command = [sys.executable, "-m", "benchmarks.soak", "--seeds", str(seed), "--keep", str(folder)]
        return subprocess.run(command, check=False).returncode

    with ThreadPoolExecutor(side_by_side) as pool:
        codes = list(pool.map(run_in_process, range(len(seeds)), seeds))
    return [seed for seed, code in zip(seeds, codes, strict=True) if code]


if __name__ == "__main__":
    sys.exit(main())

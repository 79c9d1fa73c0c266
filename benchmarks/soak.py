"""Short runs of real senders under concurrent faults of all kinds, one per seed, checked by the six rules.

    .venv/bin/python -m benchmarks.soak --seeds 1..50 [--side-by-side 4] [--keep FOLDER]

Prints a line per seed. The same seed gives the same schedule. If a run breaks a rule, its logs, states and
records are kept, and the exit code is 1. Endpoints, clients and agents are simulated, the senders are real.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tempfile
from pathlib import Path

import gevent
import msgspec
from gevent.pool import Pool
from rich.progress import Progress

from ashpath.emulator.soak.judge import BrokenRule, RuleChecker
from ashpath.emulator.soak.plan import draw_plan
from ashpath.emulator.soak.run import SoakRun
from ashpath.emulator.soak.settings import rule_checker_settings

MAX_FINDINGS_SHOWN = 4  # findings printed for one seed


def run_seed(seed: int, folder: Path) -> list[BrokenRule]:
    """Runs one seed. Returns the broken rules; if there are any, the run's records are in the folder."""
    plan = draw_plan(seed, with_upgrades=True, with_message_faults=True)
    run_folder = folder / f"seed-{seed}"
    records = SoakRun(plan, run_folder).play()
    broken = RuleChecker(records, rule_checker_settings(plan)).broken_rules()
    if broken:
        (run_folder / "plan.json").write_bytes(msgspec.json.encode(plan))
        (run_folder / "records.json").write_bytes(msgspec.json.encode(records))
    else:
        shutil.rmtree(run_folder)
    accepted = sum(one.status in (200, 202) for one in records.submissions.values())
    line = (
        f"seed {seed}: {len(records.submissions)} requests, {accepted} accepted, {len(records.calls)} calls, "
        f"longest pause of the stand-ins {records.longest_pause_s:.2f} s"
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
    failed: list[int] = []

    def play(seed: int) -> None:
        if run_seed(seed, folder):
            failed.append(seed)

    pool = Pool(options.side_by_side)
    with Progress(disable=not sys.stderr.isatty()) as progress:
        task = progress.add_task("days", total=len(options.seeds))
        for seed in options.seeds:
            pool.spawn(play, seed).link(lambda _: progress.advance(task))
            gevent.sleep(0.5)  # staggers the starts, as they take processor time
        pool.join(raise_error=True)
    failing = f", broken: {sorted(failed)}, see {folder}" if failed else ""
    print(f"{len(options.seeds)} days, {len(failed)} broke a rule{failing}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

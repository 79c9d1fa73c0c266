"""The calls of fleets of all kinds to a destination directly after its outage, relative to their limit
(`ashpath/emulator/recovery_budget.py`).

    .venv/bin/python -m benchmarks.slow_start_budget [--seeds 2] [--processes 3] [--trace N]

Runs the full cross of `tests/support/recovery_cases.py` in simulated time. Prints each case that exceeds its
limit, then the cases by outage length and restart. `--trace` prints what the senders of the first N such
cases did.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from multiprocessing import Pool
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from support.recovery_cases import RecoveryCase, all_cases

from ashpath.core.time_units import SECOND


@dataclass(frozen=True, slots=True)
class Result:
    """The calls of one case in the first window after the outage."""

    case: RecoveryCase
    calls: int
    limit: float

    @property
    def load(self) -> float:
        """The calls relative to their limit."""
        return self.calls / self.limit


def run(case: RecoveryCase) -> Result:
    return Result(case, *case.fleet().run().first_window())


def print_by(name: str, results: Sequence[Result], key: Callable[[RecoveryCase], object]) -> None:
    """Prints for each value of a property how many cases exceed the limit, and the highest load."""
    print(f"by {name}:")
    for value in dict.fromkeys(key(result.case) for result in results):
        group = [result for result in results if key(result.case) == value]
        over = sum(result.load > 1 for result in group)
        print(f"  {value}: {over} of {len(group)} over, highest {max(r.load for r in group):.2f}")


def print_trace(case: RecoveryCase) -> None:
    """Prints the mode changes of a case's senders, and the senders of the calls in the first window."""
    fleet = case.fleet().run()
    recovers_at = fleet.outage[1]
    print(f"\n{case}: {fleet.first_window()}, restarts {fleet.single_restarts}")
    calls = Counter((call.sender, call.incarnation) for call in fleet.recovery_calls)
    for (sender, incarnation), count in calls.most_common(8):
        print(f"  sender {sender} incarnation {incarnation}: {count} calls")
        for change in fleet.mode_changes:
            if (change.sender, change.incarnation) == (sender, incarnation):
                print(f"    {(change.at - recovers_at) / SECOND:+.3f} s {change.text}")


def main() -> int:
    """Runs all cases. The exit code is 1 if one exceeds its limit."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--trace", type=int, default=0)
    options = parser.parse_args()
    with Pool(options.processes) as pool:
        results = pool.map(run, all_cases(options.seeds), chunksize=8)
    over = [result for result in results if result.load > 1]
    for result in over:
        print(f"{result.case}: {result.calls} calls, {result.limit:.1f} allowed")
    print_by("outage length in seconds", results, lambda case: case.outage_s)
    print_by("restart", results, lambda case: case.restart.value if case.restart else "none")
    print_by("senders", results, lambda case: case.senders)
    print_by("customer and capacity", results, lambda case: (case.site, case.capacity))
    print_by("late senders", results, lambda case: case.late)
    print_by("kind", results, lambda case: "silent" if case.silent else "refuses")
    print(f"{len(over)} of {len(results)} cases exceed their limit")
    for result in over[: options.trace]:
        print_trace(result.case)
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(main())

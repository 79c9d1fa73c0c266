"""What `ashpath simulate` prints of its runs, on standard output."""

from __future__ import annotations

from collections.abc import Sequence

from ashpath.cli.output import print_rows
from ashpath.emulator.runs import Run, policy_table

POLICY_UNDER_TEST = "module"  # also the first word of its name on sockets
MAX_CAUSES = 8
MAX_VIOLATIONS = 5  # of each run


def print_tables(runs: Sequence[Run], *, windows: bool) -> None:
    """A row for each policy; before it, the windows where there is one run, behind it, its losses."""
    first = runs[0]
    if windows and len(runs) == 1:
        print_rows(first.result["windows"], as_json=False)
    print_rows(policy_table(list(runs)), as_json=False)
    for name, count in list(first.result["causes"].items())[:MAX_CAUSES]:
        print(f"lost in seed {first.seed}: {count} {name}")


def print_modes(run: Run) -> None:
    """The changes of mode of one run."""
    for at, sender, text in run.mode_changes:
        print(f"{seconds(at)} sender {sender}: {text}")


def print_violations(runs: Sequence[Run]) -> None:
    """The rules that were broken, and how each came about."""
    for run in runs:
        for violation in run.broken[:MAX_VIOLATIONS]:
            print(
                f"{run.policy}, seed {run.seed}, {violation.at / 1e6:.3f}s: "
                f"{violation.rule}: {violation.what} {violation.message_id}"
            )
            for at, event in violation.story:
                print(f"    {seconds(at)} {event}")


def print_history(run: Run, trace_id: str) -> None:
    """What became of one message."""
    for at, event in run.stories:
        print(f"{seconds(at)} {event}")
    if not run.stories:
        print(f"no envelope {trace_id!r} was taken on in seed {run.seed}")


def policy_broke_rules(runs: Sequence[Run]) -> bool:
    """Whether a run of the policy did; baselines may."""
    return any(run.result["rules"] for run in runs if run.policy.startswith(POLICY_UNDER_TEST))


def seconds(at: int) -> str:
    """A time of the simulation, given in microseconds."""
    return f"{at / 1e6:9.3f}s"

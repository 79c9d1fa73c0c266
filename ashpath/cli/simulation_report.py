"""What `ashpath simulate` prints of its runs, on standard output."""

from __future__ import annotations

from ashpath.cli.output import print_rows
from ashpath.cli.simulation_runs import ScenarioResults
from ashpath.emulator.runs import Run, policy_table

POLICY_UNDER_TEST = "module"  # also the first word of its name on sockets
MAX_CAUSES = 8
MAX_VIOLATIONS = 5  # of each run


def print_tables(results: ScenarioResults, *, windows: bool) -> None:
    """What the scenario teaches, and a row for each policy.

    Before the row stand the windows, where there is one run; behind it the losses of the first run.
    """
    print(f"{results.name}: {results.scenario.about.lesson} (simulated)")
    first = results.runs[0]
    if windows and len(results.runs) == 1:
        print_rows(first.result["windows"], as_json=False)
    print_rows(policy_table(results.runs), as_json=False)
    for name, count in list(first.result["causes"].items())[:MAX_CAUSES]:
        print(f"lost in seed {first.seed}: {count} {name}")


def print_mode_changes(run: Run) -> None:
    """The changes of mode of one run."""
    for time_us, sender, text in run.mode_changes:
        print(f"{format_time(time_us)} sender {sender}: {text}")


def print_violations(results: ScenarioResults) -> None:
    """The rules that were broken, and how each came about."""
    for run in results.runs:
        for violation in run.broken[:MAX_VIOLATIONS]:
            print(
                f"{run.policy}, seed {run.seed}, {violation.at / 1e6:.3f}s: "
                f"{violation.rule}: {violation.what} {violation.message_id}"
            )
            for time_us, event in violation.story:
                print(f"    {format_time(time_us)} {event}")


def print_history(run: Run, trace_id: str) -> None:
    """What became of one message."""
    for time_us, event in run.stories:
        print(f"{format_time(time_us)} {event}")
    if not run.stories:
        print(f"no envelope {trace_id!r} was taken on in seed {run.seed}")


def policy_broke_rules(results: ScenarioResults) -> bool:
    """Whether a run of the policy did; baselines may."""
    return any(run.result["rules"] for run in results.runs if run.policy.startswith(POLICY_UNDER_TEST))


def format_time(time_us: int) -> str:
    """A time of the simulation, given in microseconds."""
    return f"{time_us / 1e6:9.3f}s"

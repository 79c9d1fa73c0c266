"""Prints the results of `ashpath simulate` on standard output."""

from __future__ import annotations

from ashpath.cli.output import print_rows
from ashpath.cli.simulation_runs import ScenarioResults
from ashpath.core.time_units import SECOND
from ashpath.emulator.runs import Run, policy_table

POLICY_UNDER_TEST = "module"  # with --sockets, its name begins with this word
MAX_CAUSES = 8
MAX_VIOLATIONS = 5  # per run


def print_tables(results: ScenarioResults, *, windows: bool) -> None:
    """Prints the purpose of the scenario, a row for each policy, and the causes of losses in the first run.

    For a single run, the table of windows precedes the rows of the policies.
    """
    print(f"{results.name}: {results.scenario.about.lesson} (simulated)")
    first = results.runs[0]
    if windows and len(results.runs) == 1:
        print_rows(first.result["windows"], as_json=False)
    print_rows(policy_table(results.runs), as_json=False)
    for name, count in list(first.result["causes"].items())[:MAX_CAUSES]:
        print(f"lost in seed {first.seed}: {count} {name}")


def print_mode_changes(run: Run) -> None:
    """Prints the mode changes of one run."""
    for time_us, sender, text in run.mode_changes:
        print(f"{format_time(time_us)} sender {sender}: {text}")


def print_violations(results: ScenarioResults) -> None:
    """Prints the rules that were broken, and the events that led to each violation."""
    for run in results.runs:
        for violation in run.violations[:MAX_VIOLATIONS]:
            print(
                f"{run.policy}, seed {run.seed}, {violation.at / SECOND:.3f}s: "
                f"{violation.rule}: {violation.what} {violation.message_id}"
            )
            for time_us, event in violation.events:
                print(f"    {format_time(time_us)} {event}")


def print_history(run: Run, trace_id: str) -> None:
    """Prints the events of one message."""
    for time_us, event in run.watched_events:
        print(f"{format_time(time_us)} {event}")
    if not run.watched_events:
        print(f"no message {trace_id!r} was accepted in seed {run.seed}")


def policy_broke_rules(results: ScenarioResults) -> bool:
    """Returns whether a run of the policy broke a rule; violations by baselines do not count."""
    return any(run.result["rules"] for run in results.runs if run.policy.startswith(POLICY_UNDER_TEST))


def format_time(time_us: int) -> str:
    """Formats a simulated time, given in microseconds, as seconds."""
    return f"{time_us / SECOND:9.3f}s"

"""`ashpath simulate DAY`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ashpath.cli.errors import CommandError
from ashpath.cli.exit_codes import ExitCode
from ashpath.cli.options import SeedsType
from ashpath.config.errors import InvalidConfigurationError


@click.command()
@click.argument("name", metavar="DAY")
@click.option("--seed", type=click.IntRange(0), default=None, help="One seed; 1 if neither is given.")
@click.option("--seeds", type=SeedsType(), default=None, help="A range of seeds, such as 1..20.")
@click.option("--policy", "policies", multiple=True, default=("module",), help="module, a baseline, or all.")
@click.option(
    "--jobs", type=click.IntRange(1, 256), default=1, show_default=True, help="Number of processes."
)
@click.option("--json", "file", type=click.Path(path_type=Path), help="Write the results to this file.")
@click.option("--sockets", is_flag=True, help="Run it on loopback, with senders in processes of their own.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="With --sockets: the directory for files and logs."
)
@click.option("--story", help="Print the history of one message, by its id.")
@click.option(
    "--windows/--no-windows",
    default=True,
    help="Print a table with a row for each ten seconds, for a single run.",
)
@click.option("--modes", is_flag=True, help="Print the policy's mode changes in the first run.")
def command(
    name: str,
    seed: int | None,
    seeds: list[int] | None,
    policies: tuple[str, ...],
    jobs: int,
    file: Path | None,
    sockets: bool,
    keep: Path | None,
    story: str | None,
    windows: bool,
    modes: bool,
) -> int:
    """Run the scenario DAY, a file or the name of one in the library, in virtual time. Exit code 1 if the
    policy breaks a rule. All figures are simulated."""
    from ashpath.cli import simulation_report as report
    from ashpath.cli import simulation_runs

    request = simulation_runs.SimulationRequest(
        path=simulation_runs.find_scenario(name),
        policies=simulation_runs.choose_policies(policies),
        seeds=simulation_runs.choose_seeds(seed, seeds),
        jobs=jobs,
        trace_id=story or "",
    )
    try:
        results = simulation_runs.run_scenario(request, sockets=sockets, keep=keep)
    except InvalidConfigurationError as error:
        for line in error.lines:
            print(f"ashpath: {line}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    report.print_tables(results, windows=windows)
    if modes:
        report.print_mode_changes(results.runs[0])
    report.print_violations(results)
    if story:
        report.print_history(results.runs[0], story)
    if file is not None:
        write_outcome(file, results.outcome())
    return ExitCode.FAILED if report.policy_broke_rules(results) else ExitCode.OK


def write_outcome(file: Path, data: bytes) -> None:
    """Writes the results file. Raises CommandError if it cannot be written."""
    try:
        file.write_bytes(data)
    except OSError as error:
        option = f"--json {file}"
        raise CommandError(option, error.strerror) from error

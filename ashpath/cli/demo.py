"""`ashpath demo`."""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

import click

from ashpath.cli.errors import CommandError
from ashpath.cli.exit_codes import ExitCode
from ashpath.cli.output import Row, format_cell

ShowRows = Callable[[float, Sequence[Row]], None]
"""A function that shows the elapsed seconds and a row for each destination."""


@click.command()
@click.option(
    "--seconds", type=click.FloatRange(2, 600), default=20.0, show_default=True, help="Duration of arrivals."
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Random seed of arrivals and destinations.",
)
@click.option("--kill", is_flag=True, help="Kill the sender half-way, and start it again.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Write the file, state and log to this new directory."
)
def command(seconds: float, seed: int, kill: bool, keep: Path | None) -> int:
    """Run a sender on loopback against simulated destinations: a bank with a limit, a slow letting office,
    and a landlord app that has an outage and warms up. Prints the number of messages by final outcome; exit
    code 1 if a message has no outcome or was delivered twice."""
    from ashpath.emulator.demo.run import Demo

    with demo_directory(keep) as directory:
        demo = Demo(directory, seconds, seed, kill=kill)
        try:
            with display() as show_rows:
                summary = demo.run(show_rows)
        except RuntimeError as error:
            raise CommandError(error) from error
        finally:
            demo.stop()
    ends = summary.ends
    withdrawn = f" + {ends['withdrawn']} withdrawn" if ends["withdrawn"] else ""
    print(
        f"handed in {summary.submitted} = completed {ends['completed']} + bounced {ends['bounced']}"
        f" + aborted {ends['aborted']}{withdrawn}; shots {summary.attempts}, doubles {summary.duplicates},"
        f" unaccounted for {len(summary.unaccounted)}"
    )
    for trace_id in summary.unaccounted:
        print(f"no outcome: {trace_id}")
    return ExitCode.OK if summary.is_consistent else ExitCode.FAILED


@contextmanager
def demo_directory(keep: Path | None) -> Iterator[Path]:
    """Yields a new directory, which is removed afterwards unless `keep` names it. Raises CommandError."""
    if keep is None:
        with tempfile.TemporaryDirectory(prefix="ashpath-demo-") as directory_name:
            yield Path(directory_name)
        return
    try:
        keep.mkdir()
    except OSError as error:
        option = f"--keep {keep}"
        raise CommandError(option, error.strerror) from error
    yield keep


@contextmanager
def display() -> Iterator[ShowRows]:
    """Yields a function that redraws a table in place, or prints plain lines if there is no terminal."""
    if not sys.stdout.isatty():
        yield print_lines
        return
    from rich.box import SIMPLE_HEAD
    from rich.live import Live
    from rich.table import Table

    with Live(auto_refresh=False) as live:

        def draw_table(elapsed_s: float, rows: Sequence[Row]) -> None:
            title = f"ashpath demo, {elapsed_s:.0f} s"
            table = Table(*rows[0], title=title, box=SIMPLE_HEAD, pad_edge=False, collapse_padding=True)
            for row in rows:
                table.add_row(*map(format_cell, row.values()))
            live.update(table, refresh=True)

        yield draw_table


def print_lines(elapsed_s: float, rows: Sequence[Row]) -> None:
    """Prints a line for each destination."""
    for row in rows:
        cells = " ".join(f"{name}={format_cell(value)}" for name, value in row.items())
        print(f"{elapsed_s:5.1f}s {cells}", flush=True)

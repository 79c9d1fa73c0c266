"""`ashpath demo`."""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click

from ashpath.cli.group import FAILED, OK, Failure
from ashpath.cli.rows import text


@click.command()
@click.option(
    "--seconds", type=click.FloatRange(2, 600), default=20.0, show_default=True, help="Of arrivals."
)
@click.option(
    "--seed", type=click.IntRange(0), default=1, show_default=True, help="Of arrivals and partners."
)
@click.option("--kill", is_flag=True, help="Kill the sender half-way, and start it again.")
@click.option("--keep", type=click.Path(path_type=Path), help="Write file, state and log to this new folder.")
def command(seconds: float, seed: int, kill: bool, keep: Path | None) -> int:
    """Watch a sender among stand-in partners: a bank with a limit, a slow letting office, and a landlord app
    that goes silent and comes back cold. Ends with an account of every envelope; exit code 1 if one has no
    end or was doubled. All on loopback."""
    from ashpath.emulator.demo import Show

    with tempfile.TemporaryDirectory(prefix="ashpath-demo-") as made:
        folder = keep or Path(made)
        try:
            folder.mkdir(exist_ok=keep is None)
        except OSError as error:
            raise Failure(f"--keep {folder}: {error.strerror}") from None
        show = Show(folder, seconds, seed, kill=kill)
        try:
            with screen() as shown:
                summary = show.run(shown)
        except RuntimeError as error:
            raise Failure(str(error)) from None
        finally:
            show.stop()
    ends = summary.ends
    withdrawn = f" + {ends['withdrawn']} withdrawn" if ends["withdrawn"] else ""
    print(
        f"handed in {summary.handed_in} = completed {ends['completed']} + bounced {ends['bounced']}"
        f" + aborted {ends['aborted']}{withdrawn}; shots {summary.shots}, doubles {summary.doubles},"
        f" unaccounted for {len(summary.unaccounted)}"
    )
    for trace in summary.unaccounted:
        print(f"no end: {trace}")
    return OK if summary.sound else FAILED


def plain(passed: float, rows: list[dict[str, Any]]) -> None:
    """A line for each destination, without a terminal."""
    for row in rows:
        print(
            f"{passed:5.1f}s " + " ".join(f"{name}={text(value)}" for name, value in row.items()), flush=True
        )


@contextmanager
def screen() -> Iterator[Callable[[float, list[dict[str, Any]]], None]]:
    """A table that is drawn anew in place, or plain lines where there is no terminal."""
    if not sys.stdout.isatty():
        yield plain
        return
    from rich.box import SIMPLE_HEAD
    from rich.live import Live
    from rich.table import Table

    def shown(passed: float, rows: list[dict[str, Any]]) -> None:
        title = f"ashpath demo, {passed:.0f} s"
        table = Table(*rows[0], title=title, box=SIMPLE_HEAD, pad_edge=False, collapse_padding=True)
        for row in rows:
            table.add_row(*(text(value) for value in row.values()))
        live.update(table, refresh=True)

    with Live(auto_refresh=False) as live:
        yield shown

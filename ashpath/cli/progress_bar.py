"""A progress bar with the remaining time on a terminal; without a terminal nothing is shown."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

ReportProgress = Callable[[float], None]
"""A function that takes the completed part of the total."""


@contextmanager
def progress_bar(name: str, total: int) -> Iterator[ReportProgress]:
    """Shows a progress bar on standard error until the context ends, and yields the function to update it."""
    if not sys.stderr.isatty():
        yield ignore_progress
        return
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

    columns = (TextColumn("{task.description}"), BarColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(name, total=float(total))

        def report(done: float) -> None:
            progress.update(task, completed=done)

        yield report


def ignore_progress(done: float) -> None:
    """Does nothing, as standard error is no terminal."""

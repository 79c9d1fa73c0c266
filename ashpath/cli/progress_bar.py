"""A bar with the time left on a terminal, and nothing without one."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

ReportProgress = Callable[[float], None]
"""Called with how much is done, of the total."""


@contextmanager
def progress_bar(name: str, total: int) -> Iterator[ReportProgress]:
    """On standard error, for as long as the context lasts."""
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
    """Where nobody watches."""

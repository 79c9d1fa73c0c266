"""`ashpath rehearse DAY`."""

from __future__ import annotations

import re
import sys
from pathlib import Path
from typing import Any

import click

from ashpath.cli.group import BAD_INPUT, FAILED, OK, Failure
from ashpath.cli.rows import show
from ashpath.config.errors import InvalidConfigurationError

MOST_SEEDS = 1000


class Seeds(click.ParamType[list[int]]):
    name = "seeds"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> list[int]:
        found = re.fullmatch(r"([0-9]{1,9})(?:\.\.([0-9]{1,9}))?", value) if isinstance(value, str) else None
        if isinstance(value, list):
            return value
        if found is None:
            self.fail(f"found {value!r}, expected a number or FROM..TO", param, ctx)
        first, last = int(found[1]), int(found[2] or found[1])
        if not first <= last < first + MOST_SEEDS:
            self.fail(f"found {value!r}, expected FROM..TO of {MOST_SEEDS} at most", param, ctx)
        return list(range(first, last + 1))


@click.command()
@click.argument("day")
@click.option("--seed", type=click.IntRange(0), default=None, help="One seed; 1 if neither is given.")
@click.option("--seeds", type=Seeds(), default=None, help="Several, 1..20 say.")
@click.option("--policy", "policies", multiple=True, default=("module",), help="module, a baseline, or all.")
@click.option("--jobs", type=click.IntRange(1, 256), default=1, show_default=True, help="Processes.")
@click.option("--json", "file", type=click.Path(path_type=Path), help="Write the outcome to this file.")
@click.option("--sockets", is_flag=True, help="Play it on loopback, with senders in processes of their own.")
@click.option("--keep", type=click.Path(path_type=Path), help="--sockets: files and logs go there.")
@click.option("--story", help="Tell what became of one envelope, by its id.")
@click.option("--windows/--no-windows", default=True, help="The table of ten seconds each, of one run.")
@click.option("--modes", is_flag=True, help="Print the module's mode lines of one run.")
def command(
    day: str,
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
    """Play DAY, a file or the name of one of the library, in virtual time. Exit code 1 if the decision module
    breaks a rule. All figures are simulated."""
    from ashpath.emulator.baselines import POLICIES
    from ashpath.emulator.scenario import read_scenario
    from ashpath.emulator.simulate import DAYS, Run, find, outcome, play, play_all, table

    path = find(day)
    if not path.exists() and not day.endswith(".toml"):
        known = ", ".join(sorted(one.stem for one in DAYS.glob("*.toml")))
        raise Failure(f"no day {day!r}; the library has {known}", BAD_INPUT)
    chosen = list(POLICIES) if "all" in policies else list(dict.fromkeys(policies))
    for name in chosen:
        if name not in POLICIES:
            raise Failure(
                f"--policy: found {name!r}, expected all or one of {', '.join(POLICIES)}", BAD_INPUT
            )
    if seed is not None and seeds is not None:
        raise Failure("--seed and --seeds: found both, expected one of them", BAD_INPUT)
    wanted = seeds or [1 if seed is None else seed]
    try:
        told = read_scenario(path)
        runs: list[Run] = []
        with progress(f"{path.stem}", len(wanted) * len(chosen)) as advance:
            if sockets:
                for number in wanted:  # never beside one another: they would slow each other down
                    runs.append(on_sockets(path, number, keep, story or "", advance))
            elif len(wanted) * len(chosen) == 1:
                runs.append(play(path, wanted[0], chosen[0], story or "", advance))
            else:
                for run in play_all(path, wanted, chosen, jobs):
                    runs.append(run)
                    advance(len(runs))
    except InvalidConfigurationError as error:
        for line in error.lines:
            print(f"ashpath: {line}", file=sys.stderr)
        return BAD_INPUT
    except (OSError, ValueError) as error:
        raise Failure(f"{path}: {error}", BAD_INPUT) from None
    except RuntimeError as error:
        raise Failure(str(error)) from None
    print(f"{path.stem}: {told.day.lesson} (simulated)")
    first = runs[0]
    if windows and len(runs) == 1:
        show(first.result["windows"], False)
    show(table(runs), False)
    for name, count in list(first.result["causes"].items())[:8]:
        print(f"lost in seed {first.seed}: {count} {name}")
    if modes:
        for at, sender, text in first.modes:
            print(f"{at / 1e6:9.3f}s sender {sender}: {text}")
    for run in runs:
        for one in run.broken[:5]:
            print(
                f"{run.policy}, seed {run.seed}, {one.at / 1e6:.3f}s: {one.rule}: {one.what} {one.envelope}"
            )
            for at, what in one.story:
                print(f"    {at / 1e6:9.3f}s {what}")
    if story:
        for at, what in first.stories:
            print(f"{at / 1e6:9.3f}s {what}")
        if not first.stories:
            print(f"no envelope {story!r} was taken on in seed {first.seed}")
    if file is not None:
        try:
            file.write_bytes(outcome(told, path.stem, runs))
        except OSError as error:
            raise Failure(f"--json {file}: {error.strerror}") from None
    broken = any(run.result["rules"] for run in runs if run.policy.startswith("module"))
    return FAILED if broken else OK


def on_sockets(path: Path, seed: int, keep: Path | None, story: str, advance: Any) -> Any:
    """One run, in a folder that is kept where one is named."""
    import tempfile

    from ashpath.emulator.simulate import play_on_sockets

    with tempfile.TemporaryDirectory(prefix="ashpath-rehearse-") as made:
        folder = Path(made)
        if keep is not None:
            folder = keep / f"seed-{seed}"
            folder.mkdir(parents=True)
        return play_on_sockets(path, seed, folder, story, advance)


class progress:
    """A bar with the time left on a terminal, and nothing without one. Counts runs, or the share of one."""

    def __init__(self, name: str, runs: int) -> None:
        self.name, self.runs = name, runs
        self.bar: Any = None

    def __enter__(self) -> Any:
        if sys.stderr.isatty():
            from rich.console import Console
            from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

            columns = (TextColumn("{task.description}"), BarColumn(), TimeRemainingColumn())
            self.bar = Progress(*columns, console=Console(stderr=True), transient=True)
            self.bar.start()
            self.task = self.bar.add_task(self.name, total=float(self.runs))
        return self.advance

    def advance(self, done: float) -> None:
        if self.bar is not None:
            self.bar.update(self.task, completed=done)

    def __exit__(self, *_: object) -> None:
        if self.bar is not None:
            self.bar.stop()

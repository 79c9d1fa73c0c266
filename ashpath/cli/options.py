"""Options and arguments that several commands share, and their types."""

from __future__ import annotations

import re

import click

from ashpath.config.units import TIMES, parse_amount

DEFAULT_URL = "http://127.0.0.1:7070"

json_rows_option = click.option("--json", "as_json", is_flag=True, help="Print a line of JSON for each.")
url_argument = click.argument("url", envvar="ASHPATH_URL")
url_option = click.option("--url", default=DEFAULT_URL, envvar="ASHPATH_URL", show_default=True)
SEED_RANGE = re.compile(r"([0-9]{1,9})(?:\.\.([0-9]{1,9}))?")


class DurationType(click.ParamType[int]):
    """A duration in the notation of the sender's file, converted to microseconds."""

    name = "duration"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Returns microseconds. Raises BadParameter if the text is no duration."""
        if isinstance(value, int):
            return value
        try:
            return parse_amount(value, TIMES)
        except ValueError:
            self.fail(f'found {value!r}, expected a duration such as "16s"', param, ctx)


class SeedsType(click.ParamType[list[int]]):
    """One seed, or a range of seeds."""

    name = "seeds"
    max_seeds = 1000

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> list[int]:
        """Returns the seeds.

        Raises BadParameter if the text is no number or range, or the range is empty or too long.
        """
        if isinstance(value, list):
            return value
        match = SEED_RANGE.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            self.fail(f"found {value!r}, expected a number or FROM..TO", param, ctx)
        first = int(match[1])
        last = int(match[2] or match[1])
        if not first <= last < first + self.max_seeds:
            self.fail(f"found {value!r}, expected FROM..TO of {self.max_seeds} at most", param, ctx)
        return list(range(first, last + 1))

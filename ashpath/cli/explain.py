"""`ashpath explain [KEY]`."""

from __future__ import annotations

from difflib import get_close_matches

import click

from ashpath.cli.errors import BadInputError
from ashpath.cli.exit_codes import ExitCode
from ashpath.config.reference import key_paths, markdown_page, terminal_lines


@click.command()
@click.argument("key", required=False)
@click.option("--markdown", is_flag=True, help="Print the page docs/configuration.md.")
def command(key: str | None, markdown: bool) -> int:
    """Print the reference of KEY and all keys below it, or of every key of the file."""
    if markdown:
        print(markdown_page(), end="")
        return ExitCode.OK
    lines = terminal_lines(key)
    if not lines:
        near = get_close_matches(key or "", key_paths(), 1, 0.4)
        raise BadInputError(f"no key {key!r}" + (f"; is it {near[0]!r}?" if near else ""))
    print("\n".join(lines))
    return ExitCode.OK

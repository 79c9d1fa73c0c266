"""The command line: a module for each sub-command, each of which parses, calls and prints, and no more.

A module is imported as its command is called, so that `ashpath serve` pays for no other. Errors are one line
on standard error; exit codes are on docs/command-line.md.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Runs the command of the arguments; its exit code. Plain `serve FILE` goes past the command library: a
    sender that runs for weeks has no use for it."""
    if sys.argv[1:2] == ["serve"] and len(sys.argv) == 3 and not sys.argv[2].startswith("-"):
        from ashpath.cli.standalone import serve

        return serve(sys.argv[2])
    from ashpath.cli.group import run

    return run()

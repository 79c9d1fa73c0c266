"""The command line: each sub-command has a module, which parses arguments, calls other packages and prints.

The console script `ashpath` and `python -m ashpath.cli` call `main`. The module of a command is imported when
the command is called, so that `ashpath serve` does not load the others. An error is one line on standard
error; docs/command-line.md lists the exit codes. This package neither makes decisions about messages nor
changes stored data by itself.
"""

from __future__ import annotations

import gc
import sys


def main() -> int:
    """Runs the command that the arguments name, and returns its exit code.

    `serve FILE` without options bypasses the command library, as a long-running sender has no use for it.
    """
    arguments = sys.argv[1:]
    if len(arguments) == 2 and arguments[0] == "serve" and not arguments[1].startswith("-"):
        gc.disable()  # enabled again by the runtime: see `ashpath/__main__.py`
        from ashpath.cli.standalone import serve

        return serve(arguments[1])
    from ashpath.cli.group import run

    return run()

"""The command line: a module for each sub-command, each of which parses, calls and prints, and no more.

Called by the console script `ashpath` and by `python -m ashpath.cli`. A command's module is imported as it is
called, so that `ashpath serve` pays for no other. Errors are one line on standard error, and the exit codes
stand on docs/command-line.md; nothing here decides on a message or changes stored data by itself.
"""

from __future__ import annotations

import gc
import sys


def main() -> int:
    """Runs the command of the arguments; its exit code.

    Plain `serve FILE` goes past the command library: a sender that runs for weeks has no use for it.
    """
    arguments = sys.argv[1:]
    if len(arguments) == 2 and arguments[0] == "serve" and not arguments[1].startswith("-"):
        gc.disable()  # until the sender runs: see `ashpath/__main__.py`
        from ashpath.cli.standalone import serve

        return serve(arguments[1])
    from ashpath.cli.group import run

    return run()

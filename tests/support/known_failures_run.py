"""Runs every entry of `KNOWN-RED.txt`, and prints which still show their fault: `make known-red`."""

from __future__ import annotations

import os
import subprocess
import sys

from support.known_failures import KnownFailure, read_known_failures
from support.sender_harness import ROOT


def still_fails(failure: KnownFailure) -> bool:
    """Runs one entry; returns whether it fails. A test is run without the mark of an expected failure."""
    if failure.command is not None:
        path = f"{os.path.dirname(sys.executable)}:{os.environ['PATH']}"
        environment = os.environ | {"PATH": path}
        return (
            subprocess.run(failure.command, shell=True, cwd=ROOT, env=environment, check=False).returncode
            != 0
        )
    command = [sys.executable, "-m", "pytest", "-q", "--runxfail", failure.subject]
    return subprocess.run(command, cwd=ROOT, check=False).returncode != 0


def main() -> None:
    """Prints a line for each entry."""
    lines = [
        f"{'still fails' if still_fails(failure) else 'passed'}: {failure.subject} (issue {failure.issue})"
        for failure in read_known_failures()
    ]
    print("\n".join(lines))


if __name__ == "__main__":
    main()

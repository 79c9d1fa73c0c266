"""Starts the bench adapter."""

import sys

from ashpath.drill.adapter import run

sys.exit(run(sys.stdin.buffer, sys.stdout.buffer))

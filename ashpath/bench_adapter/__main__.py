"""Starts the bench adapter."""

import sys

from ashpath.bench_adapter.adapter import run

sys.exit(run(sys.stdin.buffer, sys.stdout.buffer))

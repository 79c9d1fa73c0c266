"""Resident size and service of a real sender under crowds of clients, a row a shape.

    .venv/bin/python -m benchmarks.crowd [--memory-mb 64,96] [--descriptors 1024] [--clients 500] \
        [--seconds 8] [--return-seconds 10] [--shapes "half body;silent"] [--source TREE]

`--source` runs the sender from another tree, such as a `git worktree` of an earlier release. Clients,
endpoint and agent are simulated, the sender is real. Sizes are in megabytes of a million bytes.
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

from ashpath.emulator.crowd.measured_client import CONNECTION_ENDED, TIMED_OUT
from ashpath.emulator.crowd.play import RETURN_S, CrowdResult, play
from ashpath.emulator.crowd.rig import ROOT, CrowdRig
from ashpath.emulator.crowd.shapes import CrowdShape

MEGABYTE = 1_000_000
ACCEPTED = "202"
HEADER = (
    "| shape | memory_mb | descriptors | rest | peak | returned | ended | beside: requests | 202 % | closed "
    "| timed out | p50 ms | p99 ms | crowd: connections | answered | closed | neither | longest wait s |\n"
    + "| --- " * 18
    + "|"
)


def row(result: CrowdResult, memory_mb: int, descriptors: int) -> str:
    """Returns a row of the table."""
    beside = result.beside
    crowd = result.crowd
    values = [
        result.shape.value,
        memory_mb,
        descriptors,
        *(f"{size / MEGABYTE:.1f}" for size in (result.rest_bytes, result.peak_bytes, result.returned_bytes)),
        "yes" if result.ended else "no",
        beside.requests,
        f"{100 * beside.share(ACCEPTED):.1f}",
        beside.outcomes[CONNECTION_ENDED],
        beside.outcomes[TIMED_OUT],
        f"{1000 * beside.percentile_s(50):.1f}",
        f"{1000 * beside.percentile_s(99):.1f}",
        crowd.connections,
        crowd.responses,
        crowd.closed,
        crowd.unanswered,
        f"{crowd.longest_wait_s:.2f}",
    ]
    return "| " + " | ".join(map(str, values)) + " |"


def numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(",")]


def shapes(text: str) -> list[CrowdShape]:
    return [CrowdShape(part) for part in text.split(";")]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--memory-mb", type=numbers, default=[64, 96])
    parser.add_argument("--descriptors", type=numbers, default=[1024])
    parser.add_argument("--clients", type=int, default=500)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--return-seconds", type=float, default=RETURN_S)
    parser.add_argument("--shapes", type=shapes, default=list(CrowdShape))
    parser.add_argument("--source", type=Path, default=ROOT)
    options = parser.parse_args()
    print(HEADER)
    for memory_mb in options.memory_mb:
        for descriptors in options.descriptors:
            for shape in options.shapes:
                with tempfile.TemporaryDirectory(prefix="crowd-") as folder:
                    rig = CrowdRig(Path(folder) / "n0", memory_mb, descriptors, options.source.resolve())
                    result = play(rig, shape, options.clients, options.seconds, options.return_seconds)
                print(row(result, memory_mb, descriptors), flush=True)


if __name__ == "__main__":
    main()

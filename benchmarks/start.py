"""Measures how long a sender takes to be ready, and its memory at that time.

    .venv/bin/python -m benchmarks.start [RUNS] [BASE]

Compares `ashpath serve` with `python -m ashpath`, with the same destinations, and the latter with itself at
an older commit, BASE. Each run starts every variant once, so that a slow period of the machine affects all
variants. Ratios are ratios of medians.
"""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from statistics import median

import orjson
import psutil

from ashpath.config.loading import read_configuration
from ashpath.config.platform_document import platform_document
from benchmarks.figure_storage import ROOT, store_figures

RUNS = 5
START_TIMEOUT_S = 30
READINESS_POLL_S = 0.002
SENDER = """[sender]
name = "n0"
listen = "127.0.0.1:{port}"
state = "state"
[tracks.free]
repeat = "repeatable"
cutoff = "16s"
[tracks.tag]
repeat = "tagged"
window = "5s"
cutoff = "20s"
"""
DESTINATION = '[destinations.{number}]\nendpoints = ["127.0.0.1:{port}"]\n'
DESTINATIONS = 26
FIRST_ENDPOINT_PORT = 9000
UNREACHABLE = "127.0.0.1:1"
SEED = "8c1f"
PLATFORM = "platform"
PLATFORM_AT_BASE = "platform at base"
SERVE = "serve"


@dataclass(frozen=True, slots=True)
class Start:
    """One start: seconds until the sender was ready, and its memory in MiB at that time."""

    seconds: float
    mib: float


@dataclass(frozen=True, slots=True)
class Variant:
    """One way to start a sender: its command, directory and port, and variables added to its environment."""

    command: list[str]
    directory: Path
    port: int
    environment: dict[str, str] = field(default_factory=dict)

    def start(self) -> Start:
        """Starts the sender, and kills it once it is ready.

        Raises SystemExit if the sender ends, or is not ready within START_TIMEOUT_S.
        """
        began = time.perf_counter()
        # All variants start from cached byte code, as an installed sender does.
        inherited = {name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"}
        process = subprocess.Popen(
            self.command, cwd=self.directory, env=inherited | self.environment, stdout=subprocess.DEVNULL
        )
        try:
            while not is_ready(self.port):
                if process.poll() is not None or time.perf_counter() - began > START_TIMEOUT_S:
                    failure = f"not started: {self.command}"
                    raise SystemExit(failure)
                time.sleep(READINESS_POLL_S)
            took = time.perf_counter() - began
            return Start(took, psutil.Process(process.pid).memory_info().rss / (1 << 20))
        finally:
            process.kill()
            process.wait()


def free_port() -> int:
    """Returns a port without a listener."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        found: int = probe.getsockname()[1]
        return found


def is_ready(port: int) -> bool:
    """Returns whether the sender at the port reports that it is ready."""
    connection = HTTPConnection("127.0.0.1", port, timeout=1)
    try:
        connection.request("GET", "/health/ready")
        return connection.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        connection.close()


def write_sender_file(folder: Path, port: int) -> Path:
    """Writes the file of a sender that listens on the port, and returns its path."""
    text = SENDER.format(port=port)
    for number in range(DESTINATIONS):
        text += DESTINATION.format(number=number, port=FIRST_ENDPOINT_PORT + number)
    file = folder / "sender.toml"
    file.write_text(text)
    return file


def serve_variant(folder: Path) -> Variant:
    """Returns the variant `ashpath serve FILE`."""
    port = free_port()
    file = write_sender_file(folder, port)
    return Variant([sys.executable, "-m", "ashpath.cli", "serve", str(file)], ROOT, port)


def platform_variant(folder: Path, tree: Path) -> Variant:
    """Returns the variant `python -m ashpath` of a source tree."""
    port = free_port()
    configuration = read_configuration(write_sender_file(folder, port))
    document = platform_document(configuration, SEED) | {"discovery": UNREACHABLE}
    document["limits"].pop("own")
    (folder / "config.json").write_bytes(orjson.dumps(document))
    environment = {
        "RELAY_NAME": "n0",
        "RELAY_LISTEN": f"127.0.0.1:{port}",
        "RELAY_DISCOVERY": UNREACHABLE,
        "RELAY_STATE": str(folder / "state"),
        "RELAY_CONFIG": str(folder / "config.json"),
        "PYTHONPATH": str(tree),
    }
    return Variant([sys.executable, "-m", "ashpath"], tree, port, environment)


def start_each(folder: Path, base: Path | None) -> dict[str, Start]:
    """Starts each variant once, in its own subfolder of `folder`."""
    names = [SERVE, PLATFORM, *([PLATFORM_AT_BASE] if base else [])]
    found: dict[str, Start] = {}
    for name in names:
        variant_folder = folder / name.replace(" ", "-")
        (variant_folder / "state").mkdir(parents=True)
        if name == SERVE:
            variant = serve_variant(variant_folder)
        else:
            tree = base if base is not None and name == PLATFORM_AT_BASE else ROOT
            variant = platform_variant(variant_folder, tree)
        found[name] = variant.start()
    return found


def extract(commit: str, folder: Path) -> None:
    """Extracts the source tree of a commit to a new folder."""
    command = ["git", "-C", str(ROOT), "archive", commit]
    archive = subprocess.run(command, capture_output=True, check=True)
    folder.mkdir()
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)


def figures_of(starts: list[Start]) -> dict[str, object]:
    """Returns the figures of one variant."""
    return {
        "seconds": [round(start.seconds, 4) for start in starts],
        "mib": [round(start.mib, 2) for start in starts],
        "median_seconds": round(median(start.seconds for start in starts), 4),
        "median_mib": round(median(start.mib for start in starts), 2),
    }


def ratios(rows: list[dict[str, Start]]) -> dict[str, dict[str, float]]:
    """Compares the rounded medians of each variant with those of `python -m ashpath`.

    Returns the ratio of the times and the difference of the memory in MiB, by variant.
    """
    seconds = {name: round(median(row[name].seconds for row in rows), 4) for name in rows[0]}
    mib = {name: round(median(row[name].mib for row in rows), 2) for name in rows[0]}
    return {
        f"{name} to platform": {
            "time": round(seconds[name] / seconds[PLATFORM], 3),
            "mib_more": round(mib[name] - mib[PLATFORM], 2),
        }
        for name in rows[0]
        if name != PLATFORM
    }


def main() -> None:
    """Measures, prints and stores the figures."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else RUNS
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        base: Path | None = None
        if len(sys.argv) > 2:
            base = folder / "base"
            extract(sys.argv[2], base)
        # The first starts are not counted: they write byte code and fill the page cache.
        start_each(folder / "first", base)
        rows = [start_each(folder / f"run-{run}", base) for run in range(runs)]
    figures = {name: figures_of([row[name] for row in rows]) for name in rows[0]}
    command = f"python -m benchmarks.start {' '.join(sys.argv[1:])}".strip()
    store_figures("start", command, figures | {"ratios": ratios(rows)})


if __name__ == "__main__":
    main()

"""How long a sender takes to be ready, and how much memory it has then: `ashpath serve` beside `python -m
ashpath`, with the same destinations, and the latter beside its form at an older commit.

    .venv/bin/python -m benchmarks.start [RUNS] [BASE]

Runs alternate, so that a slow spell of the machine meets all of them. Ratios are of medians.
"""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import tempfile
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from statistics import median

import orjson
import psutil

from ashpath.config.loading import read_configuration
from ashpath.config.platform_form import platform_form
from benchmarks.kept import ROOT, keep

TEXT = """[sender]
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
DESTINATIONS = 26


def port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        found: int = probe.getsockname()[1]
        return found


def ready(number: int) -> bool:
    connection = HTTPConnection("127.0.0.1", number, timeout=1)
    try:
        connection.request("GET", "/health/ready")
        return connection.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        connection.close()


def once(words: list[str], where: Path, number: int, environment: dict[str, str]) -> tuple[float, float]:
    """Seconds to ready, MiB then."""
    began = time.perf_counter()
    # Byte code is kept, as it is wherever a sender is installed: all variants start from it.
    kept = {name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"}
    process = subprocess.Popen(words, cwd=where, env=kept | environment, stdout=subprocess.DEVNULL)
    try:
        while not ready(number):
            if process.poll() is not None or time.perf_counter() - began > 30:
                raise SystemExit(f"not started: {words}")
            time.sleep(0.002)
        took = time.perf_counter() - began
        return took, psutil.Process(process.pid).memory_info().rss / (1 << 20)
    finally:
        process.kill()
        process.wait()


def variants(folder: Path, base: Path | None, run: int) -> dict[str, tuple[float, float]]:
    """One start of each, in folders of their own."""
    found = {}
    for name, tree in (("serve", ROOT), ("platform", ROOT), *([("platform at base", base)] if base else [])):
        place = folder / f"{name.replace(' ', '-')}-{run}"
        (place / "state").mkdir(parents=True)
        number = port()
        text = TEXT.format(port=number)
        for destination in range(DESTINATIONS):
            text += f'[destinations.{destination}]\nendpoints = ["127.0.0.1:{9000 + destination}"]\n'
        (place / "sender.toml").write_text(text)
        if name == "serve":
            words = [sys.executable, "-m", "ashpath.cli", "serve", str(place / "sender.toml")]
            found[name] = once(words, ROOT, number, {})
            continue
        form = platform_form(read_configuration(place / "sender.toml"), "8c1f") | {"discovery": "127.0.0.1:1"}
        form["limits"].pop("own")
        (place / "config.json").write_bytes(orjson.dumps(form))
        environment = {
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": f"127.0.0.1:{number}",
            "RELAY_DISCOVERY": "127.0.0.1:1",
            "RELAY_STATE": str(place / "state"),
            "RELAY_CONFIG": str(place / "config.json"),
            "PYTHONPATH": str(tree),
        }
        found[name] = once([sys.executable, "-m", "ashpath"], tree or ROOT, number, environment)
    return found


def main() -> None:
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    with tempfile.TemporaryDirectory() as made:
        folder, base = Path(made), None
        if len(sys.argv) > 2:
            base = folder / "base"
            words = ["git", "-C", str(ROOT), "archive", sys.argv[2]]
            archive = subprocess.run(words, capture_output=True, check=True)
            base.mkdir()
            subprocess.run(["tar", "-x", "-C", str(base)], input=archive.stdout, check=True)
        variants(folder, base, -1)  # byte code is written, files are read: not counted
        rows = [variants(folder, base, run) for run in range(runs)]
    figures = {
        name: {
            "seconds": [round(row[name][0], 4) for row in rows],
            "mib": [round(row[name][1], 2) for row in rows],
            "median_seconds": round(median(row[name][0] for row in rows), 4),
            "median_mib": round(median(row[name][1] for row in rows), 2),
        }
        for name in rows[0]
    }
    platform = figures["platform"]
    told_ratios = {
        f"{name} to platform": {
            "time": round(figures[name]["median_seconds"] / platform["median_seconds"], 3),
            "mib_more": round(figures[name]["median_mib"] - platform["median_mib"], 2),
        }
        for name in figures
        if name != "platform"
    }
    command = f"python -m benchmarks.start {' '.join(sys.argv[1:])}".strip()
    keep("start", command, figures | {"ratios": told_ratios})


if __name__ == "__main__":
    main()

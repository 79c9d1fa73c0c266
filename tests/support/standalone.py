"""A sender from its own file, among the stand-ins of `world`."""

from __future__ import annotations

import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from subprocess import PIPE
from typing import Any

from gevent import subprocess

from ashpath.server.http.encoding import encode_message
from support.world import ROOT, World, until

TRACKS = """
[tracks.free]
repeat = "repeatable"
cutoff = "30s"
promised = "2s"

[tracks.tag]
repeat = "tagged"
window = "20s"
cutoff = "30s"
ordered = true

[tracks.once]
repeat = "once-only"
cutoff = "30s"
"""
RULES = """
[rules]
connect_time = "300ms"
idle_time = "2s"
longest_wait = "3s"
drain_grace = "250ms"
[limits]
descriptors = 512
disk = "8MiB"
envelopes = 400
"""


class Alone(World):
    """`destinations` are the file's tables, each with the stand-in's address until a test changes them."""

    def __init__(self, folder: Path, tracks: str = TRACKS, rest: str = RULES) -> None:
        super().__init__(folder)
        self.file, self.tracks, self.rest = folder / "sender.toml", tracks, rest
        self.endpoint_at = f"127.0.0.1:{self.servers[0].server_port}"
        self.destinations: dict[int, str] = dict.fromkeys(range(8), f'endpoints = ["{self.endpoint_at}"]')
        self.write()

    def write(self) -> None:
        listen = f'listen = "127.0.0.1:{self.address[1]}"'
        head = f'[sender]\nname = "n0"\n{listen}\nstate = "state"\nseed = "8c1f"\n'
        listed = "".join(f"\n[destinations.{n}]\n{text}\n" for n, text in self.destinations.items())
        self.file.write_text(head + self.tracks + self.rest + listed)

    def command(self, *words: str) -> list[str]:
        return [sys.executable, "-m", "ashpath.cli", *words]

    def start(self, **more: Any) -> None:
        with (self.folder / "log").open("ab") as log:
            given = {"stdout": log, "stderr": log, "stdin": subprocess.DEVNULL, "cwd": ROOT} | more
            self.process = subprocess.Popen(self.command("serve", str(self.file)), **given)
        until(lambda: self.response_status(encode_message(b"GET /health/ready HTTP/1.1", [], b"")) == 200)

    def run(self, *words: str, **more: Any) -> subprocess.CompletedProcess[str]:
        """To its end, while the stand-ins go on."""
        pipes = {"stdout": PIPE, "stderr": PIPE, "text": True, "cwd": ROOT}
        return subprocess.run(self.command(*words), **pipes, **more)

    def reread(self) -> str:
        """The line that says what was taken."""
        before = self.lines("configuration ")
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)
        until(lambda: len(self.lines("configuration ")) > len(before))
        return self.lines("configuration ")[-1]

    def lines(self, words: str) -> list[str]:
        return [line for line in (self.folder / "log").read_text().splitlines() if words in line]

    def get(self, path: str) -> Any:
        wire = self.connect()
        assert wire is not None
        wire.write(encode_message(b"GET %s HTTP/1.1" % path.encode(), [], b""))
        answer = wire.read_response()
        body = wire.finish_response().body if answer.status == 200 else answer.body
        wire.close()
        return json.loads(body) if answer.status == 200 else answer.status

    def state(self, trace: str) -> str:
        found = self.get(f"/envelopes/{trace}")
        return "unknown" if isinstance(found, int) else found["state"]

    def ends(self, trace: str, state: str) -> Callable[[], bool]:
        return lambda: self.state(trace) == state

"""A sender that reads its own TOML file, with the endpoints of `SenderHarness`."""

from __future__ import annotations

import json
import signal
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from subprocess import PIPE
from typing import Any

from gevent import subprocess

from ashpath.server.http.encoding import encode_message
from support.sender_harness import ROOT, SenderHarness, wait_until

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


LOG_FILE = -100  # not a descriptor: standard output goes to the log file


class StandaloneSender(SenderHarness):
    """A sender of `ashpath serve`.

    `destinations` holds the text of the file's destination tables by number. Each lists the address of the
    test's endpoints unless a test changes it.
    """

    def __init__(self, folder: Path, tracks: str = TRACKS, rest: str = RULES) -> None:
        super().__init__(folder)
        self.file = folder / "sender.toml"
        self.tracks = tracks
        self.rest = rest
        self.endpoint_at = f"127.0.0.1:{self.servers[0].server_port}"
        self.destinations: dict[int, str] = dict.fromkeys(range(8), f'endpoints = ["{self.endpoint_at}"]')
        self.write()

    def write(self) -> None:
        """Writes the TOML file, which the sender reads at its start and on SIGHUP."""
        listen = f'listen = "127.0.0.1:{self.address[1]}"'
        head = f'[sender]\nname = "n0"\n{listen}\nstate = "state"\nseed = "8c1f"\n'
        listed = "".join(f"\n[destinations.{n}]\n{text}\n" for n, text in self.destinations.items())
        self.file.write_text(head + self.tracks + self.rest + listed)

    def command(self, *words: str) -> list[str]:
        """Returns the command line that runs `ashpath` with these arguments."""
        return [sys.executable, "-m", "ashpath.cli", *words]

    def start(
        self,
        stdout: int | None = LOG_FILE,
        env: Mapping[str, str] | None = None,
        preexec_fn: Callable[[], object] | None = None,
    ) -> None:
        """Starts the sender, and waits until it is ready. `stdout` is a descriptor; None: inherited."""
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                self.command("serve", str(self.file)),
                stdin=subprocess.DEVNULL,
                stdout=log.fileno() if stdout == LOG_FILE else stdout,
                stderr=log,
                cwd=ROOT,
                env=env,
                preexec_fn=preexec_fn,
            )
        wait_until(
            lambda: self.response_status(encode_message(b"GET /health/ready HTTP/1.1", [], b"")) == 200
        )

    def run(
        self, *words: str, input: str | None = None, preexec_fn: Callable[[], object] | None = None
    ) -> subprocess.CompletedProcess[str]:
        """Runs a command to its end. The endpoints keep responding meanwhile."""
        return subprocess.run(
            self.command(*words),
            input=input,
            stdout=PIPE,
            stderr=PIPE,
            text=True,
            cwd=ROOT,
            preexec_fn=preexec_fn,
        )

    def reload(self) -> str:
        """Sends SIGHUP. Returns the log line that says which settings were applied, or why none were."""
        before = self.log_lines("configuration ")
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)
        wait_until(lambda: len(self.log_lines("configuration ")) > len(before))
        return self.log_lines("configuration ")[-1]

    def log_lines(self, words: str) -> list[str]:
        """Returns the lines of the log that contain the words."""
        return [line for line in (self.folder / "log").read_text().splitlines() if words in line]

    def get(self, path: str) -> Any:  # noqa: ANN401 - JSON of any shape
        """Returns the decoded body of a response with status 200, or the status of another response."""
        connection = self.connect()
        assert connection is not None
        connection.write(encode_message(b"GET %s HTTP/1.1" % path.encode(), [], b""))
        response = connection.read_response()
        body = connection.finish_response().body if response.status == 200 else response.body
        connection.close()
        return json.loads(body) if response.status == 200 else response.status

    def state(self, trace: str) -> str:
        """Returns the state of a message in the status API; "unknown" for an unknown message."""
        found = self.get(f"/envelopes/{trace}")
        return "unknown" if isinstance(found, int) else str(found["state"])

    def has_state(self, trace: str, state: str) -> Callable[[], bool]:
        """Returns a condition for `wait_until`: whether the message is in the state."""
        return lambda: self.state(trace) == state

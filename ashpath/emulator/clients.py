"""The clients of a day on sockets, in a process of their own: `python -m ashpath.emulator.clients JOB`.

JOB is a JSON file. Each envelope is handed in at its time, however the others fare; what becomes of it is a
line of JSON on standard output: [microseconds of the shared clock, what, id, sender]. Notices come to a port
of ours.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from random import Random
from time import monotonic_ns
from typing import Any

import gevent
import orjson
from gevent import socket
from gevent.server import StreamServer

from ashpath.core.policy_settings import policy_settings
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.limits import ServerLimits

PATIENCE = 2.0  # seconds for an answer
UNANSWERED = -1  # in place of a status: the request went out, and whether it was read nobody knows
AGAIN = 0.1  # a client whose sender does not answer tries another after this


def quiet() -> ServerLimits:
    """Limits of stand-ins: they wait as long as it takes."""
    own = policy_settings(0, {"classes": [], "limits": {"conn-idle": 60_000.0}})
    return ServerLimits.of({"sockets": 8192, "own": {"client_idle_s": 600.0, "request_s": 600.0}}, own)


class Clients:
    """`open` has the envelopes that may still be handed in again, and is emptied as they end."""

    def __init__(self, job: dict[str, Any]) -> None:
        self.job, self.began = job, int(job["began"])
        self.senders = [(row[0], int(row[1])) for row in job["senders"]]
        self.chance, self.limits = Random(f"{job['seed']} clients' choices"), quiet()
        self.idle: dict[int, list[HttpConnection]] = {number: [] for number in range(len(self.senders))}
        self.open: dict[str, tuple[list[Any], int]] = {}  # by the id handed in: its row, and the try
        self.receiver = StreamServer(("127.0.0.1", int(job["notices"])), self.receive)
        self.receiver.start()

    def now(self) -> int:
        return monotonic_ns() // 1000 - self.began

    def say(self, at: int, what: str, id_: str, sender: int = -1) -> None:
        os.write(1, orjson.dumps([at, what, id_, sender]) + b"\n")

    def run(self) -> None:
        for row in self.job["rows"]:
            gevent.sleep(max(0.0, (row[0] - self.now()) / 1e6))
            self.say(row[0], "asked", row[1])
            gevent.spawn(self.hand_in, row, 0)
        gevent.sleep(1e9)  # until it is told to end

    def hand_in(self, row: list[Any], tried: int) -> None:
        at, id_, track, _, destination, order, cutoff = row
        trace = f"{id_}.{tried}" if tried else id_
        self.open[trace] = (row, tried)
        while True:
            left = at + cutoff - self.now()
            if left <= 1000:
                self.open.pop(trace, None)
                return self.say(self.now(), "lost", id_)
            sender = self.chance.randrange(len(self.senders))
            headers = [
                (b"X-Trace-Id", trace.encode()),
                (b"X-Qos", track.encode()),
                (b"X-Expires-In-Ms", b"%d" % (left // 1000)),
                (b"X-Route-To", b"dest=%d" % destination),
                (b"Idempotency-Key", b"k" + id_.encode()),
            ]
            if order is not None:
                headers.append((b"Cookie", b"about=%d" % order))
            sent = self.now()
            status, wait = self.ask(sender, headers, b"%d " % row[3])
            if status > 0:
                break
            if status == UNANSWERED:
                self.say(sent, "unanswered", trace, sender)
            gevent.sleep(AGAIN)
        self.say(sent, "taken", trace, sender)
        if status not in (200, 202):
            self.ended(trace, "bounced" if status in (429, 503) else "aborted", wait, sender)

    def ask(self, sender: int, headers: list[tuple[bytes, bytes]], body: bytes) -> tuple[int, float]:
        """Status, 0 if it was not asked, and the seconds to come back after, 0 if not told."""
        idle, wire, status = self.idle[sender], None, 0
        try:
            with gevent.Timeout(PATIENCE):
                while idle and wire is None:
                    wire = idle.pop()
                    if not wire.is_quiet():
                        wire.close()
                        wire = None
                wire = wire or open_connection(self.senders[sender], self.limits)
                status = UNANSWERED
                first = b"POST %s HTTP/1.1" % wire_names.SUBMIT_PATH
                wire.write(encode_message(first, [host_header(self.senders[sender]), *headers], body))
                answer = wire.read_response()
                if answer.status == 200:
                    wire.finish_response()
        except (OSError, ConnectionClosedError, ProtocolError, gevent.Timeout):
            if wire is not None:
                wire.close()
            return status, 0.0
        if answer.keep_alive and not wire.unusable:
            idle.append(wire)
        else:
            wire.close()
        return answer.status, float(answer.headers.get(wire_names.RETRY_AFTER_HEADER, b"0"))

    def ended(self, trace: str, how: str, wait: float, sender: int = -1) -> None:
        """Bounced or aborted; bounced, it may be handed in again."""
        found = self.open.pop(trace, None)
        if found is None:
            return
        row, tried = found
        self.say(self.now(), how, trace, sender)
        backoff = self.job["backoff"] * 2**tried / 1e6
        if wait and self.chance.random() < self.job["heeds"]:
            backoff = wait
        backoff *= self.chance.uniform(0.8, 1.2)
        if how == "aborted" or tried >= self.job["retries"] or self.now() + backoff * 1e6 > row[0] + row[6]:
            return self.say(self.now(), "lost", row[1])
        gevent.spawn_later(backoff, self.hand_in, row, tried + 1)

    def receive(self, sock: socket.socket, _: Any) -> None:
        wire = HttpConnection(sock, self.limits)
        try:
            while True:
                for line in wire.read_request().body.splitlines():
                    told = orjson.loads(line)
                    how = "bounced" if told["status"] == wire_names.REJECTED_STATUS else "aborted"
                    self.ended(told["id"], how, told.get("again_ms", 0) / 1000)
                wire.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (OSError, ConnectionClosedError, ProtocolError, ValueError):
            wire.close()


if __name__ == "__main__":
    Clients(orjson.loads(Path(sys.argv[1]).read_bytes())).run()

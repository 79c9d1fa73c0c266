"""All that a sender meets, on loopback: clients, endpoints that do as a body says, a platform."""

from __future__ import annotations

import json
import signal
import struct
import sys
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent import Timeout, socket, subprocess
from gevent.server import StreamServer

from ashpath.core.policy_settings import sender_settings
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.http.messages import HttpRequest
from ashpath.server.limits import ServerLimits

ROOT = Path(__file__).parent.parent.parent
TRACKS = {"free": "retryable", "tag": "dedup", "once": "fragile"}
SETTINGS = {
    "classes": [
        {
            "name": n,
            "deadline": 30000.0,
            "slo": 2000.0,
            "repeat": r,
            "window": 20000.0,
            "importance": 1.0,
            "one-at-a-time": n == "tag",
        }
        for n, r in TRACKS.items()
    ],
    "kinds": ["plain"],
    "zones": ["here"],
    "group-size": 1,
    "rank": 0,
    "limits": {
        "max-open": 40,
        "max-attempts": 9,
        "retry-after": True,
        "max-retry-after": 3000.0,
        "conn-idle": 2000.0,
        "connect-timeout": 300.0,
        "cancelling": True,
    },
    "load-info": {"how": "answers", "fields": ["x0", "x1"]},
    "specifics": {"slots": 32},
    "contract": {"drain-grace": 250.0, "order-settle": 200.0},
}


def until(true: Callable[[], object]) -> None:
    """Waits as long as it takes, within reason."""
    with Timeout(20):
        while not true():
            gevent.sleep(0.01)


def free() -> tuple[str, int]:
    """An address on loopback that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()  # type: ignore[no-any-return]


def abandon(sock: socket.socket) -> None:
    """Ends a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class World:
    """All that a sender meets. The words of a body say what its calls meet, one after the other."""

    def __init__(self, folder: Path, known: int = 40, inherited: socket.socket | None = None) -> None:
        self.folder, self.calls, self.notices, self.inherited = folder, {}, [], inherited
        self.watches: dict[int, int] = {}  # asked for at each port
        self.deaf = 0  # notices to be answered 503 first
        self.process: subprocess.Popen[bytes] | None = None
        serving = (self.endpoint, self.platform, self.platform)
        self.servers = [StreamServer(("127.0.0.1", 0), serve) for serve in serving]
        for server in self.servers:
            server.start()
        port = self.servers[0].server_port
        same = {"host_port": f"127.0.0.1:{port}", "locality": "here", "flavor": "plain", "phase": "up"}
        self.members = [{"id": f"e{i}", "cell": i, "size": 1.0, **same} for i in range(known)]
        self.where = inherited.getsockname() if inherited else free()
        self.control = free()
        (folder / "state").mkdir()
        known_list = {"revision": 1, "complete": True, "members": self.members}
        limits = {"sockets": 256, "disk_mb": 1}
        self.config = {"seed": "8c1f", "settings": SETTINGS, "limits": limits, "known": known_list}
        self.configure()

    def configure(self) -> None:
        (self.folder / "config.json").write_text(json.dumps(self.config))

    def environment(self) -> dict[str, str]:
        return {
            "PYTHONPATH": str(ROOT),
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": f"127.0.0.1:{self.where[1]}",
            "RELAY_DISCOVERY": f"127.0.0.1:{self.servers[1].server_port}",
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_CONTROL": f"127.0.0.1:{self.control[1]}",
        } | ({"RELAY_ACCEPT_FD": str(self.inherited.fileno())} if self.inherited else {})

    def start(self) -> None:
        command = [sys.executable, "-m", "ashpath"]
        fds = (self.inherited.fileno(),) if self.inherited else ()
        with (self.folder / "log").open("ab") as log:
            told = self.environment()
            self.process = subprocess.Popen(command, env=told, stdout=log, stderr=log, pass_fds=fds)
        until(lambda: self.call(b"PING\n") == b"OK\n")  # this process, not another on the same socket

    def call(self, line: bytes) -> bytes:
        """The answer's line at the control address; b"" if there is none."""
        try:
            with socket.create_connection(self.control, timeout=3) as sock:
                sock.sendall(line)
                return sock.makefile("rb").readline()
        except OSError:
            return b""

    def kill(self, how: int = signal.SIGKILL) -> int:
        assert self.process is not None
        self.process.send_signal(how)
        until(lambda: self.process is None or self.process.poll() is not None)
        code, self.process = self.process.returncode, None
        return code

    def stop(self) -> None:
        if self.process is not None:
            self.kill()
        for server in self.servers:
            server.stop(timeout=0)

    def connect(self) -> HttpConnection | None:
        try:
            return HttpConnection(socket.create_connection(self.where), LIMITS)
        except OSError:
            return None

    def ask(self, data: bytes) -> int:
        """The status of the answer; 0 if there is none."""
        wire = self.connect()
        if wire is None:
            return 0
        try:
            wire.write(data)
            return wire.read_response().status
        except (OSError, ConnectionClosedError):
            return 0
        finally:
            wire.close()

    def hand_in(self, trace: str, track: str, body: str, to: int, left: int = 30000, key: str = "") -> int:
        return self.ask(request(trace, track, body, to, left, key))

    def endpoint(self, sock: socket.socket, _: object) -> None:
        wire = HttpConnection(sock, LIMITS)
        try:
            while self.answer(wire, wire.read_request()):
                pass
        except (OSError, ConnectionClosedError, ProtocolError):
            pass
        wire.close()

    def answer(self, wire: HttpConnection, call: HttpRequest) -> bool:
        calls = self.calls.setdefault(call.headers[b"x-trace-id"].decode(), [])
        calls.append(call)
        words = call.body.decode().split()
        word = words[min(len(calls), len(words)) - 1]
        if word == "hang":
            wire.receive()
        elif word == "reset":
            abandon(wire.sock)
        elif word == "line":
            wire.write(b"HTTP/1.1 200 OK\r\n")
        else:
            gevent.sleep(0.5 if word == "slow" else 0)
            status = {"slow": b"200", "stray": b"200", "egress": b"503"}.get(word, word.encode())
            extra = {"429": [(b"Retry-After", b"0.05")], "egress": [(b"X-Egress-Full", b"1")]}.get(word, [])
            wire.write(encode_message(b"HTTP/1.1 %s X" % status, extra, b"ok") + b"?" * (word == "stray"))
            return True
        return False

    def platform(self, sock: socket.socket, _: object) -> None:
        wire = HttpConnection(sock, LIMITS)
        try:
            while call := wire.read_request():
                if call.method == b"POST" and self.deaf:
                    self.deaf -= 1
                    wire.write(encode_message(b"HTTP/1.1 503 X", [], b""))
                elif call.method == b"POST":
                    self.notices += [json.loads(line) for line in call.body.splitlines()]
                    wire.write(b"HTTP/1.1 204 X\r\n\r\n")
                else:
                    port = sock.getsockname()[1]
                    self.watches[port] = self.watches.get(port, 0) + 1
                    gevent.sleep(0.2)
                    wire.write(
                        encode_message(b"HTTP/1.1 200 X", [], json.dumps(self.config["known"]).encode())
                    )
        except (OSError, ConnectionClosedError):
            wire.close()

    def told(self, trace: str) -> list[str]:
        return [line["status"] for line in self.notices if line["id"] == trace]

    def count(self, trace: str) -> int:
        return len(self.calls.get(trace, ()))


def request(trace: str, track: str, body: str, to: int, left: int = 30000, key: str = "") -> bytes:
    names = (b"X-Trace-Id", b"X-Qos", b"X-Expires-In-Ms", b"X-Route-To", b"Idempotency-Key", b"Cookie")
    values = (trace, track, str(left), f"dest={to}", f"tag-{trace}", f"about={key}")
    headers = [(name, value.encode()) for name, value in zip(names, values, strict=True)]
    return encode_message(b"POST /api HTTP/1.1", headers if key else headers[:-1], body.encode())


TERMS = sender_settings(1, SETTINGS)
LIMITS = ServerLimits.of({"sockets": 256, "disk_mb": 1}, TERMS)

"""A sender process on loopback with its surroundings: clients, endpoints that respond as the message body
says, and the platform's discovery agent.
"""

from __future__ import annotations

import json
import signal
import struct
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
from gevent import Timeout, socket, subprocess
from gevent.server import StreamServer

from ashpath.core.policy_settings import sender_settings
from ashpath.emulator.fault_injection.call_faults import ProcessFaults
from ashpath.emulator.fault_injection.launcher import SCHEDULE_VARIABLE
from ashpath.emulator.stand_ins import LOOPBACK, free_port
from ashpath.server.addresses import Address
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.http.messages import HttpRequest
from ashpath.server.limits.server_limits import ServerLimits

LAUNCHER = "ashpath.emulator.fault_injection.launcher"
ROOT = Path(__file__).parent.parent.parent
TRAFFIC_CLASSES = {"free": "retryable", "tag": "dedup", "once": "fragile"}
ENDPOINTS, PLATFORM, OTHER_PLATFORM = range(3)  # indexes of `SenderHarness.servers`
STATUSES = {"slow": b"200", "stray": b"200", "egress": b"503", "wait": b"429"}
HEADERS = {
    "429": [(b"Retry-After", b"0.05")],
    "egress": [(b"X-Egress-Full", b"1")],
    "wait": [(b"Retry-After", b"2.0")],
}
SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": name,
            "deadline": 30000.0,
            "slo": 2000.0,
            "repeat": retry_safety,
            "window": 20000.0,
            "importance": 1.0,
            "one-at-a-time": name == "tag",
        }
        for name, retry_safety in TRAFFIC_CLASSES.items()
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


def wait_until(condition: Callable[[], object]) -> None:
    """Returns once the condition holds. Raises gevent.Timeout after 20 s."""
    with Timeout(20):
        while not condition():
            gevent.sleep(0.01)


def free_address() -> Address:
    """Returns a loopback address without a listener. Its port is below the ephemeral range, so the kernel
    assigns it to no connection or server of another test in the meantime.
    """
    return LOOPBACK, free_port()


def reset_connection(sock: socket.socket) -> None:
    """Closes a connection with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def request(
    trace: str, traffic_class: str, body: str, to: int, time_left_ms: int = 30000, ordering_key: str = ""
) -> bytes:
    """Returns the bytes of a request that submits a message to the destination `to`."""
    headers = [
        (b"X-Trace-Id", trace.encode()),
        (b"X-Qos", traffic_class.encode()),
        (b"X-Expires-In-Ms", b"%d" % time_left_ms),
        (b"X-Route-To", b"dest=%d" % to),
        (b"Idempotency-Key", f"tag-{trace}".encode()),
    ]
    if ordering_key:
        headers.append((b"Cookie", f"about={ordering_key}".encode()))
    return encode_message(b"POST /api HTTP/1.1", headers, body.encode())


class SenderHarness:
    """A sender and all its peers.

    The words of a message's body say how the endpoints respond to its attempts, in their order; the last word
    holds for all further attempts. The sender runs in a process of its own once `start` is called. The
    endpoints and the platform's agents are servers in this process.
    """

    def __init__(
        self, folder: Path, endpoint_count: int = 40, inherited: socket.socket | None = None
    ) -> None:
        self.folder = folder
        self.inherited = inherited  # the listening socket that the sender inherits
        self.release = ROOT  # the source tree that the sender runs from: this one, or an earlier release
        self.attempts: dict[str, list[HttpRequest]] = {}  # received by endpoints, by trace id
        self.notifications: list[dict[str, Any]] = []
        self.notifications_to_reject = 0  # number of notification requests to answer with 503
        self.poll_counts: dict[int, int] = {}  # polls of the endpoint list, by the agent's port
        self.process: subprocess.Popen[bytes] | None = None
        handlers = (self.serve_endpoint, self.serve_platform, self.serve_platform)
        self.servers = [StreamServer(("127.0.0.1", 0), handler) for handler in handlers]
        for server in self.servers:
            server.start()
        self.members = [self.member(number) for number in range(endpoint_count)]
        self.faults: ProcessFaults | None = None  # faults of the sender's system calls
        self.address: Address = inherited.getsockname() if inherited else free_address()
        self.control_address = free_address()
        (folder / "state").mkdir()
        self.config: dict[str, Any] = {
            "seed": "8c1f",
            "settings": SETTINGS,
            "limits": {"sockets": 256, "disk_mb": 1},
            "known": {"revision": 1, "complete": True, "members": self.members},
        }
        self.configure()

    def member(self, number: int) -> dict[str, Any]:
        """Returns an endpoint's row of the endpoint list; each destination has one endpoint."""
        return {
            "id": f"e{number}",
            "cell": number,
            "size": 1.0,
            "host_port": f"127.0.0.1:{self.servers[ENDPOINTS].server_port}",
            "locality": "here",
            "flavor": "plain",
            "phase": "up",
        }

    # The sender's process

    def configure(self) -> None:
        """Writes the configuration file, which the sender reads at its start and on SIGHUP."""
        (self.folder / "config.json").write_text(json.dumps(self.config))

    def environment(self) -> dict[str, str]:
        """Returns the environment variables of the sender's process."""
        environment = {
            "PYTHONPATH": str(self.release),
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": f"127.0.0.1:{self.address[1]}",
            "RELAY_DISCOVERY": f"127.0.0.1:{self.servers[PLATFORM].server_port}",
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_CONTROL": f"127.0.0.1:{self.control_address[1]}",
        }
        if self.faults is not None:
            schedule = self.folder / "faults"
            schedule.write_bytes(self.faults.encode())
            environment[SCHEDULE_VARIABLE] = str(schedule)
        if self.inherited:
            environment["RELAY_ACCEPT_FD"] = str(self.inherited.fileno())
        return environment

    def start(self) -> None:
        """Starts the sender, and waits until it answers PING."""
        command = [sys.executable, "-m", "ashpath" if self.faults is None else LAUNCHER]
        descriptors = (self.inherited.fileno(),) if self.inherited else ()
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=self.folder,  # the working directory precedes PYTHONPATH in the module search
                env=self.environment(),
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
            )
        # The control address is of this process alone; the listening socket may be shared with another.
        wait_until(lambda: self.operator_command(b"PING\n") == b"OK\n")

    def kill(self, signal_number: int = signal.SIGKILL) -> int:
        """Ends the sender with a signal and returns its exit code."""
        assert self.process is not None
        self.process.send_signal(signal_number)
        wait_until(lambda: self.process is None or self.process.poll() is not None)
        code: int = self.process.returncode
        self.process = None
        return code

    def stop(self) -> None:
        """Kills the sender, if it runs, and stops the servers."""
        if self.process is not None:
            self.kill()
        for server in self.servers:
            server.stop(timeout=0)

    # Operators and clients

    def operator_command(self, line: bytes) -> bytes:
        """Returns the line that the control address answers; b"" if it does not answer."""
        try:
            with socket.create_connection(self.control_address, timeout=3) as sock:
                sock.sendall(line)
                answer: bytes = sock.makefile("rb").readline()
                return answer
        except OSError:
            return b""

    def connect(self) -> HttpConnection | None:
        """Returns a client's connection; None if the sender refuses it."""
        try:
            return HttpConnection(socket.create_connection(self.address), LIMITS.http)
        except OSError:
            return None

    def response_status(self, data: bytes) -> int:
        """Returns the status of the response to a request; 0 if there is no response."""
        connection = self.connect()
        if connection is None:
            return 0
        try:
            connection.write(data)
            return connection.read_response().status
        except (OSError, ConnectionClosedError):
            return 0
        finally:
            connection.close()

    def submit(
        self,
        trace: str,
        traffic_class: str,
        body: str,
        to: int,
        time_left_ms: int = 30000,
        ordering_key: str = "",
    ) -> int:
        """Submits a message and returns the status of the response."""
        return self.response_status(request(trace, traffic_class, body, to, time_left_ms, ordering_key))

    # Endpoints and the platform's agents

    def serve_endpoint(self, sock: socket.socket, _: object) -> None:
        """Serves a connection of the sender to an endpoint."""
        connection = HttpConnection(sock, LIMITS.http)
        try:
            while self.respond(connection, connection.read_request()):
                pass
        except (OSError, ConnectionClosedError, ProtocolError):
            pass
        connection.close()

    def respond(self, connection: HttpConnection, attempt: HttpRequest) -> bool:
        """Responds to an attempt as the word of its body says. Returns whether the connection stays open."""
        attempts = self.attempts.setdefault(attempt.headers[b"x-trace-id"].decode(), [])
        attempts.append(attempt)
        words = attempt.body.decode().split()
        word = words[min(len(attempts), len(words)) - 1]
        if word == "hang":
            connection.receive()
        elif word == "reset":
            reset_connection(connection.sock)
        elif word == "line":
            connection.write(b"HTTP/1.1 200 OK\r\n")
        else:
            gevent.sleep(0.5 if word == "slow" else 0)
            status_line = b"HTTP/1.1 %s X" % STATUSES.get(word, word.encode())
            response = encode_message(status_line, HEADERS.get(word, []), b"ok")
            connection.write(response + b"?" * (word == "stray"))
            return True
        return False

    def serve_platform(self, sock: socket.socket, _: object) -> None:
        """Serves a connection of the sender to an agent: notifications and polls of the endpoint list."""
        connection = HttpConnection(sock, LIMITS.http)
        try:
            while call := connection.read_request():
                if call.method == b"POST":
                    connection.write(self.accept_notifications(call))
                else:
                    port = sock.getsockname()[1]
                    self.poll_counts[port] = self.poll_counts.get(port, 0) + 1
                    gevent.sleep(0.2)
                    body = json.dumps(self.config["known"]).encode()
                    connection.write(encode_message(b"HTTP/1.1 200 X", [], body))
        except (OSError, ConnectionClosedError):
            connection.close()

    def accept_notifications(self, call: HttpRequest) -> bytes:
        """Records notifications and returns the response to their request."""
        if self.notifications_to_reject:
            self.notifications_to_reject -= 1
            return encode_message(b"HTTP/1.1 503 X", [], b"")
        self.notifications += [json.loads(line) for line in call.body.splitlines()]
        return b"HTTP/1.1 204 X\r\n\r\n"

    # Outcomes of a message

    def notified(self, trace: str) -> list[str]:
        """Returns the statuses of the notifications of a message."""
        return [line["status"] for line in self.notifications if line["id"] == trace]

    def attempt_count(self, trace: str) -> int:
        """Returns the number of attempts of a message that endpoints received."""
        return len(self.attempts.get(trace, ()))


POLICY_SETTINGS = sender_settings(1, SETTINGS)
LIMITS = ServerLimits.from_configuration({"sockets": 256, "disk_mb": 1}, POLICY_SETTINGS)

"""Stand-ins for the cases of the second review: clients, endpoints and the platform, on loopback addresses.

They use the standard library alone. Each case is a coroutine that gets a `Lab` and calls `expect` for what
the rule asks; `run_case` writes the record, ends all processes and sets the exit code.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
CLIENT_WAIT_S = 0.4  # a client's patience for the answer of a sender
MAX_RUN_S = 110.0
YES_WITHIN_S = 6.0  # of the start of a second process
REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 429: "Too Many Requests"}


class CannotRunError(Exception):
    """The case could not be played."""


def free_port() -> int:
    """Returns a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def http_answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Returns the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Returns the first line, the headers and the body of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    return first, headers, body


class Lab:
    """The record of one run, its folder, and everything that has to be ended."""

    def __init__(self, record: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.broken: list[str] = []
        self.quiet = False  # no line for each message and each call
        self.senders: list[Sender] = []
        self._record = record.open("w")

    def now(self) -> float:
        """Returns seconds since the start of the run."""
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")
        self._record.flush()

    def note_each(self, text: str) -> None:
        """Writes a line on one message or call, unless the case has too many of them."""
        if not self.quiet:
            self.note(text)

    def expect(self, *, holds: bool, text: str) -> None:
        """Notes what the rule asks, and whether it held."""
        self.note(f"{'held' if holds else 'BROKEN'}: {text}")
        if not holds:
            self.broken.append(text)

    async def play(self, case: Callable[[Lab], Awaitable[None]]) -> None:
        """Plays a case, and ends all processes that it started."""
        try:
            await asyncio.wait_for(case(self), MAX_RUN_S)
        finally:
            for sender in self.senders:
                for process in sender.processes:
                    process.send(signal.SIGKILL)
                    await process.wait(5.0)

    def close(self) -> None:
        """Adds the logs of the senders to the record, and removes the folder."""
        for sender in self.senders:
            for number, text in enumerate(sender.logs()):
                self.note(f"log of process {number + 1} of {sender.name}:")
                self._record.write(text.replace(str(ROOT), "."))
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Call:
    """A call that an endpoint has read."""

    def __init__(self, at: float, headers: dict[str, str], body: bytes) -> None:
        self.at = at
        self.trace_id = headers.get("x-trace-id", "")
        self.key = headers.get("idempotency-key", "")
        self.body = body


Behaviour = Callable[[Call], Awaitable["bytes | None"]]


async def deliver(_: Call) -> bytes:
    """Answers a call with 200 at once."""
    return http_answer(200)


class Endpoint:
    """One endpoint; `behaviour` returns the answer to a call, or None for silence."""

    def __init__(self, lab: Lab, name: str, cell: int, behaviour: Behaviour = deliver) -> None:
        self.lab = lab
        self.name = name
        self.cell = cell
        self.behaviour = behaviour
        self.calls: list[Call] = []
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.given_up: dict[str, float] = {}  # when the caller gave up each call that got no answer

    async def start(self, port: int = 0) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self._serve, HOST, port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Ends as a process does: resets its connections, and refuses new ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.lab.note(f"{self.name} has died")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                call = Call(self.lab.now(), message[1], message[2])
                self.calls.append(call)
                self.lab.note_each(f"{self.name} (cell {self.cell}) got {call.trace_id}")
                answer = await self.behaviour(call)
                if answer is None:
                    await reader.read()  # silent until the caller gives the call up
                    self.given_up[call.trace_id] = self.lab.now()
                    self.lab.note_each(f"{self.name}: {call.trace_id} is given up")
                    break
                writer.write(answer)
                await writer.drain()
                first = answer.split(b"\r\n", 1)[0].decode()
                self.lab.note_each(f"{self.name} answered {call.trace_id} with {first}")
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def row(self, phase: str = "up", up_since_ms: int = 0, kind: str = "plain") -> dict[str, Any]:
        """Returns the endpoint's row of the list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "here",
            "flavor": kind,
            "cell": self.cell,
            "phase": phase,
            "size": 5.0,
            "up_since_ms": up_since_ms,
        }


class Agent:
    """The platform's agent of one sender: the list of endpoints, its watch, and the notices."""

    def __init__(self, lab: Lab, rows: list[dict[str, Any]], name: str = "agent") -> None:
        self.lab = lab
        self.name = name
        self.rows = {row["id"]: row for row in rows}
        self.revision = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.answers_lists = True
        self.rejects_lists = False
        self.rejected = asyncio.Event()  # set as a call for a list is turned away
        self.notices: dict[str, tuple[float, str]] = {}
        self.port = 0

    async def start(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self._serve, HOST, 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The address as senders are told it."""
        return f"{HOST}:{self.port}"

    def change(self, row: dict[str, Any]) -> None:
        """Changes one row of the list; a removed one leaves the whole list."""
        self.revision += 1
        self.changes.append((self.revision, row))
        if row["phase"] == "removed":
            self.rows.pop(row["id"], None)
        else:
            self.rows[row["id"]] = row
        self.lab.note(f"{self.name}: revision {self.revision}: {row['id']} is {row['phase']}")
        self.changed.set()
        self.changed = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        """Returns the complete list."""
        return {"revision": self.revision, "complete": True, "members": list(self.rows.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self._answer(message)
                if answer is None:
                    await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(self, message: tuple[str, dict[str, str], bytes]) -> bytes | None:
        method, target, _ = message[0].split(" ", 2)
        if method == "POST" and target == "/v1/notices":
            return self._take_notices(message[2])
        if not target.startswith("/registry/instances"):
            return http_answer(404)
        if self.rejects_lists:
            self.rejected.set()
            return http_answer(503)
        if not self.answers_lists:
            return None
        query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if "=" in part)
        if "index" not in query:
            return http_answer(200, json.dumps(self.whole_list()).encode())
        index, wait_s = int(query["index"]), min(60_000, int(query.get("wait", "0"))) / 1000
        if index >= self.revision:
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        rows = [row for revision, row in self.changes if revision > index]
        document = {"revision": self.revision, "complete": False, "members": rows}
        return http_answer(200, json.dumps(document).encode())

    def _take_notices(self, body: bytes) -> bytes:
        for line in body.decode().splitlines():
            notice = json.loads(line)
            self.notices.setdefault(notice["id"], (self.lab.now(), notice["status"]))
            self.lab.note_each(f"{self.name} got notice {line}")
        return http_answer(204)


class Process:
    """One process of a sender."""

    def __init__(self, popen: asyncio.subprocess.Process, control: int, log: Path) -> None:
        self.popen = popen
        self.control = control
        self.log = log

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.popen.returncode is not None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if not self.has_ended:
            with suppress(ProcessLookupError):
                self.popen.send_signal(number)

    async def wait(self, limit_s: float) -> bool:
        """Returns whether the process ends in time."""
        with suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.popen.wait(), limit_s)
        return self.has_ended


class Sender:
    """A sender, started as the deploy file says, with its folder that lasts."""

    def __init__(
        self,
        lab: Lab,
        agent: Agent,
        settings: dict[str, Any],
        *,
        name: str = "n1",
        hands_down_socket: bool = False,
        known: dict[str, Any] | None = None,
    ) -> None:
        self.lab = lab
        self.name = name
        self.folder = lab.folder / name
        (self.folder / "state").mkdir(parents=True)
        (self.folder / "tmp").mkdir()
        self.agent = agent
        self.port = free_port()
        self.listener: socket.socket | None = None
        if hands_down_socket:
            self.listener = socket.socket()
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind((HOST, self.port))
            self.listener.listen(1024)
        self.document: dict[str, Any] = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": agent.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": known if known is not None else agent.whole_list(),
            "settings": settings,
        }
        self.processes: list[Process] = []
        lab.senders.append(self)
        self.configure()

    def configure(self) -> None:
        """Replaces the configuration file."""
        temporary = self.folder / "config.json.new"
        temporary.write_text(json.dumps(self.document))
        os.replace(temporary, self.folder / "config.json")

    async def start(self) -> Process:
        """Starts a process of the sender; does not wait until it is ready."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        control = free_port()
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "PYTHON"))
        }
        environment |= {
            "TMPDIR": str(self.folder / "tmp"),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"{HOST}:{self.port}",
            "RELAY_DISCOVERY": self.agent.address,
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_CONTROL": f"{HOST}:{control}",
        }
        inherited: tuple[int, ...] = ()
        if self.listener is not None:
            inherited = (self.listener.fileno(),)
            environment["RELAY_ACCEPT_FD"] = str(self.listener.fileno())
        path = self.folder / f"log-{len(self.processes) + 1}"
        with path.open("wb") as log:
            popen = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=inherited,
            )
        process = Process(popen, control, path)
        self.processes.append(process)
        self.lab.note(f"{self.name}: process {len(self.processes)} started")
        return process

    async def start_ready(self) -> Process:
        """Starts a process, and waits until it is ready."""
        process = await self.start()
        if not await self.await_ready(process, 30):
            reason = f"{self.name} is not ready"
            raise CannotRunError(reason)
        return process

    async def await_ready(self, process: Process, limit_s: float) -> bool:
        """Returns whether the process answers PING, and is ready for clients, in time."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until and not process.has_ended:
            if (await self.command(process, "PING")).startswith("OK") and await self.is_ready():
                self.lab.note(f"{self.name}: process {self.processes.index(process) + 1} ready")
                return True
            await asyncio.sleep(0.02)
        return False

    async def upgrade(self, old: Process) -> None:
        """Starts a second process, and sends SIGTERM to the old one at its yes."""
        new = await self.start()
        until = time.monotonic() + YES_WITHIN_S
        while not (await self.command(new, "PING")).startswith("OK"):
            if time.monotonic() > until:
                reason = f"no yes of the new process of {self.name}"
                raise CannotRunError(reason)
            await asyncio.sleep(0.02)
        old.send(signal.SIGTERM)
        self.lab.note("the new process says yes; SIGTERM to the old one")

    async def is_ready(self) -> bool:
        """Returns whether GET /health/ready is answered with 200."""
        return await self.status_of(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n") == 200

    async def status_of(self, request: bytes) -> int:
        """Sends a request on a connection of its own; returns the status, 0 without an answer in 1 s."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                try:
                    writer.write(request)
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0
        return int(line.split()[1]) if line.startswith(b"HTTP/") else 0

    async def command(self, process: Process, line: str) -> str:
        """Sends a command to the second address of a process; returns its answer, empty without one."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, process.control)
                try:
                    writer.write(f"{line}\n".encode())
                    return (await reader.readline()).decode().strip()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return ""

    def logs(self) -> list[str]:
        """Returns the logs of all processes."""
        return [process.log.read_text(errors="replace")[-20_000:] for process in self.processes]


class Message:
    """One message that a client has handed in."""

    def __init__(self, trace_id: str, sent_at: float, time_s: float) -> None:
        self.trace_id = trace_id
        self.sent_at = sent_at
        self.time_s = time_s
        self.status = 0  # of the sender's answer; 0: none in time

    @property
    def taken_on(self) -> bool:
        """Whether the client has learned that the message is taken on."""
        return self.status in (200, 202)


class Client:
    """One client connection, dialled anew after it ends."""

    def __init__(self, lab: Lab, sender: Sender) -> None:
        self.lab = lab
        self.sender = sender
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def hand_in(
        self, name: str, track: str, cell: int, time_s: float, *, order_key: str = "", body: bytes = b""
    ) -> Message:
        """Hands in one message, and returns it with the answer."""
        message = Message(name, self.lab.now(), time_s)
        headers = {
            "Host": "backend.local",
            "X-Trace-Id": name,
            "X-Qos": track,
            "X-Expires-In-Ms": str(round(time_s * 1000)),
            "X-Route-To": f"dest={cell}",
            "Idempotency-Key": f"key-{name}",
            "Content-Length": str(len(body)),
        }
        if order_key:
            headers["Cookie"] = f"about={order_key}"
        head = "\r\n".join(["POST /api HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())])
        data = head.encode() + b"\r\n\r\n" + body
        for is_last in (False, True):
            was_kept = self.streams is not None
            with suppress(OSError, TimeoutError):
                message.status = await asyncio.wait_for(self._exchange(data), CLIENT_WAIT_S)
            if message.status or is_last or not was_kept:
                break
        key = f", key {order_key}" if order_key else ""
        self.lab.note_each(
            f"client: {name} ({track}, cell {cell}, {time_s:g} s{key}) answered {message.status}"
        )
        return message

    async def _exchange(self, data: bytes) -> int:
        if self.streams is None:
            self.streams = await asyncio.open_connection(HOST, self.sender.port)
        reader, writer = self.streams
        self.streams = None
        try:
            writer.write(data)
            answer = await read_message(reader)
        except BaseException:
            writer.close()
            raise
        if answer is None:
            writer.close()
            return 0
        if "close" in answer[1].get("connection", ""):
            writer.close()
        else:
            self.streams = reader, writer
        return int(answer[0].split()[1])


def track(name: str, repeat: str, deadline_ms: float, **more: object) -> dict[str, Any]:
    """Returns one class of the settings."""
    row = {"name": name, "deadline": deadline_ms, "slo": 4000.0, "repeat": repeat, "group": "all"}
    return {**row, "importance": 1.0, "late-worth": 0.3, "stream": False, "window": 5000.0, **more}


def settings(*tracks: dict[str, Any], **contract: float) -> dict[str, Any]:
    """Returns settings like those of a small deployment: one sender, one kind, lists pushed."""
    return {
        "classes": list(tracks),
        "clients": {"marks-retry": True},
        "contract": {
            "answer-slack": 20.0,
            "ask-every": 10000.0,
            "cold-from": 0.18,
            "drain-grace": 1000.0,
            "fall": 3000.0,
            "fall-multiple": 2.0,
            "ramp-time": 11000.0,
            **contract,
        },
        "family": "deliver",
        "group-size": 1,
        "kinds": ["plain"],
        "limits": {
            "cancelling": True,
            "conn-idle": 5000.0,
            "connect-timeout": 1000.0,
            "max-attempts": 12,
            "max-open": 435,
            "max-retry-after": 3000.0,
            "may-probe": False,
            "may-tell": False,
            "parallel-tries": False,
            "retry-after": True,
        },
        "load-info": {"fields": [], "how": "none"},
        "membership-mode": "push",
        "my-zone": 0,
        "rank": 0,
        "specifics": {
            "carriage": [0.0],
            "kind-apart": [False],
            "loses-worth": "halves",
            "per-call": [1],
            "slots": 51,
        },
        "tenants": [],
        "tick": 5.0,
        "tier": 0,
        "tiers": ["partner-systems"],
        "weight-source": "none",
        "zones": ["here"],
    }


def run_case(path: str, play: Callable[[Lab], Awaitable[None]], rule: str) -> None:
    """Plays a case. The exit code is 1 if the rule was broken, 0 if it held, and 2 if it could not run."""
    lab = Lab(Path(path).resolve().parent / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        lab.note(rule)
        lab.note(f"disruption: {'on' if lab.trouble else 'off'}")
        asyncio.run(lab.play(play))
        code = 1 if lab.broken else 0
    except (CannotRunError, OSError, TimeoutError) as error:
        lab.note(f"could not run: {error!r}")
    finally:
        lab.note(f"exit {code}")
        lab.close()
    print(f"exit {code}", *lab.broken, sep="\n", flush=True)
    os._exit(code)  # streams that are still open would complain of the loop that has ended

"""Stand-ins of the platform, the endpoints and the clients, and a sender as the deploy file starts it.

Standard library only. Every address is a free port of 127.0.0.1. A case imports this module from its own
folder's script; `review/build.sh` compiles it. `Record` writes what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
READY_LIMIT_S = 30.0  # the limit that the pages set for a start
CLIENT_PATIENCE_S = 0.4  # a client waits so long for its answer
DOWN_S = 0.6  # from SIGKILL to the next start
TERM_TO_KILL_S = 3.7  # the least time from SIGTERM to SIGKILL
MEMBERS_TOLD = 10  # in a line of the record
ACCEPT_FD = 7  # the descriptor of an inherited listening socket

Head = dict[str, str]


def free_port() -> int:
    """Returns a port of the loopback address that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """Lines of what happened, with seconds from the start of the case, in memory and in `record.txt`."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Returns seconds from the start of the case."""
        return time.monotonic() - self.began

    def add(self, event: str, **fields: object) -> float:
        """Writes one line, and returns its time."""
        at = self.now()
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:9.4f} {event} {told}".rstrip() + "\n")
        self.file.flush()
        return at


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Head] | None:
    """Returns the first line and the headers of a message, or None at the end of the connection."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = block.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in rest if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


def encode(first: str, headers: Head, body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Call:
    """One call at an endpoint, from its last byte on."""

    def __init__(self, endpoint: str, headers: Head, body: bytes, at: float, connection: int) -> None:
        self.endpoint = endpoint
        self.trace = headers.get("x-trace-id", "")
        self.key = headers.get("idempotency-key", "")
        self.body = body
        self.at = at
        self.connection = connection


Answer = tuple[int, Head] | None
Behaviour = Callable[[Call], Awaitable[Answer]]


class Endpoint:
    """An endpoint. `behaviour` returns the answer to a call; None: the connection ends without one."""

    def __init__(self, name: str, cell: int, record: Record, behaviour: Behaviour) -> None:
        self.name = name
        self.cell = cell
        self.record = record
        self.behaviour = behaviour
        self.calls: list[Call] = []
        self.port = 0
        self.connections = 0
        self.open: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens at a free port, or at `port` if that is set."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port or None)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Ends the endpoint: its address refuses connections, and the open ones end."""
        if self.server is not None:
            self.server.close()
        for writer in self.open:
            writer.close()
        self.record.add("stopped", endpoint=self.name)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        connection = self.connections
        self.open.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                if not head[0].startswith("POST /hook "):
                    writer.write(encode("HTTP/1.1 404 Not Found", {}))
                    continue
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                at = self.record.add(
                    "call", endpoint=self.name, trace=head[1].get("x-trace-id"), connection=connection
                )
                call = Call(self.name, head[1], body, at, connection)
                self.calls.append(call)
                answer = await self.behaviour(call)
                if answer is None:
                    break
                status, headers = answer
                if reader.at_eof():
                    self.record.add("given-up", endpoint=self.name, trace=call.trace)  # no answer is written
                    break
                self.record.add("answer", endpoint=self.name, trace=call.trace, status=status)
                writer.write(encode(f"HTTP/1.1 {status} Answer", headers))
                await writer.drain()
        self.open.discard(writer)
        writer.close()

    def member(self, phase: str = "up", size: float = 1.0) -> dict[str, Any]:
        """Returns this endpoint's entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "hall-a",
            "flavor": "plain",
            "cell": self.cell,
            "phase": phase,
            "size": size,
            "up_since_ms": 0,
        }


def encode_list(answer: dict[str, Any]) -> bytes:
    """Returns an answer of discovery without spaces, as in the examples of the protocol's page."""
    return json.dumps(answer, separators=(",", ":")).encode()


class Platform:
    """Discovery, and the receiver of notices, at one address."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.members: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens at a free port."""
        self.server = await asyncio.start_server(self._serve, HOST)
        self.port = self.server.sockets[0].getsockname()[1]

    def tell(self, *members: dict[str, Any]) -> float:
        """Changes the list; a member that is `removed` leaves it."""
        self.revision += 1
        for member in members:
            self.history.append((self.revision, member))
            if member["phase"] == "removed":
                self.members.pop(member["id"], None)
            else:
                self.members[member["id"]] = member
        self.changed.set()
        self.changed = asyncio.Event()
        told = ",".join(
            f"{member['id']}:{member['phase']}:cell-{member['cell']}:at-{member['host_port']}"
            for member in members[:MEMBERS_TOLD]
        )
        return self.record.add(
            "discovery-has", revision=self.revision, changed=len(members), first=told, whole=len(self.members)
        )

    def whole(self) -> dict[str, Any]:
        """Returns the whole list in discovery's form."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                target = head[0].split(" ")[1]
                if target == "/v1/notices":
                    writer.write(self._take_notices(body))
                else:
                    answer = await self._list(target)
                    self.record.add("list", asked=target, bytes=len(answer))
                    writer.write(encode("HTTP/1.1 200 OK", {}, answer))
                await writer.drain()
        writer.close()

    def _take_notices(self, body: bytes) -> bytes:
        for line in body.decode().splitlines():
            notice = json.loads(line)
            at = self.record.add("notice", **notice)
            self.notices.append((at, notice))
        return b"HTTP/1.1 204 No Content\r\n\r\n"

    async def _list(self, target: str) -> bytes:
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        index = int(query.get("index", -1))
        if index < 0:
            return encode_list(self.whole())
        if index >= self.revision:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("wait", 0)) / 1000):
                    await self.changed.wait()
        news = [member for revision, member in self.history if revision > index]
        return encode_list({"revision": self.revision, "complete": False, "members": news})


class Sender:
    """A sender, started by the line `run` of the deploy file."""

    def __init__(self, name: str, folder: Path, platform: Platform, record: Record) -> None:
        self.name = name
        self.record = record
        self.platform = platform
        self.port = free_port()
        self.control = 0
        self.listener: socket.socket | None = None
        self.state = folder / name
        self.state.mkdir()
        self.temporary = folder / f"{name}-tmp"
        self.temporary.mkdir()
        self.configuration = folder / f"{name}.json"
        self.log = (folder / f"{name}.log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None
        self.older: list[subprocess.Popen[bytes]] = []
        """Processes of this sender that a hot upgrade has replaced."""
        self.crashed = False

    def hold_listener(self) -> None:
        """Opens the clients' listening socket, which the platform holds where there are hot upgrades."""
        self.listener = socket.create_server((HOST, self.port), backlog=1024)

    def configure(self, settings: dict[str, Any], **limits: float) -> None:
        """Replaces the configuration file, with a new seed and the list as it is now."""
        document = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.platform.port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3, **limits},
            "known": self.platform.whole(),
            "settings": settings,
        }
        beside = self.configuration.with_suffix(".new")
        beside.write_text(json.dumps(document), encoding="utf-8")
        beside.replace(self.configuration)
        names = ",".join(f"{row['name']}:{row['repeat']}" for row in settings["classes"])
        self.record.add("configuration", sender=self.name, classes=names, limits=document["limits"])

    async def start(self, limit_s: float = READY_LIMIT_S) -> bool:
        """Starts the process; returns whether it was ready within the limit."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"{HOST}:{self.port}",
            "RELAY_DISCOVERY": f"{HOST}:{self.platform.port}",
            "RELAY_STATE": str(self.state),
            "RELAY_CONFIG": str(self.configuration),
            "TMPDIR": str(self.temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.control = free_port()
        environment["RELAY_CONTROL"] = f"{HOST}:{self.control}"
        descriptors: tuple[int, ...] = ()
        inherit: Callable[[], object] | None = None
        if self.listener is not None:
            environment["RELAY_ACCEPT_FD"] = str(ACCEPT_FD)
            descriptors = (ACCEPT_FD,)
            inherit = partial(os.dup2, self.listener.fileno(), ACCEPT_FD)
        self.record.add("start", sender=self.name)
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=subprocess.STDOUT,
            pass_fds=descriptors,
            preexec_fn=inherit,
        )
        began = time.monotonic()
        while time.monotonic() - began < limit_s:
            if self.process.poll() is not None:
                self.crashed = True
                self.record.add("exited", sender=self.name, code=self.process.returncode)
                return False
            if await self._ready():
                self.record.add("ready", sender=self.name)
                return True
            await asyncio.sleep(0.05)
        self.record.add("not-ready", sender=self.name)
        return False

    async def _ready(self) -> bool:
        """Asks at the second address, which only the newest process has, and then at the clients' address."""
        if not (await self.operate("PING")).startswith("OK"):
            return False
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode("GET /health/ready HTTP/1.1", {"Host": "backend.local"}))
                head = await read_head(reader)
                writer.close()
                return head is not None and head[0].split(" ")[1] == "200"
        return False

    async def operate(self, command: str) -> str:
        """Sends one operator's command to the newest process; returns its answer, or an empty text."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(HOST, self.control)
                writer.write(f"{command}\n".encode())
                line = (await reader.readline()).decode().strip()
                writer.close()
                return line
        return ""

    async def upgrade(self) -> bool:
        """Starts a second process beside the first; at its yes the first gets SIGTERM. Returns whether the
        second was ready."""
        old = self.process
        if not await self.start() or old is None:
            return False
        self.older.append(old)
        self.record.add("signal", sender=self.name, signal="SIGTERM", process="old")
        old.send_signal(signal.SIGTERM)
        return True

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.record.add("signal", sender=self.name, signal=number.name)
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process, and returns once it has ended."""
        self.signal(signal.SIGKILL)
        while self.process is not None and self.process.poll() is None:
            await asyncio.sleep(0.01)

    def end(self) -> None:
        """Ends each process that still runs."""
        for process in (*self.older, self.process):
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        if self.listener is not None:
            self.listener.close()
        self.log.close()


class Message:
    """What a client handed in, and what it was answered."""

    def __init__(self, trace: str, track: str, dest: int, expires_ms: int, at: float) -> None:
        self.trace = trace
        self.track = track
        self.dest = dest
        self.expires_ms = expires_ms
        self.at = at
        self.status = 0
        """Status of the answer; 0: none."""
        self.retry_after = ""


class Client:
    """Hands in messages, each on a connection of its own."""

    def __init__(self, sender: Sender, record: Record) -> None:
        self.sender = sender
        self.record = record
        self.messages: dict[str, Message] = {}

    async def hand_in(
        self, track: str, dest: int, expires_ms: int, *, key: str = "", body: bytes = b"stage 3"
    ) -> Message:
        """Hands in one message, and waits for its answer for as long as clients do."""
        trace = secrets.token_hex(8)
        message = Message(trace, track, dest, expires_ms, self.record.now())
        self.messages[trace] = message
        headers = {
            "Host": "backend.local",
            "X-Trace-Id": trace,
            "X-Qos": track,
            "X-Expires-In-Ms": str(expires_ms),
            "X-Route-To": f"dest={dest}",
        }
        if key:
            headers["Idempotency-Key"] = key
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                reader, writer = await asyncio.open_connection(HOST, self.sender.port)
                try:
                    writer.write(encode("POST /api HTTP/1.1", headers, body))
                    head = await read_head(reader)
                    if head is not None:
                        message.status = int(head[0].split(" ")[1])
                        message.retry_after = head[1].get("retry-after", "")
                finally:
                    writer.close()
        self.record.add("handed-in", trace=trace, track=track, dest=dest, answered=message.status)
        return message


Case = Callable[[Record, Path, bool], Awaitable[int]]


def run_case(case: Case, folder: Path, limit_s: float) -> int:
    """Runs a case in a temporary folder; returns its exit code, 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the case then ends what it started
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", folder=folder.name, trouble=int(trouble))

    async def limited(temporary: Path) -> int:
        async with asyncio.timeout(limit_s):
            return await case(record, temporary, trouble)

    code = 2
    with tempfile.TemporaryDirectory(prefix="ashpath-review-") as temporary:
        try:
            code = asyncio.run(limited(Path(temporary)))
        except (OSError, TimeoutError) as error:
            record.add("could-not-run", error=repr(error))
        if os.environ.get("KEEP_LOG"):
            for log in Path(temporary).glob("*.log"):
                (folder / f"{log.name}.txt").write_bytes(log.read_bytes())
    record.add("result", code=code)
    print(f"{folder.name}: exit {code} (1: the rule was broken, 0: it held, 2: could not run)")
    return code

"""An agent of service discovery that fails by a script, and records each poll.

| reply | what a poll receives |
| --- | --- |
| ANSWER | the list, by the protocol: a watch waits for a change, a snapshot request does not |
| SILENT | no response; the request is read |
| REJECT | 503 with the agent's Retry-After |
| RESET | a reset of the connection after the request is read |
| CLOSE | an orderly close of the connection |
| UNREADABLE | 200 with a truncated list |

Each poll takes the next reply from `script`, or `default_reply` once the script is empty. Notices are
accepted at any time, also while polls fail, but for one batch in `reject_notices_every`.
"""

from __future__ import annotations

import struct
from collections import deque
from enum import Enum
from time import monotonic
from urllib.parse import parse_qs

import gevent
import orjson
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from msgspec import Struct

from ashpath.core.json_types import JsonObject
from ashpath.emulator.stand_ins import LOOPBACK
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.http.messages import HttpRequest
from ashpath.server.limits.http import HttpLimits

NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
NOTICE_REJECTED = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
NOTICE_REJECTED_AFTER_S = 0.1
SILENCE_S = 60.0


class AgentReply(Enum):
    """See the table of the module."""

    ANSWER = "answer"
    SILENT = "silent"
    REJECT = "reject"
    RESET = "reset"
    CLOSE = "close"
    UNREADABLE = "unreadable"


class PollRecord(Struct):
    """One poll of a sender."""

    at: float
    """Time at which the request was read, in seconds of the monotonic clock."""
    index: int | None
    """The revision that the poll names; None if the poll requests a snapshot."""
    reply: AgentReply


class DiscoveryAgent:
    """Listens from construction until `stop`."""

    def __init__(
        self, members: list[JsonObject], limits: HttpLimits, revision: int = 1, retry_after_s: float = 0.0
    ) -> None:
        self.members = members
        self.revision = revision
        self.retry_after_s = retry_after_s
        self.script: deque[AgentReply] = deque()
        self.default_reply = AgentReply.ANSWER
        self.delay_s = 0.0  # before each list is written
        self.polls: list[PollRecord] = []
        self.notices: list[tuple[JsonObject, float]] = []  # each line with its time of arrival
        self.reject_notices_every = 0  # 0: no batch of notices is rejected
        self.batches = 0  # of notices
        self._limits = limits
        self._changed = Event()
        self._silence_count = 0  # calls of `silence_watches`
        self._server = StreamServer((LOOPBACK, 0), self._serve)
        self._server.start()
        self.address = f"{LOOPBACK}:{self._server.server_port}"

    def change(self, members: list[JsonObject], revision: int | None = None) -> None:
        """Replaces the list, with the next revision or `revision`, and answers the open watches."""
        self.members = members
        self.revision = self.revision + 1 if revision is None else revision
        self._changed.set()
        self._changed = Event()

    def silence_watches(self) -> None:
        """Leaves the watches that are open now without a response."""
        self._silence_count += 1

    def stop(self) -> None:
        """Closes the listening socket."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, self._limits)
        try:
            while True:
                request = connection.read_request()
                if request.method == b"POST":
                    self._serve_notices(connection, request)
                elif not self._reply(connection, request):
                    return
        except (OSError, ConnectionClosedError, ProtocolError):
            pass
        finally:
            connection.close()

    def _serve_notices(self, connection: HttpConnection, request: HttpRequest) -> None:
        self.batches += 1
        if self.reject_notices_every and self.batches % self.reject_notices_every == 0:
            gevent.sleep(NOTICE_REJECTED_AFTER_S)
            connection.write(NOTICE_REJECTED)
            return
        self.notices += [(orjson.loads(line), monotonic()) for line in request.body.splitlines()]
        connection.write(NO_CONTENT)

    def _reply(self, connection: HttpConnection, request: HttpRequest) -> bool:
        """Serves one poll, and returns whether the connection stays open."""
        query = parse_qs(request.url.partition(b"?")[2])
        index = int(query[b"index"][0]) if b"index" in query else None
        reply = self.script.popleft() if self.script else self.default_reply
        record = PollRecord(monotonic(), index, reply)
        self.polls.append(record)
        if reply is AgentReply.ANSWER:
            wait_s = int(query[b"wait"][0]) / 1000 if b"wait" in query else 0.0
            return self._answer(connection, record, wait_s)
        if reply is AgentReply.REJECT:
            headers = [(wire_names.RETRY_AFTER_HEADER, b"%.1f" % self.retry_after_s)]
            connection.write(encode_message(b"HTTP/1.1 503 X", headers if self.retry_after_s else [], b""))
            return True
        if reply is AgentReply.SILENT:
            gevent.sleep(SILENCE_S)
        elif reply is AgentReply.RESET:
            reset_connection(connection.sock)
        elif reply is AgentReply.UNREADABLE:
            connection.write(encode_message(b"HTTP/1.1 200 OK", [], b'{"members":['))
            return True
        return False

    def _answer(self, connection: HttpConnection, record: PollRecord, wait_s: float) -> bool:
        if record.index is not None and record.index >= self.revision:
            silenced_before = self._silence_count
            self._changed.wait(wait_s)
            if self._silence_count != silenced_before:
                record.reply = AgentReply.SILENT
                gevent.sleep(SILENCE_S)
                return False
        gevent.sleep(self.delay_s)
        unchanged = record.index == self.revision
        body = {
            "revision": self.revision,
            "complete": not unchanged,
            "members": [] if unchanged else self.members,
        }
        connection.write(encode_message(b"HTTP/1.1 200 OK", [], orjson.dumps(body)))
        return True


def reset_connection(sock: socket.socket) -> None:
    """Ends a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()

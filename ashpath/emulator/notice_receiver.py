"""HTTP server for a sender's notices of accepted messages that it could not deliver."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import orjson
from gevent import socket
from gevent.server import StreamServer

from ashpath.core.json_types import JsonObject
from ashpath.emulator.final_outcomes import FinalOutcome
from ashpath.emulator.stand_ins import LOOPBACK
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.limits.http import HttpLimits

NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Notice:
    """The final outcome of one message."""

    message_id: str
    outcome: FinalOutcome
    """REJECTED or FAILED."""
    retry_after_s: float
    """0 if the notice has none."""


class NoticeHandler(Protocol):
    """Handler of received notices."""

    def notified(self, notice: Notice) -> None:
        """Handles one notice; the same notice may be received more than once."""


class NoticeReceiver:
    """Listens for notices from its construction until `stop`. Port 0 selects a free port."""

    def __init__(self, handler: NoticeHandler, limits: HttpLimits, port: int = 0) -> None:
        self._handler = handler
        self._limits = limits
        self._server = StreamServer((LOOPBACK, port), self._serve)
        self._server.start()
        self.address = f"{LOOPBACK}:{self._server.server_port}"

    def _serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, self._limits)
        try:
            while True:
                for line in connection.read_request().body.splitlines():
                    self._handler.notified(_notice(orjson.loads(line)))
                connection.write(NO_CONTENT)
        except (OSError, ConnectionClosedError, ProtocolError, ValueError):
            connection.close()

    def stop(self) -> None:
        """Closes the listening socket."""
        self._server.stop(timeout=0)


def _notice(row: JsonObject) -> Notice:
    rejected = row["status"] == wire_names.REJECTED_STATUS
    outcome = FinalOutcome.REJECTED if rejected else FinalOutcome.FAILED
    return Notice(row["id"], outcome, row.get("again_ms", 0) / 1000)

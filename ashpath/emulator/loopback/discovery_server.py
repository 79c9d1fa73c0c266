"""The service discovery agent of one sender: a list with a revision, and a watch for the next revision."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

import orjson
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from ashpath.core.interface import EndpointRecord
from ashpath.core.json_types import JsonObject
from ashpath.emulator.stand_ins import LOOPBACK
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.limits.http import HttpLimits

WATCH_TIMEOUT_S = 2.0
OK = b"HTTP/1.1 200 OK"


class EndpointsObserver(Protocol):
    """Observes which endpoints the agent reports to its sender."""

    def endpoints_reported(self, records: list[EndpointRecord]) -> None:
        """Called after a complete list was written to the sender."""


class DiscoveryServer:
    """Listens from construction until `stop`. `addresses` is read for each report, and may grow."""

    def __init__(
        self,
        kinds: Sequence[str],
        addresses: Mapping[str, str],
        records: list[EndpointRecord],
        observer: EndpointsObserver,
        limits: HttpLimits,
    ) -> None:
        self._kinds = kinds
        self._addresses = addresses
        self._records = records
        self._observer = observer
        self._limits = limits
        self._revision = 1
        self._changed = Event()
        self._server = StreamServer((LOOPBACK, 0), self._serve)
        self._server.start()
        self.address = f"{LOOPBACK}:{self._server.server_port}"

    def change(self, records: list[EndpointRecord]) -> None:
        """Replaces the list, and answers the open watches."""
        self._records = records
        self._revision += 1
        self._changed.set()
        self._changed = Event()

    def stop(self) -> None:
        """Closes the listening socket."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, self._limits)
        try:
            while True:
                self._answer(connection, connection.read_request().url)
        except (OSError, ConnectionClosedError, ProtocolError):
            connection.close()

    def _answer(self, connection: HttpConnection, url: bytes) -> None:
        if self._is_current(url):
            self._changed.wait(WATCH_TIMEOUT_S)
        unchanged = self._is_current(url)
        members = [] if unchanged else [self._member(record) for record in self._records]
        body = {"revision": self._revision, "complete": not unchanged, "members": members}
        connection.write(encode_message(OK, [], orjson.dumps(body)))
        if not unchanged:
            self._observer.endpoints_reported(self._records)

    def _is_current(self, url: bytes) -> bool:
        return b"index=%d&" % self._revision in url

    def _member(self, record: EndpointRecord) -> JsonObject:
        return {
            "id": record.endpoint_id,
            "host_port": self._addresses[record.endpoint_id],
            "cell": record.destination,
            "flavor": self._kinds[record.kind],
            "locality": "",
            "phase": "up",
        }

"""Plays the clients of a crowd against one sender."""

from __future__ import annotations

from contextlib import suppress
from time import monotonic

import gevent
from gevent import Timeout, socket
from msgspec import Struct

from ashpath.emulator.crowd.shapes import SCRIPTS, ClientIdentity, CrowdShape, Script

CONNECT_TIMEOUT_S = 3.0
PATIENCE_S = 5.0  # a connection that has seen neither a byte nor its end by then counts as unanswered
RECONNECT_PAUSE_S = 0.01
READ_BYTES = 65_536


class CrowdRecord(Struct):
    """What the clients of a crowd observed."""

    connections: int = 0
    """Connections that were established and have ended, or that lasted `PATIENCE_S`."""
    refused: int = 0
    """Connections that were not established."""
    responses: int = 0
    """Connections on which a response arrived, or each response where the client awaits them."""
    closed: int = 0
    """Connections that ended without a response."""
    unanswered: int = 0
    """Connections with neither within `PATIENCE_S`."""
    longest_wait_s: float = 0.0
    """From the establishment of a connection, or from a request, to the first byte or the end."""

    def observed(self, wait_s: float) -> None:
        """Records a wait that has ended."""
        self.longest_wait_s = max(self.longest_wait_s, wait_s)


class CrowdClient:
    """One client, which connects again whenever its connection has ended."""

    def __init__(
        self, identity: ClientIdentity, address: tuple[str, int], shape: CrowdShape, record: CrowdRecord
    ) -> None:
        self.identity = identity
        self.address = address
        self.script = SCRIPTS[shape]
        self.record = record

    def run(self, until: float) -> None:
        """Connects again and again until `until`, in seconds of the monotonic clock."""
        while monotonic() < until:
            try:
                sock = socket.create_connection(self.address, timeout=CONNECT_TIMEOUT_S)
            except OSError:
                self.record.refused += 1
            else:
                sock.settimeout(None)
                self.play(sock, self.script(self.identity), until)
                sock.close()
            gevent.sleep(RECONNECT_PAUSE_S)

    def play(self, sock: socket.socket, script: Script, until: float) -> None:
        """Plays one connection to its end."""
        self.record.connections += 1
        if script.awaits_responses:
            with suppress(OSError, Timeout):
                self.converse(sock, script, until)
            return
        writer = gevent.spawn(write_all, sock, script)
        began = monotonic()
        try:
            with Timeout(PATIENCE_S):
                received = receive_first(sock)
        except Timeout:
            self.record.unanswered += 1
        else:
            self.record.observed(monotonic() - began)
            if received:
                self.record.responses += 1
            else:
                self.record.closed += 1
        writer.kill()

    def converse(self, sock: socket.socket, script: Script, until: float) -> None:
        """Writes each request after the response to the one before. Raises OSError, and Timeout for a
        response that does not come."""
        for request in script.pieces:
            sock.sendall(request)
            began = monotonic()
            try:
                with Timeout(PATIENCE_S):
                    received = sock.recv(READ_BYTES)
            except Timeout:
                self.record.unanswered += 1
                raise
            if not received:
                self.record.closed += 1
                return
            self.record.observed(monotonic() - began)
            self.record.responses += 1
            if monotonic() >= until:
                return


def write_all(sock: socket.socket, script: Script) -> None:
    """Writes a script's pieces; returns early if the sender ends the connection."""
    with suppress(OSError):
        for piece in script.pieces:
            sock.sendall(piece)
            gevent.sleep(script.interval_s)


def receive_first(sock: socket.socket) -> bytes:
    """Returns the first bytes that arrive, or nothing if the connection ends without any."""
    try:
        return sock.recv(READ_BYTES)
    except OSError:
        return b""


def play_crowd(
    address: tuple[str, int], shape: CrowdShape, count: int, duration_s: float, traffic_class: bytes
) -> CrowdRecord:
    """Plays `count` clients of one shape for `duration_s` seconds, and returns what they observed.

    `traffic_class`: of their messages."""
    record = CrowdRecord()
    until = monotonic() + duration_s
    greenlets = [
        gevent.spawn(CrowdClient(ClientIdentity(number, traffic_class), address, shape, record).run, until)
        for number in range(count)
    ]
    gevent.joinall(greenlets, timeout=duration_s + PATIENCE_S)
    gevent.killall(greenlets)
    return record

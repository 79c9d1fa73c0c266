"""A TCP proxy that simulates network faults: it forwards each connection, or fails it by the current mode.

| mode | what a connection receives |
| --- | --- |
| FORWARD | the bytes of the target |
| LATE | the bytes of the target, after `late_s` without a byte |
| RESET | a reset as soon as it is accepted |
| RESET_AFTER_BYTE | a reset after the first byte that the caller sends |
| SILENT | no byte; the bytes that the caller sends are read and dropped |
| HALF_RESPONSE | the first half of the bytes that the target sends first, and no further byte |

A connection keeps the mode under which it was accepted. `reset_connections` ends the open connections: the
caller's side is reset, and the target's side is closed. A reset by one side is passed on to the other.
With a `first_byte`, only connections fail whose caller sends that byte first; all others are forwarded, and
not reset. `FullBacklog` is an address at which connection attempts neither succeed nor fail.

`response_faults` change what the target sends (`stream_faults`), `spared_response_faults` what it sends to
callers with another first byte. `request_faults` send each affected request once more, each time on a new
connection to the target, whose response nobody reads.
"""

from __future__ import annotations

from contextlib import suppress
from enum import Enum
from typing import Protocol

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashpath.emulator.fault_injection.discovery_agent import reset_connection
from ashpath.emulator.fault_injection.stream_faults import DelayedWrite, MessageFaultInjector
from ashpath.emulator.stand_ins import LOOPBACK

CHUNK_BYTES = 65536
SILENCE_S = 60.0
RESPONSE_TIMEOUT_S = 1.0
FILLING_CONNECTIONS = 4  # more than a backlog of 0 accepts


class ProxyMode(Enum):
    """See the table of the module."""

    FORWARD = "forward"
    LATE = "late"
    RESET = "reset"
    RESET_AFTER_BYTE = "reset after a byte"
    SILENT = "silent"
    HALF_RESPONSE = "half a response"


class ResponseObserver(Protocol):
    """Observes what a proxy writes to its callers."""

    def response_written(self, caller: socket.socket, data: bytes) -> None:
        """Called as bytes of the target, or invented ones, are written."""

    def connection_reset(self, caller: socket.socket) -> None:
        """Called as the proxy resets a connection, which may lose what was written last."""


class FaultProxy:
    """Listens from construction until `stop`."""

    def __init__(self, target: tuple[str, int], late_s: float = 1.0, first_byte: bytes = b"") -> None:
        self.target = target
        self.late_s = late_s
        self.first_byte = first_byte
        self.mode = ProxyMode.FORWARD
        self.response_faults: MessageFaultInjector | None = None
        self.spared_response_faults: MessageFaultInjector | None = None
        self.request_faults: MessageFaultInjector | None = None
        self.observer: ResponseObserver | None = None
        self.accepted: dict[ProxyMode, int] = dict.fromkeys(ProxyMode, 0)
        self._open: dict[socket.socket, socket.socket | None] = {}  # the target's socket by the caller's
        self._spared: set[socket.socket] = set()  # callers whose first byte is another one
        self._server = StreamServer((LOOPBACK, 0), self._serve)
        self._server.start()
        self.address = f"{LOOPBACK}:{self._server.server_port}"

    def stop(self) -> None:
        """Closes the listening socket, and resets the open connections."""
        self._server.stop(timeout=0)
        self._spared.clear()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets all open connections that may fail."""
        for caller, target in list(self._open.items()):
            if caller in self._spared:
                continue
            del self._open[caller]
            with suppress(OSError):  # the socket may have just been closed
                self._reset(caller)
            if target is not None:
                target.close()

    def _serve(self, caller: socket.socket, _: object) -> None:
        self._open[caller] = None
        try:
            mode = self._select_mode(caller)
            self.accepted[mode] += 1
            self._handle(caller, mode)
        except OSError:
            pass
        finally:
            self._open.pop(caller, None)
            self._spared.discard(caller)
            caller.close()

    def _select_mode(self, caller: socket.socket) -> ProxyMode:
        mode = self.mode
        if self.first_byte and caller.recv(1, socket.MSG_PEEK) != self.first_byte:
            self._spared.add(caller)
            return ProxyMode.FORWARD
        return mode

    def _handle(self, caller: socket.socket, mode: ProxyMode) -> None:
        if mode is ProxyMode.RESET:
            reset_connection(caller)
        elif mode is ProxyMode.RESET_AFTER_BYTE:
            caller.recv(1)
            reset_connection(caller)
        elif mode is ProxyMode.SILENT:
            while caller.recv(CHUNK_BYTES):
                pass
        else:
            if mode is ProxyMode.LATE:
                gevent.sleep(self.late_s)
            self._forward(caller, half=mode is ProxyMode.HALF_RESPONSE)

    def _forward(self, caller: socket.socket, *, half: bool) -> None:
        target = socket.create_connection(self.target)
        if caller not in self._open:  # reset meanwhile
            target.close()
            return
        self._open[caller] = target
        requests = gevent.spawn(self._forward_requests, caller, target)
        try:
            if half:
                chunk = target.recv(CHUNK_BYTES)
                caller.sendall(chunk[: len(chunk) // 2])
                gevent.sleep(SILENCE_S)
            if self._copy_responses(target, caller):
                self._reset(caller)
        finally:
            requests.kill()
            target.close()

    def _copy_responses(self, target: socket.socket, caller: socket.socket) -> bool:
        """Copies responses, with faults. Returns whether the connection was reset."""
        faults = self.spared_response_faults if caller in self._spared else self.response_faults
        if faults is None and self.observer is None:
            return copy(target, caller)
        return copy_with_faults(target, caller, faults, self.observer)

    def _reset(self, caller: socket.socket) -> None:
        if self.observer is not None:
            self.observer.connection_reset(caller)
        reset_connection(caller)

    def _forward_requests(self, caller: socket.socket, target: socket.socket) -> None:
        if self._copy_requests(caller, target):
            with suppress(OSError):  # the target may have just ended the connection
                reset_connection(target)

    def _copy_requests(self, caller: socket.socket, target: socket.socket) -> bool:
        """Copies requests, and repeats some. Returns whether the connection was reset."""
        faults = self.request_faults
        if faults is None:
            return copy(caller, target)
        try:
            while request := caller.recv(CHUNK_BYTES):
                target.sendall(request)
                for repetition in faults.writes(request, b"")[1:]:
                    gevent.spawn_later(repetition.delay_s, self._send_alone, repetition.data)
            target.shutdown(socket.SHUT_WR)
        except ConnectionResetError:
            return True
        except OSError:
            pass
        return False

    def _send_alone(self, request: bytes) -> None:
        """Sends a request on a connection of its own, and reads the response without using it."""
        with suppress(OSError), socket.create_connection(self.target) as connection:
            connection.sendall(request)
            connection.settimeout(RESPONSE_TIMEOUT_S)
            connection.recv(CHUNK_BYTES)


def copy_with_faults(
    source: socket.socket,
    sink: socket.socket,
    faults: MessageFaultInjector | None,
    observer: ResponseObserver | None,
) -> bool:
    """Copies messages as the injector says. Returns whether a connection was reset."""
    previous = b""
    try:
        while message := source.recv(CHUNK_BYTES):
            writes = [DelayedWrite(0.0, message)] if faults is None else faults.writes(message, previous)
            for write in writes:
                if write.delay_s:
                    gevent.spawn_later(write.delay_s, write_if_open, sink, write, observer)
                else:
                    write_observed(sink, write, observer)
            previous = message
        sink.shutdown(socket.SHUT_WR)
    except ConnectionResetError:
        return True
    except OSError:
        pass
    return False


def write_observed(sink: socket.socket, write: DelayedWrite, observer: ResponseObserver | None) -> None:
    """Writes to a connection. Raises OSError."""
    sink.sendall(write.data)
    if observer is not None:
        observer.response_written(sink, write.data)
    if write.ends:
        sink.shutdown(socket.SHUT_WR)


def write_if_open(sink: socket.socket, write: DelayedWrite, observer: ResponseObserver | None) -> None:
    """Writes to a connection that may have ended since."""
    with suppress(OSError):
        write_observed(sink, write, observer)


def copy(source: socket.socket, sink: socket.socket) -> bool:
    """Copies bytes until either side closes its connection. Returns whether a connection was reset."""
    try:
        while chunk := source.recv(CHUNK_BYTES):
            sink.sendall(chunk)
        sink.shutdown(socket.SHUT_WR)
    except ConnectionResetError:
        return True
    except OSError:
        pass
    return False


class FullBacklog:
    """An address where connection attempts neither succeed nor fail, because the backlog is full."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.bind((LOOPBACK, 0))
        self._socket.listen(0)
        self.address: tuple[str, int] = self._socket.getsockname()
        self._filling = []
        for _ in range(FILLING_CONNECTIONS):
            filler = socket.socket()
            with suppress(OSError):
                filler.settimeout(0.02)
                filler.connect(self.address)
            self._filling.append(filler)

    def stop(self) -> None:
        """Closes the listening socket and the connections that fill its backlog."""
        for sock in (*self._filling, self._socket):
            sock.close()

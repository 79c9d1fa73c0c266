"""Makes system calls of this process fail by a schedule: gevent sockets, functions of `os`, the wall clock.

Only functions that a sender uses are replaced, once, before any module of the sender is loaded. Each injected
fault is counted, and the counts are written to a file whenever they change, so that a test can check that a
fault has reached the sender.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import orjson
from gevent import socket

from ashpath.emulator.fault_injection.call_faults import (
    SHORT,
    FaultCounter,
    FaultyCall,
    ProcessFaults,
    os_error,
)


class ShortCall(Protocol):
    """A replacement of a call that transfers fewer bytes than requested, with the call's result."""

    def __call__(self, *arguments: Any) -> Any:  # noqa: ANN401 - replaces calls with any signature
        """Takes the real function, and the arguments of the call."""


class ProcessFaultInjector:
    """The faults of this process; times count from construction. The file `report` receives the counts."""

    def __init__(self, faults: ProcessFaults, report: Path) -> None:
        self.counter = FaultCounter(faults)
        self.report = report
        self.listening_port = int(os.environ.get("RELAY_LISTEN", ":0").rpartition(":")[2])
        self.started_at = time.monotonic()
        self._report_flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC  # of the next write of the report
        self._real_write = os.write
        self._real_open = os.open
        self._real_time_ns = time.time_ns

    def install(self) -> None:
        """Replaces the functions, so that calls fail as scheduled."""
        self._replace(socket.socket, "accept", FaultyCall.ACCEPT)
        self._replace(socket.socket, "connect", FaultyCall.CONNECT)
        self._replace(socket.socket, "recv_into", FaultyCall.RECEIVE, self._receive_short)
        self._replace(socket.socket, "send", FaultyCall.SEND, self._send_short)
        self._replace(socket.socket, "__init__", FaultyCall.SOCKET)
        self._replace(os, "write", FaultyCall.WRITE, self._write_short)
        self._replace(os, "ftruncate", FaultyCall.TRUNCATE)
        self._replace(os, "fsync", FaultyCall.SYNC)
        self._replace(os, "replace", FaultyCall.RENAME)
        self._replace(os, "open", FaultyCall.OPEN)
        time.time_ns = self._time_ns
        time.time = lambda: self._time_ns() / 1e9

    def _replace(
        self,
        owner: object,
        name: str,
        call: FaultyCall,
        short_call: ShortCall | None = None,
    ) -> None:
        real = getattr(owner, name)

        def faulty(*arguments: Any, **options: Any) -> Any:  # noqa: ANN401 - replaces the real call
            if options.get("fileno") is not None:  # wraps an accepted socket, and makes no system call
                return real(*arguments, **options)
            if call is FaultyCall.RECEIVE and self._is_client_connection(arguments[0]):
                return real(*arguments, **options)  # a broken client connection breaks no rule
            error = self.counter.next_error(call, time.monotonic() - self.started_at)
            if error is None:
                return real(*arguments, **options)
            self._write_report()
            if error != SHORT:
                raise os_error(error)
            return real(*arguments, **options) if short_call is None else short_call(real, *arguments)

        setattr(owner, name, faulty)

    def _is_client_connection(self, sock: socket.socket) -> bool:
        """Whether the connection was accepted: its local port is the port that the sender listens on."""
        try:
            return int(sock.getsockname()[1]) == self.listening_port
        except (OSError, IndexError):
            return False

    def _time_ns(self) -> int:
        elapsed_s = time.monotonic() - self.started_at
        return self._real_time_ns() + int(self.counter.faults.clock_offset_s(elapsed_s) * 1e9)

    def _write_report(self) -> None:
        """Overwrites the report, which never becomes shorter.

        Only the first write truncates the file: the close of a truncated file waits for the disk, on ext4 up
        to 0.07 s, and would hold up the sender at each fault."""
        descriptor = self._real_open(self.report, self._report_flags, 0o600)
        self._report_flags &= ~os.O_TRUNC
        self._real_write(descriptor, orjson.dumps(self.counter.injected))
        os.close(descriptor)

    @staticmethod
    def _receive_short(real: Callable[..., int], sock: Any, buffer: memoryview, *flags: Any) -> int:  # noqa: ANN401 - as the real call
        return real(sock, memoryview(buffer)[: max(1, len(buffer) // 2 - 1)], *flags)

    @staticmethod
    def _send_short(real: Callable[..., int], sock: Any, data: bytes, *flags: Any) -> int:  # noqa: ANN401 - as the real call
        return real(sock, memoryview(data)[: max(1, len(data) // 2 - 1)], *flags)

    @staticmethod
    def _write_short(real: Callable[..., int], descriptor: int, data: bytes) -> int:
        return real(descriptor, data[: len(data) // 2])

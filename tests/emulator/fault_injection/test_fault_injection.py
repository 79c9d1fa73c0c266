"""Injected faults reach the system calls of a real sender, or the caller that connects to a proxy."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from random import Random

import gevent
import pytest
from gevent import socket, subprocess
from gevent.server import StreamServer
from support.sender_harness import SenderHarness, wait_until
from support.server import address_of

from ashpath.emulator.fault_injection.call_faults import (
    SHORT,
    CallFault,
    ClockStep,
    FaultCounter,
    FaultyCall,
    ProcessFaults,
    draw_faults,
)
from ashpath.emulator.fault_injection.launcher import SCHEDULE_VARIABLE, report_path
from ashpath.emulator.fault_injection.tcp_proxy import FaultProxy, FullBacklog, ProxyMode

EACH_FAULT = [  # the call, its error, and the number of calls that succeed first
    (FaultyCall.ACCEPT, "ECONNABORTED", 8),
    (FaultyCall.CONNECT, "ENOBUFS", 1),
    (FaultyCall.RECEIVE, SHORT, 8),
    (FaultyCall.SEND, SHORT, 8),
    (FaultyCall.WRITE, "ENOSPC", 8),
    (FaultyCall.SOCKET, "ENFILE", 4),
    (FaultyCall.RENAME, "EIO", 4),
    (FaultyCall.OPEN, "ENOSPC", 8),
]


def test_each_injected_fault_reaches_sender_that_keeps_serving(harness: SenderHarness) -> None:
    """The sender starts, accepts and delivers messages with the faults of EACH_FAULT in its process."""
    faults = [CallFault(call, error, skip=skip, count=1) for call, error, skip in EACH_FAULT]
    harness.faults = ProcessFaults(tuple(faults))
    harness.start()
    for number in range(24):
        harness.submit(f"m{number}", "free", "200", 1)
    wait_until(lambda: harness.attempt_count("m23"))
    injected = json.loads(report_path(harness.folder / "faults").read_text())
    reached = {key.partition(" ")[0] for key in injected}
    assert {"accept", "connect", "receive", "send", "write"} <= reached


# The report was truncated at each fault, which waits for the disk: a sender notified 0.5 s late (seed 15).
def test_report_is_truncated_once_per_process(tmp_path: Path) -> None:
    schedule = tmp_path / "faults"
    schedule.write_bytes(ProcessFaults((CallFault(FaultyCall.WRITE, "EIO", count=3),)).encode())
    code = (
        "import os, sys\n"
        "from pathlib import Path\n"
        "from ashpath.emulator.fault_injection.call_faults import ProcessFaults\n"
        "from ashpath.emulator.fault_injection.process_faults import ProcessFaultInjector\n"
        "real_open = os.open\n"
        "flags = []\n"
        "os.open = lambda *arguments: flags.append(arguments[1]) or real_open(*arguments)\n"
        "faults = ProcessFaults.decode(Path(sys.argv[1]).read_bytes())\n"
        "ProcessFaultInjector(faults, Path(sys.argv[2])).install()\n"
        "for _ in range(3):\n"
        "    try:\n"
        "        os.write(1, b'')\n"
        "    except OSError:\n"
        "        pass\n"
        "print([bool(one & os.O_TRUNC) for one in flags])\n"
    )
    report = report_path(schedule)
    report.write_text("the counts of an earlier process, which are longer")
    command = [sys.executable, "-c", code, str(schedule), str(report)]
    assert subprocess.check_output(command, text=True) == "[True, False, False]\n"
    assert json.loads(report.read_text()) == {"write EIO": 3}


def test_clock_step_shifts_wall_clock_of_process(tmp_path: Path) -> None:
    schedule = tmp_path / "faults"
    schedule.write_bytes(ProcessFaults(clock=(ClockStep(0.0, 3600.0),)).encode())
    code = (
        "import time; real = time.time()\n"
        "from pathlib import Path\n"
        "from ashpath.emulator.fault_injection.call_faults import ProcessFaults\n"
        "from ashpath.emulator.fault_injection.process_faults import ProcessFaultInjector\n"
        f"path = Path({str(schedule)!r})\n"
        "ProcessFaultInjector(ProcessFaults.decode(path.read_bytes()), path).install()\n"
        "print(round((time.time() - real) / 60))"
    )
    run = subprocess.run([sys.executable, "-c", code], stdout=subprocess.PIPE, cwd=Path.cwd())
    assert run.stdout == b"60\n"


def test_schedule_counts_only_calls_within_its_interval() -> None:
    fault = CallFault(FaultyCall.WRITE, "EIO", begin_s=1.0, end_s=2.0, skip=1, count=2)
    counter = FaultCounter(ProcessFaults((fault,)))
    times_s = [0.5, 1.0, 1.1, 1.2, 1.3, 2.0]
    assert [counter.next_error(FaultyCall.WRITE, time_s) for time_s in times_s] == [
        None,
        None,
        "EIO",
        "EIO",
        None,
        None,
    ]
    assert counter.next_error(FaultyCall.ACCEPT, 1.5) is None
    assert counter.injected == {"write EIO": 2}


def test_same_seed_draws_same_fault_schedule() -> None:
    drawn = [draw_faults(Random(seed), 10.0) for seed in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2]
    assert ProcessFaults.decode(drawn[0].encode()) == drawn[0]
    assert SCHEDULE_VARIABLE


def answer(sock: socket.socket, _: object) -> None:
    sock.recv(100)
    sock.sendall(b"12345678")


@pytest.mark.parametrize(
    ("mode", "received"),
    [
        (ProxyMode.FORWARD, b"12345678"),
        (ProxyMode.LATE, b"12345678"),
        (ProxyMode.HALF_RESPONSE, b"1234"),
        (ProxyMode.SILENT, None),
        (ProxyMode.RESET, b""),
        (ProxyMode.RESET_AFTER_BYTE, b""),
    ],
)
def test_proxy_mode_decides_what_caller_receives(mode: ProxyMode, received: bytes | None) -> None:
    """`received` is None if the caller receives neither a byte nor the end of the connection."""
    target = StreamServer(("127.0.0.1", 0), answer)
    target.start()
    proxy = FaultProxy(address_of(target), late_s=0.05)
    proxy.mode = mode
    host, _, port = proxy.address.partition(":")
    caller = socket.create_connection((host, int(port)))
    caller.settimeout(0.3)
    try:
        caller.sendall(b"call")
        found: bytes | None = caller.recv(100)
    except TimeoutError:
        found = None
    except ConnectionResetError:
        found = b""
    assert found == received
    assert proxy.accepted[mode] == 1
    caller.close()
    proxy.stop()
    target.stop()


def test_proxy_resets_its_open_connections() -> None:
    target = StreamServer(("127.0.0.1", 0), lambda *_: gevent.sleep(9))
    target.start()
    proxy = FaultProxy(address_of(target))
    host, _, port = proxy.address.partition(":")
    caller = socket.create_connection((host, int(port)))
    wait_until(lambda: proxy.accepted[ProxyMode.FORWARD])
    proxy.reset_connections()
    with pytest.raises(ConnectionResetError):
        caller.recv(1)
    proxy.stop()
    target.stop()


def test_connect_to_full_backlog_times_out() -> None:
    backlog = FullBacklog()
    caller = socket.socket()
    caller.settimeout(0.3)
    with pytest.raises(TimeoutError):
        caller.connect(backlog.address)
    caller.close()
    backlog.stop()

"""The line protocol of the operators' address."""

from __future__ import annotations

import pytest

from ashpath.server.control.protocol import LONGEST, InvalidCommandError, OperatorCommand, answer, read

LINES = [  # what a caller sent so far: the call, None while the line is not whole, or the reason of the ERR
    (b"PING\n", OperatorCommand("PING")),
    (b"ping\r\n", OperatorCommand("PING")),
    (b"DETACH ep-3\n", OperatorCommand("DETACH", "ep-3")),
    (b"ATTACH ep-3\r\nrest", OperatorCommand("ATTACH", "ep-3")),
    (b"LAMEDUCK", None),
    (b"", None),
    (b"x" * LONGEST, "longer"),
    (b"DETACH " + b"e" * LONGEST + b"\n", "longer"),
    (b"DETACH \xff\n", "ASCII"),
    (b"PING\x00\n", "control characters"),
    (b"\n", "empty"),
    (b"REBOOT\n", "unknown call"),
    (b"DETACH\n", "one argument"),
    (b"DETACH a b\n", "one argument"),
    (b"PING now\n", "no argument"),
]


@pytest.mark.parametrize(("data", "told"), LINES)
def test_codec(data: bytes, told: OperatorCommand | str | None) -> None:
    if isinstance(told, str):
        with pytest.raises(InvalidCommandError, match=told):
            read(data)
    else:
        assert read(data) == told
    assert answer(True) == b"OK\n" and answer(False, "bad\nline\r") == b"ERR bad line\n"
    assert len(answer(False, "x" * 1000)) <= LONGEST

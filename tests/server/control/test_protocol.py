"""Line protocol of the control address."""

from __future__ import annotations

import pytest

from ashpath.server.control.commands import CommandResult, EndpointCommand, OperatorCommand, Verb
from ashpath.server.control.errors import InvalidCommandError
from ashpath.server.control.protocol import MAX_LINE_BYTES, encode_result, parse_command

COMMANDS = [
    (b"PING\n", OperatorCommand(Verb.PING)),
    (b"ping\r\n", OperatorCommand(Verb.PING)),
    (b"LAMEDUCK\n", OperatorCommand(Verb.LAMEDUCK)),
    (b"REJOIN\n", OperatorCommand(Verb.REJOIN)),
    (b"DETACH ep-3\n", EndpointCommand(Verb.DETACH, "ep-3")),
    (b"ATTACH ep-3\r\nrest", EndpointCommand(Verb.ATTACH, "ep-3")),
]
INVALID = [  # a line and the reason that the answer gives
    (b"x" * MAX_LINE_BYTES, "line longer than 256 bytes"),
    (b"DETACH " + b"e" * MAX_LINE_BYTES + b"\n", "line longer than 256 bytes"),
    (b"DETACH \xff\n", "line is not ASCII"),
    (b"PING\x00\n", "line holds control characters"),
    (b"\n", "empty line"),
    (b"REBOOT\n", "unknown call 'REBOOT'"),
    (b"DETACH\n", "DETACH takes one argument, an endpoint id"),
    (b"DETACH a b\n", "DETACH takes one argument, an endpoint id"),
    (b"PING now\n", "PING takes no argument"),
]


@pytest.mark.parametrize(("received", "command"), COMMANDS)
def test_complete_line_parses_to_its_command(received: bytes, command: OperatorCommand) -> None:
    assert parse_command(received) == command


@pytest.mark.parametrize("received", [b"", b"LAMEDUCK", b"DETACH ep-3\r"])
def test_incomplete_line_gives_no_command_yet(received: bytes) -> None:
    assert parse_command(received) is None


@pytest.mark.parametrize(("received", "reason"), INVALID)
def test_invalid_line_raises_its_reason(received: bytes, reason: str) -> None:
    with pytest.raises(InvalidCommandError) as raised:
        parse_command(received)
    assert str(raised.value) == reason


@pytest.mark.parametrize(
    ("result", "line"),
    [
        (CommandResult(succeeded=True), b"OK\n"),
        (CommandResult(succeeded=True, message="ready"), b"OK ready\n"),
        (CommandResult(succeeded=False, message="bad\nline\r"), b"ERR bad line\n"),
        (CommandResult(succeeded=False, message="caf\xe9"), b"ERR caf?\n"),
    ],
)
def test_result_is_encoded_as_one_line(result: CommandResult, line: bytes) -> None:
    assert encode_result(result) == line


def test_long_answer_is_truncated_to_line_limit() -> None:
    line = encode_result(CommandResult(succeeded=False, message="x" * 1000))
    assert len(line) <= MAX_LINE_BYTES
    assert line.endswith(b"x\n")

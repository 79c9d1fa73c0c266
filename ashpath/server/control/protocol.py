"""Codec of the control address's line protocol, without I/O: bytes to a command, a result to bytes.

An operator sends one line and reads one line; then the connection ends.

    request = verb [ SP endpoint-id ] [ CR ] LF     at most 256 bytes, printable ASCII, the verb in any case
    answer  = ( "OK" / "ERR" ) [ SP text ] LF       at most 256 bytes

Bytes after the first LF are ignored. docs/on-call.md documents the commands for operators.

>>> parse_command(b"DETACH ep-7\\r\\n")
EndpointCommand(verb=<Verb.DETACH: 'DETACH'>, endpoint_id='ep-7')
>>> parse_command(b"PIN") is None
True
"""

from __future__ import annotations

from ashpath.server.control.commands import (
    ENDPOINT_VERBS,
    CommandResult,
    EndpointCommand,
    OperatorCommand,
    Verb,
)
from ashpath.server.control.errors import (
    ArgumentCountError,
    ControlCharacterError,
    EmptyLineError,
    LineTooLongError,
    NotAsciiError,
    UnknownVerbError,
)

MAX_LINE_BYTES = 256  # of a request or an answer, with its line end
MAX_TEXT_BYTES = MAX_LINE_BYTES - 8  # of an answer, between its first word and its line end


def parse_command(received: bytes) -> OperatorCommand | None:
    """Returns the command in all bytes received from an operator, or None while its line is incomplete.

    Raises a subclass of InvalidCommandError for each kind of invalid line."""
    line = complete_line(received)
    if line is None:
        return None
    words = decode_line(line).split()
    if not words:
        raise EmptyLineError
    return build_command(words[0], words[1:])


def complete_line(received: bytes) -> bytes | None:
    """Returns the first line without its end, or None while it is incomplete. Raises LineTooLongError."""
    end = received.find(b"\n")
    length = len(received) if end < 0 else end
    if length >= MAX_LINE_BYTES:
        raise LineTooLongError(MAX_LINE_BYTES)
    return None if end < 0 else received[:end].removesuffix(b"\r")


def decode_line(line: bytes) -> str:
    """Returns a line as text. Raises NotAsciiError and ControlCharacterError."""
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError as error:
        raise NotAsciiError from error
    if not text.isprintable():
        raise ControlCharacterError
    return text


def build_command(name: str, arguments: list[str]) -> OperatorCommand:
    """Returns the command of a verb and its arguments. Raises UnknownVerbError and ArgumentCountError."""
    try:
        verb = Verb(name.upper())
    except ValueError as error:
        raise UnknownVerbError(name) from error
    takes_endpoint = verb in ENDPOINT_VERBS
    if len(arguments) != int(takes_endpoint):
        raise ArgumentCountError(verb.value, takes_endpoint=takes_endpoint)
    return EndpointCommand(verb, arguments[0]) if takes_endpoint else OperatorCommand(verb)


def encode_result(result: CommandResult) -> bytes:
    """Returns the line that answers a command.

    The message is truncated to fit; white space becomes single spaces, and non-ASCII characters become "?".

    >>> encode_result(CommandResult(succeeded=False, message="unknown endpoint ep-9"))
    b'ERR unknown endpoint ep-9\\n'
    """
    ascii_message = result.message.encode("ascii", "replace").decode("ascii")
    text = " ".join(ascii_message.split())[:MAX_TEXT_BYTES]
    status = "OK" if result.succeeded else "ERR"
    return f"{status} {text}\n".encode() if text else f"{status}\n".encode()

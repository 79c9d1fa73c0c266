"""The control address's line protocol, free of I/O: bytes in, a call or a reason out; an answer to bytes.

One line a connection: a call, a space and an argument where it takes one, ended by LF (CR LF too). The
answer is one line that begins with `OK` or `ERR`, and a reason after `ERR`.

>>> read(b"DETACH ep-7\\r\\n")
OperatorCommand(name='DETACH', argument='ep-7')
>>> read(b"PIN") is None
True
"""

from __future__ import annotations

from dataclasses import dataclass

LONGEST = 256  # bytes of a line, its end included
TAKES = {"PING": False, "DETACH": True, "ATTACH": True, "LAMEDUCK": False, "REJOIN": False}  # an argument?


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    name: str
    argument: str | None = None


class InvalidCommandError(ValueError):
    """The line is no call; its words are the reason that the answer gives."""


def read(data: bytes) -> OperatorCommand | None:
    """The call in what a caller sent so far; None while the line is not whole.

    Raises Unreadable: a line too long, not ASCII, an unknown call, or one with a wrong count of arguments."""
    end = data.find(b"\n")
    if end < 0:
        if len(data) >= LONGEST:
            raise InvalidCommandError(f"line longer than {LONGEST} bytes")
        return None
    if end >= LONGEST:
        raise InvalidCommandError(f"line longer than {LONGEST} bytes")
    line = data[:end].removesuffix(b"\r")
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError:
        raise InvalidCommandError("line is not ASCII") from None
    if not text.isprintable():
        raise InvalidCommandError("line holds control characters")
    words = text.split()
    if not words:
        raise InvalidCommandError("empty line")
    name, arguments = words[0].upper(), words[1:]
    if name not in TAKES:
        raise InvalidCommandError(f"unknown call {words[0][:32]!r}")
    if len(arguments) != TAKES[name]:
        raise InvalidCommandError(
            f"{name} takes {'one argument, an endpoint id' if TAKES[name] else 'no argument'}"
        )
    return OperatorCommand(name, arguments[0] if arguments else None)


def answer(ok: bool, words: str = "") -> bytes:
    """One line. `words` is cut to what fits and loses what would break the line.

    >>> answer(False, "unknown endpoint ep-9")
    b'ERR unknown endpoint ep-9\\n'
    """
    text = " ".join(words.encode("ascii", "replace").decode("ascii").split())[: LONGEST - 8]
    return (b"OK" if ok else b"ERR") + (b" " + text.encode("ascii") if text else b"") + b"\n"

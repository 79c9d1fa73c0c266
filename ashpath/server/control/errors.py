"""Errors in the line of an operator; the answer reports an error's message as its reason."""

MAX_QUOTED_VERB = 32  # characters of an unknown verb that the message quotes


class InvalidCommandError(ValueError):
    """The line is not a valid command."""


class LineTooLongError(InvalidCommandError):
    """The line, its end included, is longer than `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"line longer than {max_bytes} bytes")


class NotAsciiError(InvalidCommandError):
    """The line has a byte above 127."""

    def __init__(self) -> None:
        super().__init__("line is not ASCII")


class ControlCharacterError(InvalidCommandError):
    """The line has a character that cannot be printed."""

    def __init__(self) -> None:
        super().__init__("line holds control characters")


class EmptyLineError(InvalidCommandError):
    """The line contains no word."""

    def __init__(self) -> None:
        super().__init__("empty line")


class UnknownVerbError(InvalidCommandError):
    """The line's first word is not a verb."""

    def __init__(self, word: str) -> None:
        super().__init__(f"unknown call {word[:MAX_QUOTED_VERB]!r}")


class ArgumentCountError(InvalidCommandError):
    """The number of arguments is wrong: endpoint verbs take one argument, the other verbs none."""

    def __init__(self, verb: str, *, takes_endpoint: bool) -> None:
        expected = "one argument, an endpoint id" if takes_endpoint else "no argument"
        super().__init__(f"{verb} takes {expected}")

"""What can be wrong with what an operator sends: the message of each is the reason that the answer gives."""

MAX_QUOTED_VERB = 32  # characters of an unknown verb that its message repeats


class InvalidCommandError(ValueError):
    """The line is no command."""


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
    """The line has no word."""

    def __init__(self) -> None:
        super().__init__("empty line")


class UnknownVerbError(InvalidCommandError):
    """The line's first word is no verb."""

    def __init__(self, word: str) -> None:
        super().__init__(f"unknown call {word[:MAX_QUOTED_VERB]!r}")


class ArgumentCountError(InvalidCommandError):
    """The verb takes one argument and has none or several, or takes none and has one."""

    def __init__(self, verb: str, *, takes_endpoint: bool) -> None:
        expected = "one argument, an endpoint id" if takes_endpoint else "no argument"
        super().__init__(f"{verb} takes {expected}")

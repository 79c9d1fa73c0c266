"""What can go wrong on the way to an endpoint, and with notifications."""


class PartialWriteError(OSError):
    """The disk took only a part of what was to be written."""

    def __init__(self, written: int, expected: int) -> None:
        super().__init__(f"only {written} of {expected} bytes written")

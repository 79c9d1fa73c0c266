"""Makes disk calls of this process fail by number, for tests of stored data."""

from __future__ import annotations

import errno
import fcntl
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

FOR_GOOD = 1 << 30  # a number of calls that no test reaches
SHORT = "short"  # instead of an errno's name: half of the data is written
KILL = "kill"  # instead of an errno's name: the process ends within the call, which a write has half done


class KilledError(BaseException):
    """The process was killed within a call. No handler of errors catches it."""


class FailingDisk:
    """Makes `count` calls of one function fail, after the first `first` calls of it.

    The function is `fcntl.flock`, or one of `os`.
    """

    def __init__(self, name: str, error: str, first: int, count: int) -> None:
        self.name = name
        self.error = error
        self.calls_before_failure = first
        self.calls_to_fail = count
        self.injected = 0

    @property
    def module(self) -> object:
        """The module whose function fails."""
        return fcntl if self.name == "flock" else os

    def wrap(self, real: Callable[..., object]) -> Callable[..., object]:
        """Returns the function with its failures."""

        def call(target: int | Path, *arguments: bytes | int | Path) -> object:
            if self.calls_before_failure:
                self.calls_before_failure -= 1
                return real(target, *arguments)
            if not self.calls_to_fail:
                return real(target, *arguments)
            self.calls_to_fail -= 1
            self.injected += 1
            return self._fail(real, target, *arguments)

        return call

    def _fail(
        self, real: Callable[..., object], target: int | Path, *arguments: bytes | int | Path
    ) -> object:
        half_done = None
        if self.error in (SHORT, KILL) and arguments and isinstance(arguments[0], bytes):
            half_done = real(target, arguments[0][: len(arguments[0]) // 2])
        if self.error == KILL:
            raise KilledError
        if half_done is not None:
            return half_done
        raise OSError(getattr(errno, self.error), "injected")


@contextmanager
def failing_calls(*disks: FailingDisk) -> Iterator[None]:
    """Makes the calls fail within the context."""
    with pytest.MonkeyPatch.context() as patch:
        for disk in disks:
            patch.setattr(disk.module, disk.name, disk.wrap(getattr(disk.module, disk.name)))
        yield

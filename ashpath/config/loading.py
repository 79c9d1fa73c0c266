"""Reads the sender's file and the secrets that it points to. All that is wrong is said at once."""

from __future__ import annotations

import os
import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ashpath.config import validation as check
from ashpath.config.rules import unfit
from ashpath.config.schema import Configuration, Secret
from ashpath.config.validation import MOST, ConfigurationFault, named

LARGEST = 64 << 20  # bytes of a file
LONGEST_SECRET = 4096  # characters


class InvalidConfigurationError(ValueError):
    """A file that cannot be used; `lines` say what is wrong, each with file, line and key."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__(lines[0] + (f" (and {len(lines) - 1} more)" if len(lines) > 1 else ""))
        self.lines = lines


def read(path: Path) -> Configuration:
    """The plan of a file; raises Unusable."""
    found: Configuration = read_as(path, Configuration, unfit)
    return found


def content(path: Path) -> bytes:
    try:
        with path.open("rb") as file:
            data = file.read(LARGEST + 1)
    except (OSError, ValueError) as error:
        raise InvalidConfigurationError([f"{path}: {getattr(error, 'strerror', None) or error}"]) from None
    if len(data) > LARGEST:
        raise InvalidConfigurationError([f"{path}: longer than {LARGEST >> 20} MiB"])
    return data


def read_as(path: Path, shape: type, unfit: Callable[[Any], list[ConfigurationFault]]) -> Any:
    """What a file of some shape says; `unfit` names what does not go together. Raises Unusable."""
    data = content(path)
    made, faults = check.make(shape, document(path, data))
    if not faults:
        faults = unfit(made)
    if faults:
        raise InvalidConfigurationError(lines(path, data, faults))
    return made


def document(path: Path, data: bytes) -> dict[str, Any]:
    """The tables of the file, whatever they are."""
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise InvalidConfigurationError(
            [f"{path}:{line}: byte {error.start} is not UTF-8, which TOML is"]
        ) from None
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        place = re.search(r" \(at line ([0-9]+), column ([0-9]+)\)$", str(error))
        line = int(place[1]) if place else text.rstrip("\n").count("\n") + 1
        words = re.sub(r" \(at [^)]*\)$", "", str(error))
        raise InvalidConfigurationError(
            [f"{path}:{line}: not TOML: {check.shorten(ascii(words)[1:-1])}"]
        ) from None
    except (ValueError, RecursionError, OverflowError) as error:
        from ashpath.config.positions import suspect

        words = "tables or lists too deep" if isinstance(error, RecursionError) else str(error)
        raise InvalidConfigurationError(
            [f"{path}:{suspect(text)}: not TOML: {check.shorten(words)}"]
        ) from None


def lines(path: Path, data: bytes, faults: list[ConfigurationFault]) -> list[str]:
    from ashpath.config.positions import Places

    places = Places(data)
    rows = [
        f"{path}:{places.line(fault.path)}: {named(fault.path) or 'the file'}: "
        f"found {fault.found}, expected {fault.expected}"
        for fault in faults[:MOST]
    ]
    return rows + ([f"{path}: {len(faults) - MOST} more"] if len(faults) > MOST else [])


def secret(path: Path, key: str, where: Secret) -> bytes:
    """The secret itself; raises Unusable, without a word of what was read."""
    try:
        if where.env:
            text = os.environ[where.env]
        else:
            text = (path.parent / where.file).read_text("ascii").rstrip("\r\n")
    except KeyError:
        raise InvalidConfigurationError(
            [f"{path}: {key}: the environment has no {check.shorten(where.env)}"]
        ) from None
    except UnicodeDecodeError:
        raise InvalidConfigurationError(
            [f"{path}: {key}: found something else, expected printable ASCII"]
        ) from None
    except (OSError, ValueError) as error:
        name = check.shorten(where.file)
        raise InvalidConfigurationError(
            [f"{path}: {key}: {name}: {getattr(error, 'strerror', None) or error}"]
        ) from None
    if not 0 < len(text) <= LONGEST_SECRET or not text.isascii() or not text.isprintable():
        raise InvalidConfigurationError([f"{path}: {key}: found something else, expected printable ASCII"])
    return text.encode()


def secrets(path: Path, plan: Configuration) -> tuple[bytes, dict[int, bytes]]:
    """What notices and calls are sent with; empty where none is named."""
    notices = plan.notices.authorization
    calls = {
        number: secret(path, f"destinations.{number}.authorization", destination.authorization)
        for number, destination in plan.destinations.items()
        if destination.authorization is not None
    }
    return secret(path, "notices.authorization", notices) if notices else b"", calls

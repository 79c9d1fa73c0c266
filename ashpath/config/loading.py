"""Reads the sender's file, and the secrets that it points to. All faults of a file are reported together."""

from __future__ import annotations

import os
import re
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from ashpath.config.constraints import find_conflicts
from ashpath.config.errors import InvalidConfigurationError, InvalidDocumentError
from ashpath.config.faults import ConfigurationFault, format_path, shorten
from ashpath.config.schema import Configuration
from ashpath.config.schema_types import Secret
from ashpath.config.validation import validate

MAX_FILE_BYTES = 64 << 20
MAX_SECRET_LENGTH = 4096  # characters
MAX_FAULTS = 200  # faults shown; the last line counts the others
INVALID_SECRET = "found something else, expected printable ASCII"
TOML_POSITION = re.compile(r" \(at line ([0-9]+), column [0-9]+\)$")

StructType = TypeVar("StructType", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class Credentials:
    """The values of the header Authorization for notifications and for calls."""

    notifications: bytes
    """Empty if the file names none."""
    destinations: dict[int, bytes]
    """By destination number."""


def read_configuration(path: Path) -> Configuration:
    """Returns the configuration in a sender's file. Raises InvalidConfigurationError."""
    return read_and_validate(path, Configuration, find_conflicts)


def read_and_validate(
    path: Path,
    struct_type: type[StructType],
    find_faults: Callable[[StructType], Sequence[ConfigurationFault]],
) -> StructType:
    """Returns the contents of a file as the given struct; `find_faults` checks constraints between keys.

    Raises InvalidConfigurationError.
    """
    data = read_bytes(path)
    document = parse_toml(path, data)
    try:
        configuration = validate(struct_type, document)
    except InvalidDocumentError as error:
        raise InvalidConfigurationError(fault_lines(path, data, error.faults)) from error
    faults = find_faults(configuration)
    if faults:
        raise InvalidConfigurationError(fault_lines(path, data, faults))
    return configuration


def read_document(path: Path) -> dict[str, Any]:
    """Returns the tables of a file without validation. Raises InvalidConfigurationError."""
    return parse_toml(path, read_bytes(path))


def read_bytes(path: Path) -> bytes:
    """Returns the contents of a file of at most MAX_FILE_BYTES. Raises InvalidConfigurationError."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        raise InvalidConfigurationError([f"{path}: {error_reason(error)}"]) from error
    if len(data) > MAX_FILE_BYTES:
        raise InvalidConfigurationError([f"{path}: longer than {MAX_FILE_BYTES >> 20} MiB"])
    return data


def parse_toml(path: Path, data: bytes) -> dict[str, Any]:
    """Returns the tables of a TOML text. Raises InvalidConfigurationError."""
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        fault = f"{path}:{line}: byte {error.start} is not UTF-8, which TOML is"
        raise InvalidConfigurationError([fault]) from error
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        position = TOML_POSITION.search(str(error))
        line = int(position[1]) if position else text.rstrip("\n").count("\n") + 1
        problem = ascii(re.sub(r" \(at [^)]*\)$", "", str(error)))[1:-1]
        raise InvalidConfigurationError([f"{path}:{line}: not TOML: {shorten(problem)}"]) from error
    except (ValueError, RecursionError, OverflowError) as error:
        from ashpath.config.positions import longest_line

        problem = "tables or lists nested too deeply" if isinstance(error, RecursionError) else str(error)
        fault = f"{path}:{longest_line(text)}: not TOML: {shorten(problem)}"
        raise InvalidConfigurationError([fault]) from error


def fault_lines(path: Path, data: bytes, faults: Sequence[ConfigurationFault]) -> list[str]:
    """Returns one line of text per fault, with the path of the file and the line number of the fault."""
    from ashpath.config.positions import KeyPositions

    positions = KeyPositions(data)
    lines = [
        f"{path}:{positions.line(fault.path)}: {format_path(fault.path) or 'the file'}: "
        f"found {fault.found}, expected {fault.expected}"
        for fault in faults[:MAX_FAULTS]
    ]
    if len(faults) > MAX_FAULTS:
        lines.append(f"{path}: {len(faults) - MAX_FAULTS} more")
    return lines


def read_credentials(path: Path, configuration: Configuration) -> Credentials:
    """Returns the secrets that a file names. Raises InvalidConfigurationError."""
    notifications = configuration.notifications.authorization
    destinations = {
        number: read_secret(path, f"destinations.{number}.authorization", destination.authorization)
        for number, destination in configuration.destinations.items()
        if destination.authorization is not None
    }
    return Credentials(
        read_secret(path, "notices.authorization", notifications) if notifications else b"", destinations
    )


def read_secret(path: Path, key: str, secret: Secret) -> bytes:
    """Returns a secret. Raises InvalidConfigurationError, whose text contains no part of the secret.

    The error is raised without a cause, as the exception of a decoder holds the bytes that were read.
    """
    try:
        text = secret_text(path, secret)
    except KeyError:
        problem = f"the environment has no {shorten(secret.env)}"
        raise InvalidConfigurationError([f"{path}: {key}: {problem}"]) from None
    except UnicodeDecodeError:
        raise InvalidConfigurationError([f"{path}: {key}: {INVALID_SECRET}"]) from None
    except (OSError, ValueError) as error:
        problem = f"{shorten(secret.file)}: {error_reason(error)}"
        raise InvalidConfigurationError([f"{path}: {key}: {problem}"]) from None
    if not 0 < len(text) <= MAX_SECRET_LENGTH or not text.isascii() or not text.isprintable():
        raise InvalidConfigurationError([f"{path}: {key}: {INVALID_SECRET}"])
    return text.encode()


def secret_text(path: Path, secret: Secret) -> str:
    """Returns the text of the environment variable or file. Raises KeyError if the variable is not set."""
    if secret.env:
        return os.environ[secret.env]
    return (path.parent / secret.file).read_text("ascii").rstrip("\r\n")


def error_reason(error: Exception) -> str:
    """Returns why a file cannot be read, without its path."""
    return getattr(error, "strerror", None) or str(error)

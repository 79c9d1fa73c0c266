"""Loading the sender's file with arbitrary contents: every failure is reported as an error with a line."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from support.configuration import EXAMPLE, TEXT, fault_lines, write_file

from ashpath.config.errors import InvalidConfigurationError
from ashpath.config.loading import read_configuration
from ashpath.config.platform_document import platform_document
from ashpath.core.policy_settings import sender_settings

MALFORMED_FILES = [
    b"",
    b"\xff\xfe",
    b"a = " + b"9" * 5000,
    b"a = " + b"[" * 50_000,
    b"\0",
    b'a = "',
    b"sender = 1",
    b"[tracks]",
    b"[[sender]]\n[[sender]]",
    TEXT.encode().replace(b"[sender]", b"\xef\xbb\xbf[sender]"),
    TEXT.encode() + b'[destinations."7"]\n',
    TEXT.encode() * 2,
]


@pytest.mark.parametrize("data", MALFORMED_FILES, ids=range(len(MALFORMED_FILES)))
def test_malformed_file_is_reported_with_line_numbers(tmp_path: Path, data: bytes) -> None:
    lines = fault_lines(tmp_path, data)
    assert lines
    assert all(re.match(r":[0-9]+: ", line) for line in lines), lines


def test_long_value_is_truncated_in_fault(tmp_path: Path) -> None:
    assert fault_lines(tmp_path, TEXT.replace("8", "9" * 300, 1))[0].count("9") < 60


@pytest.mark.parametrize("path_name", [".", "none", "/dev/null/x"])
def test_path_that_is_no_file_is_rejected(tmp_path: Path, path_name: str) -> None:
    with pytest.raises(InvalidConfigurationError):
        read_configuration(tmp_path / path_name)


INSERTED_BYTES = st.sampled_from(
    [
        b"=",
        b"[",
        b"]",
        b"{",
        b"}",
        b'"',
        b"\n",
        b"#",
        b"'",
        b",",
        b".",
        b"-1",
        b"1e999",
        b"nan",
        b"true",
        b"\xc3",
        b"\x00",
        b"1979-05-27",
        b'"4s"',
        b"[[sender]]",
        b"x = 1",
    ]
)
MUTATIONS = st.lists(
    st.tuples(st.sampled_from(["cut", "put", "double", "drop"]), st.integers(0, 10_000), INSERTED_BYTES),
    min_size=1,
    max_size=4,
)


def apply_mutations(data: bytes, steps: list[tuple[str, int, bytes]]) -> bytes:
    for operation, position, piece in steps:
        at = position % (len(data) + 1)
        line = data.rfind(b"\n", 0, at) + 1
        end = (data.find(b"\n", at) + 1) or len(data)
        if operation == "cut":
            data = data[:at] + data[at + 1 + position % 7 :]
        elif operation == "put":
            data = data[:at] + piece + data[at:]
        elif operation == "double":
            data = data[:end] + data[line:end] + data[end:]
        else:
            data = data[:line] + data[end:]
    return data


@settings(
    max_examples=2000,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
@given(MUTATIONS)
def test_mutated_file_loads_or_names_faulty_line(tmp_path: Path, steps: list[tuple[str, int, bytes]]) -> None:
    """A damaged file either loads, or each line of the error names the file and a line number in it.

    Any other exception would reach users as a traceback.
    """
    path = write_file(tmp_path, apply_mutations(EXAMPLE.read_bytes(), steps))
    try:
        found = read_configuration(path)
    except InvalidConfigurationError as error:
        for line in error.lines:
            assert re.match(rf"{re.escape(str(path))}:[1-9][0-9]*: .", line), line
            assert "\n" not in line
    else:
        # A valid file must also convert to a sender's settings.
        sender_settings(1, platform_document(found, "1")["settings"])


def test_example_file_is_valid() -> None:
    assert list(read_configuration(EXAMPLE).traffic_classes) == ["check-status", "check-result"]

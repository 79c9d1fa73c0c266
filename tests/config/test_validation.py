"""Faults of a file and the exact messages that report them."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest
from support.configuration import TEXT, fault_lines

from ashpath.config.errors import InvalidDocumentError
from ashpath.config.schema import Configuration
from ashpath.config.validation import validate

CASES_TEXT = (Path(__file__).parent / "faulty.txt").read_text()
CASES = re.findall(r"^([^#\s].*?) ~(.*)\n((?:    .+\n)+)", CASES_TEXT, re.M)


def test_case_file_has_enough_cases() -> None:
    assert len(CASES) > 20


@pytest.mark.parametrize(("old", "new", "message"), CASES)
def test_fault_message_matches_exactly(tmp_path: Path, old: str, new: str, message: str) -> None:
    assert TEXT.count(old) >= 1
    found = fault_lines(tmp_path, TEXT.replace(old, new.strip().replace("|", "\n"), 1))
    assert found == [" ".join(message.split())]


def test_valid_file_has_no_faults(tmp_path: Path) -> None:
    assert not fault_lines(tmp_path, TEXT)


def test_all_faults_are_shown_at_once(tmp_path: Path) -> None:
    text = TEXT.replace("slots = 8", "slots = 0").replace('"3MB"', '"3"').replace("payoff", "payof")
    assert [line.split(":")[1] for line in fault_lines(tmp_path, text)] == ["12", "28", "33"]


def test_faults_beyond_maximum_are_counted(tmp_path: Path) -> None:
    text_with_many_faults = TEXT + "".join(f"[destinations.x{n}]\n" for n in range(500))
    lines = fault_lines(tmp_path, text_with_many_faults)
    assert len(lines) == 201
    assert lines[-1].endswith(" more")


def test_document_that_is_no_table_is_rejected() -> None:
    with pytest.raises(InvalidDocumentError):
        validate(Configuration, json.loads("[]"))

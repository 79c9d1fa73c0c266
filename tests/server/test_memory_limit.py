"""A real sender under crowds of clients, at a small memory limit and 1,024 descriptors."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from ashpath.emulator.crowd.measured_client import TIMED_OUT
from ashpath.emulator.crowd.play import CrowdResult, play
from ashpath.emulator.crowd.rig import CrowdRig
from ashpath.emulator.crowd.shapes import CrowdShape
from ashpath.emulator.errors import SenderStartError

MEMORY_MB = 64
MEMORY_BYTES = MEMORY_MB * 1_000_000
DESCRIPTORS = 1024
CLIENTS = 500
CROWD_S = 2.5
CLIENT_OWED_S = 3.0  # by the platform: until an error or a close
SLACK_S = 0.05  # by the protocol: every time limit is longer by this


def crowd_result(
    folder: Path, shape: CrowdShape, clients: int = CLIENTS, memory_mb: int = MEMORY_MB
) -> CrowdResult:
    rig = CrowdRig(folder / "n0", memory_mb, DESCRIPTORS)
    return play(rig, shape, clients, CROWD_S, return_s=0.0)


def test_limit_below_a_sender_is_one_clear_error(tmp_path: Path) -> None:
    """Guards against a start that the platform kills at once, without a word."""
    rig = CrowdRig(tmp_path / "n0", memory_mb=8, descriptors=DESCRIPTORS)
    try:
        with pytest.raises(SenderStartError):
            rig.start()
        assert rig.process is not None
        assert rig.process.wait() == 2
    finally:
        rig.stop()
    line = (tmp_path / "n0" / "log").read_text().strip()
    assert re.fullmatch(
        r"ashpath: cannot start from \S+: memory limit of 8 MB is too small, a sender needs at least \d+ MB",
        line,
    )


@pytest.mark.parametrize(
    "shape",
    [
        CrowdShape.MANY_FIELDS_HALF_BODY,
        CrowdShape.MANY_FIELDS_HALF_HEAD,
        CrowdShape.HALF_BODY,
        CrowdShape.SLOW_BODY,
        CrowdShape.HALF_CHUNKED_BODY,
        CrowdShape.CHUNK_EXTENSIONS,
        CrowdShape.ENDLESS_HEAD,
    ],
)
def test_crowd_does_not_take_sender_over_its_memory_limit(tmp_path: Path, shape: CrowdShape) -> None:
    """Guards against report 8f57f7: a process passes its memory limit under a crowd, and is killed."""
    result = crowd_result(tmp_path, shape)
    assert not result.ended
    assert result.peak_bytes <= MEMORY_BYTES


@pytest.mark.parametrize(
    "shape",
    [CrowdShape.ONE_BYTE_CHUNKS, CrowdShape.PIPELINED, CrowdShape.NEW_NAMES],
)
def test_flood_keeps_no_client_from_its_answer(tmp_path: Path, shape: CrowdShape) -> None:
    """Guards against a few clients at full speed that hold the event loop: others time out, and the flooding
    clients get neither an answer nor a close in the time that they are owed one."""
    result = crowd_result(tmp_path, shape, clients=60)
    assert result.beside.outcomes[TIMED_OUT] == 0
    assert result.crowd.unanswered == 0
    assert result.crowd.longest_wait_s <= CLIENT_OWED_S + SLACK_S


def test_large_messages_that_are_accepted_stay_within_memory_limit(tmp_path: Path) -> None:
    """Guards against messages that no account counts: those that are delivered, and kept until their delivery
    is certain, and the copies that their attempts send."""
    memory_mb = 48
    result = crowd_result(tmp_path, CrowdShape.LARGE_MESSAGES, clients=300, memory_mb=memory_mb)
    assert not result.ended
    assert result.peak_bytes <= memory_mb * 1_000_000
    assert result.beside.outcomes[TIMED_OUT] == 0

"""What binds the other process of a hot upgrade at once."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from ashpath.server.storage.shared_memory import HEAD, WAITS, SharedMemory


def test_the_board_binds_the_other_process_from_its_next_look(tmp_path: Path) -> None:
    """Guards waits heard by one process of a hot upgrade: the other is bound at once, whoever ends how."""
    old, new, late = SharedMemory(tmp_path), SharedMemory(tmp_path), SharedMemory(tmp_path)
    assert not new.changed() and new.own is not None and new.own is not old.own
    old.publish_retry_after(7, "x1", 5_000_000)
    assert new.changed() and new.updates(1_000_000) == ([(7, "x1", 5_000_000)], False)
    assert not new.changed() and not old.changed()
    old.publish_retry_after(7, "x1", 4_000_000)  # shorter than the one told: nothing new
    assert not new.changed()
    old.publish_retry_after(
        8, "e" * 200, 6_000_000
    )  # an id too long for a record: its whole destination waits
    assert (8, "", 6_000_000) in new.updates(5_500_000)[0] and late.updates(5_500_000)[0] == [
        (8, "", 6_000_000)
    ]
    old.publish_detached_change()
    assert new.updates(0)[1] and not new.updates(0)[1]
    for number in range(WAITS + 5):  # a full board: those that end first have given way
        old.publish_retry_after(number, "y", 10_000_000 + number)
    told = new.updates(0)[0]
    assert len(told) == WAITS and {end - 10_000_000 for _, _, end in told} == set(range(5, WAITS + 5))
    assert old.own is not None
    old.own[HEAD.size + 8] ^= 1  # torn: binds nobody
    old.count()
    old.publish_detached_change()
    assert len(new.updates(0)[0]) == WAITS - 1
    old.close()  # as a SIGKILL would: nothing is written at the end
    again = SharedMemory(tmp_path)  # takes the place over, and with it what stood there
    assert len(again.updates(0)[0]) == WAITS - 1 and len(late.updates(0)[0]) == WAITS - 1
    again.publish_retry_after(1, "z", 20_000_000)
    assert (1, "z", 20_000_000) in new.updates(0)[0]
    for board in (new, late, again):
        board.close()
    (tmp_path / "board-0").write_bytes(b"foreign" * 5000)
    assert SharedMemory(tmp_path, 1).updates(0) == ([], False)
    with pytest.MonkeyPatch.context() as patch:  # a full disk: no place, no crash, and it still looks
        patch.setattr(os, "posix_fallocate", lambda *_: (_ for _ in ()).throw(OSError(28, "no space")))
        (tmp_path / "fresh").mkdir()
        none = SharedMemory(tmp_path / "fresh")
        none.publish_retry_after(1, "a", 9)
        assert none.own is None and none.updates(0) == ([], False)

"""The write-ahead log: torn records, adoption, the shared disk."""

from __future__ import annotations

import os
from pathlib import Path

from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog


def test_ledger_torn(tmp_path: Path) -> None:
    """Whatever byte the file ends at, what is whole before it counts, and records go on behind it."""
    ledger = WriteAheadLog(tmp_path, 1 << 20)
    one, two = (
        StoredMessage(
            n,
            f"t{n}",
            0,
            1,
            5,
            "tag",
            7,
            b"a\nb\x00",
        )
        for n in (1, 2)
    )
    assert ledger.record_submitted(one) and ledger.record_submitted(two)
    before = ledger.file.written
    ledger.record_attempt(two, 77, "e1")
    ledger.record_outcome(two, may_have_run=True)
    ledger.close()
    whole = (tmp_path / "journal").read_bytes()
    for end in range(before, len(whole)):
        (tmp_path / "journal").write_bytes(whole[:end] + b"\x00" * (end % 3))
        (tmp_path / "journal.new").write_bytes(b"left by a kill")
        again = WriteAheadLog(tmp_path, 1 << 20)
        assert [e.trace_id for e in again.live.values()] == ["t1", "t2"] and again.live[1].body == b"a\nb\x00"
        assert again.live[2].first_run_at is None and not (tmp_path / "journal.new").exists()
        again.record_finished(again.live[1])
        again.close()
        third = WriteAheadLog(tmp_path, 1 << 20)
        assert list(third.live) == [2] and third.last_id == 2
        third.close()
    (tmp_path / "journal").write_bytes(whole)
    last = WriteAheadLog(tmp_path, 1 << 20).live[2]
    assert (last.first_run_at, last.first_run_endpoint, last.in_flight_since, last.attempts) == (
        77,
        "e1",
        None,
        1,
    )


def fill(ledger: WriteAheadLog, prefix: str, count: int = 10**6) -> None:
    for number in range(count):
        taken = StoredMessage(ledger.last_id + 1, f"{prefix}{number}", 0, 3, None, None, 2**40, b"x" * 2000)
        if not ledger.record_submitted(taken):
            return


def test_a_journal_is_adopted_once_its_process_is_gone(tmp_path: Path) -> None:
    old = WriteAheadLog(tmp_path, 1 << 20)
    fill(old, "a", 2)
    new = WriteAheadLog(tmp_path, 1 << 20)  # beside a living one: a journal of its own, and nothing adopted
    assert new.file.path.name == f"journal-{os.getpid()}" and not new.live and new.adopt() == []
    old.record_finished(old.live[1])
    old.close()  # gone: what it held is the new one's, once
    assert [one.trace_id for one in new.adopt()] == ["a1"] and new.adopt() == []
    assert (tmp_path / "journal").read_bytes() == b""
    (tmp_path / "journal-1").write_bytes(new.file.path.read_bytes())  # a kill between adopting and emptying
    assert new.adopt() == [] and len(new.live) == 1
    new.close()
    again = WriteAheadLog(tmp_path, 1 << 20)  # the next start takes the first name and adopts the other
    assert again.file.path.name == "journal" and [one.trace_id for one in again.live.values()] == ["a1"]
    assert not (tmp_path / f"journal-{os.getpid()}").exists()


def test_two_processes_share_the_disk(tmp_path: Path) -> None:
    """Guards the disk limit during an upgrade: each journal alone would take all of it."""
    most = 64 << 10
    old, new = WriteAheadLog(tmp_path, most), None
    fill(old, "o")
    new = WriteAheadLog(tmp_path, most)
    fill(new, "n")
    # At its most a journal takes its records and a fresh copy of what is live beside them.
    assert old.file.written + old.reserved_bytes + new.file.written + new.reserved_bytes <= most
    old.close()
    assert new.adopt() and new.other_logs_bytes == 0  # gone: its envelopes are this one's, and so is the disk

"""The file of traffic class ids that each start and each switch of settings write."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.failing_disk import FOR_GOOD, FailingDisk, failing_calls

from ashpath.server.errors import error_text
from ashpath.server.storage.errors import TrafficClassIdsError, UnknownTrafficClassError
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.traffic_class_ids import FILE_NAME, TrafficClassIds
from ashpath.server.storage.write_ahead_log import WriteAheadLog

CLASSES = [{"name": "a"}, {"name": "b"}]


def test_traffic_classes_outlive_the_process(tmp_path: Path) -> None:
    TrafficClassIds(tmp_path).write(CLASSES)
    assert TrafficClassIds(tmp_path).read() == CLASSES
    assert [path.name for path in tmp_path.iterdir()] == [FILE_NAME]


def test_rows_of_start_are_written_once_the_disk_takes_them(tmp_path: Path) -> None:
    """Nothing is accepted before; the log asks for a repair with each message."""
    ids = TrafficClassIds(tmp_path)
    assert ids.read() == []
    log = WriteAheadLog(tmp_path, 1 << 20)
    log.prerequisite = ids
    message = StoredMessage(1, "a", 0, 1, None, None, 2**60, b"")
    with failing_calls(FailingDisk("replace", "ENOSPC", 0, FOR_GOOD)):
        ids.keep(CLASSES)
        assert ids.needs_repair
        assert not log.record_submitted(message)
    assert log.record_submitted(message)
    assert not ids.needs_repair
    assert ids.read() == CLASSES
    log.close()


def test_message_of_unknown_traffic_class_is_named(tmp_path: Path) -> None:
    log = WriteAheadLog(tmp_path, 1 << 20)
    assert log.record_submitted(StoredMessage(1, "a", 2, 1, None, None, 2**60, b""))
    log.check_traffic_classes(3)
    with pytest.raises(UnknownTrafficClassError, match="message a has traffic class 2"):
        log.check_traffic_classes(2)
    log.close()


@pytest.mark.parametrize("content", [b'{"version": 2, "tracks": []}', b'{"version": 1, "tracks": ["a"]}'])
def test_foreign_file_is_named_in_startup_error(tmp_path: Path, content: bytes) -> None:
    path = tmp_path / FILE_NAME
    path.write_bytes(content)
    with pytest.raises(TrafficClassIdsError) as caught:
        TrafficClassIds(tmp_path).read()
    assert error_text(caught.value) == f"ValueError {path}: not a file of track numbers of this version"

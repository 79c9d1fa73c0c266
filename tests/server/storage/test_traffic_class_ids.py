"""The file of traffic class ids that a switch of settings writes."""

from __future__ import annotations

from pathlib import Path

import pytest

from ashpath.server.errors import error_text
from ashpath.server.storage.errors import TrafficClassIdsError
from ashpath.server.storage.traffic_class_ids import FILE_NAME, TrafficClassIds

CLASSES = [{"name": "a"}, {"name": "b"}]


def test_traffic_classes_outlive_the_process(tmp_path: Path) -> None:
    TrafficClassIds(tmp_path).write(CLASSES)
    assert TrafficClassIds(tmp_path).read() == CLASSES
    assert [path.name for path in tmp_path.iterdir()] == [FILE_NAME]


def test_no_traffic_class_ids_before_switch_or_after_removal(tmp_path: Path) -> None:
    ids = TrafficClassIds(tmp_path)
    assert ids.read() == []
    ids.write(CLASSES)
    ids.remove()
    assert ids.read() == []


@pytest.mark.parametrize("content", [b'{"version": 2, "tracks": []}', b'{"version": 1, "tracks": ["a"]}'])
def test_foreign_file_is_named_in_startup_error(tmp_path: Path, content: bytes) -> None:
    path = tmp_path / FILE_NAME
    path.write_bytes(content)
    with pytest.raises(TrafficClassIdsError) as caught:
        TrafficClassIds(tmp_path).read()
    assert error_text(caught.value) == f"ValueError {path}: not a file of track numbers of this version"

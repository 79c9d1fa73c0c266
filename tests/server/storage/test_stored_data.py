"""The current code reads data that the code of 2026-12-02 stored on disk."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from support.loggers import error_raising_logger
from support.stored_data import FUTURE, MAX_LOG_BYTES, PAST, STORED, copy_of

from ashpath.cli.standalone_deployment import FileConfiguration
from ashpath.server.storage.detached_endpoints import DetachedEndpoints
from ashpath.server.storage.errors import StateDirectoryError
from ashpath.server.storage.outage_store import Outage, OutageStore
from ashpath.server.storage.outcome_store import FinalOutcome, OutcomeStore
from ashpath.server.storage.record_codec import RecordReader
from ashpath.server.storage.shared_memory import MAX_PROCESSES, SharedMemory
from ashpath.server.storage.shared_memory_layout import RetryAfterNotice
from ashpath.server.storage.state_directory import StateDirectory
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.traffic_class_ids import TrafficClassIds
from ashpath.server.storage.write_ahead_log import WriteAheadLog

ALL_BYTES = bytes(range(256))
MAX_KEY = (1 << 48) - 1  # the largest ordering key


def messages_of(name: str, directory: Path) -> list[StoredMessage]:
    """Returns the live messages in their order, as a process finds them at its start."""
    log = WriteAheadLog(copy_of(name, directory), MAX_LOG_BYTES)
    log.close()
    return list(log.messages.live.values())


def fields(message: StoredMessage) -> tuple[Any, ...]:
    return (
        (
            message.message_id,
            message.trace_id,
            message.traffic_class,
            message.destination,
            message.ordering_key,
            message.idempotency_key,
        ),
        (message.deadline, message.body, message.attempts),
        (
            message.first_run_at,
            message.first_run_endpoint,
            message.in_flight_since,
            message.in_flight_endpoint,
        ),
        (message.notice, message.finished),
    )


# Fields of each message: id, trace id, traffic class, destination, ordering key, idempotency key; deadline,
# body, attempts; start and endpoint of the first attempt that may have run, and of the attempt in flight; the
# pending notice, and whether the message is finished.
UNTRIED = (None, "", None, "")
RAN_AND_IN_FLIGHT = (PAST + 5, "e6", PAST + 6, "e6-ü")
LIVE = (None, False)
OWED = '{"id":"p-owed","status":"undeliverable"}'
DEFERRED = '{"id":"p-deferred","status":"deferred","again_ms":500}'
MESSAGES: dict[str, list[tuple[Any, ...]]] = {
    "platform": [
        ((1, "p-waiting", 0, 1, None, None), (FUTURE + 1, b"200", 0), UNTRIED, LIVE),
        ((2, "p-tried", 1, 2, 7, "tag-2"), (FUTURE + 2, b"200", 2), (PAST + 30, "e2-b", None, ""), LIVE),
        ((3, "p-ran", 0, 4, None, None), (FUTURE + 3, b"200", 2), (PAST + 2, "e4", None, ""), LIVE),
        ((4, "p-out", 2, 5, None, None), (FUTURE + 4, b"200", 1), (None, "", PAST + 4, "e5"), LIVE),
        ((5, "p-ran-and-out", 0, 6, None, None), (FUTURE + 5, b"200", 2), RAN_AND_IN_FLIGHT, LIVE),
        ((6, "p-owed", 2, 8, None, None), (FUTURE + 6, b"500", 1), (PAST + 7, "e8", None, ""), (OWED, True)),
        ((8, "p-bytes", 1, 3, 0, 'tag "quoted" \\'), (FUTURE + 8, ALL_BYTES, 0), UNTRIED, LIVE),
        ((9, "p-empty", 1, 3, 0, None), (FUTURE + 9, b"", 0), UNTRIED, LIVE),
        ((10, "p-deferred", 0, 1, None, None), (FUTURE + 10, b"200", 0), UNTRIED, (DEFERRED, True)),
        # Adopted from the process that has ended, with ids that this process assigned after its own.
        (
            (12, "p-orphan-waiting", 1, 3, MAX_KEY, "tag-orphan"),
            (FUTURE + 1, "hé".encode(), 0),
            UNTRIED,
            LIVE,
        ),
        (
            (13, "p-orphan-out", 2, 10, None, None),
            (FUTURE + 2, b"200", 1),
            (None, "", PAST + 20, "e10"),
            LIVE,
        ),
    ],
    "standalone": [
        ((1, "s-waiting", 0, 1, None, None), (FUTURE, b"body", 1), (None, "", PAST + 4, "127.0.0.1:8"), LIVE),
        (
            (2, "s-ran", 1, 2, 7, "tag-2"),
            (FUTURE + 1, ALL_BYTES, 2),
            (PAST + 1, "127.0.0.1:9", None, ""),
            LIVE,
        ),
        ((4, "s-owed", 2, 1, None, None), (FUTURE + 3, b"y", 0), UNTRIED, (OWED.replace("p-", "s-"), True)),
    ],
    "torn": [
        ((1, "t-1", 0, 1, None, None), (FUTURE, b"body 1", 0), UNTRIED, LIVE),
        ((2, "t-2", 0, 2, None, None), (FUTURE, b"body 2", 1), (None, "", PAST, "e2"), LIVE),
        ((3, "t-3", 0, 3, None, None), (FUTURE, b"body 3", 0), UNTRIED, LIVE),
    ],
}
INDEXES = [(name, index) for name, messages in MESSAGES.items() for index in range(len(messages))]


@pytest.mark.parametrize(("name", "index"), INDEXES)
def test_stored_message_is_read_with_every_field(tmp_path: Path, name: str, index: int) -> None:
    assert fields(messages_of(name, tmp_path)[index]) == MESSAGES[name][index]


@pytest.mark.parametrize("name", MESSAGES)
def test_stored_messages_are_read_in_order_of_acceptance(tmp_path: Path, name: str) -> None:
    """Messages that were delivered, and the second copy of a message in both logs, are not among them."""
    assert [message.trace_id for message in messages_of(name, tmp_path)] == [
        row[0][1] for row in MESSAGES[name]
    ]


@pytest.mark.parametrize("name", MESSAGES)
def test_rewritten_log_yields_the_same_messages(tmp_path: Path, name: str) -> None:
    before = messages_of(name, tmp_path)
    reopened = WriteAheadLog(tmp_path / name, MAX_LOG_BYTES)
    reopened.close()
    assert [fields(message) for message in reopened.messages.live.values()] == [
        fields(message) for message in before
    ]


def test_an_adopted_log_is_removed(tmp_path: Path) -> None:
    directory = copy_of("platform", tmp_path)
    assert len(list(directory.glob("journal-*"))) == 2  # the log of the process that has ended, and its lock
    WriteAheadLog(directory, MAX_LOG_BYTES).close()
    assert sorted(path.name for path in directory.glob("journal*")) == ["journal", "journal.lock"]


LAST_RECORDS = ["ended", "shot", "outcome", "ended", "shot"]
RECORDS = {
    "platform": (["taken"] * 8 + ["shot", "outcome", "taken", "ended", "taken", "ended", "ended"], ""),
    "standalone": (["taken"] * 4 + ["shot", "outcome"] * 2 + LAST_RECORDS, ""),
    "torn": (["taken", "taken", "taken", "shot"], "torn: 22 of 27 bytes"),
}


@pytest.mark.parametrize("name", RECORDS)
def test_reader_yields_record_types_and_reports_torn_record(name: str) -> None:
    with (STORED / name / "journal").open("rb") as file:
        reader = RecordReader(file)
        kinds = [record.disk_name for record, _ in reader]
    assert (kinds, reader.fault) == RECORDS[name]


def test_stored_outages_in_force_are_active(tmp_path: Path) -> None:
    """The outage whose slow start has ended is not among them."""
    outages = OutageStore(copy_of("platform", tmp_path), error_raising_logger())
    assert outages.active() == [Outage(20, "", 12.5, None), Outage(21, "e21-é", 0.1, FUTURE)]


def test_slow_start_ends_of_stored_outages_are_read(tmp_path: Path) -> None:
    outages = OutageStore(copy_of("platform", tmp_path), error_raising_logger())
    assert [outage.slow_start_end for outage in outages.outages.values()] == [None, FUTURE, PAST + 1]


def test_stored_detached_endpoints_are_read(tmp_path: Path) -> None:
    assert DetachedEndpoints(copy_of("platform", tmp_path), error_raising_logger()).read() == {
        "e3",
        "e-ü",
        "gone",
    }


def test_stored_traffic_classes_are_read_by_id(tmp_path: Path) -> None:
    common = {"slo": 2000.0, "window": 20000.0, "importance": 1.0}
    free = {"name": "free", "deadline": 30000.0, "repeat": "retryable", "one-at-a-time": False, **common}
    tag = {"name": "tag", "deadline": 30000.0, "repeat": "dedup", "one-at-a-time": True, **common}
    once = {"name": "once", "deadline": 30000.0, "repeat": "fragile", "one-at-a-time": False, **common}
    traffic_classes = TrafficClassIds(copy_of("platform", tmp_path)).read()
    assert traffic_classes == [free, tag, once, {**tag, "deadline": 45000.5}]


NOTICES = [
    RetryAfterNotice(30, "", FUTURE + 1),
    RetryAfterNotice(31, "e31", FUTURE + 2),  # published twice: the later end applies
    RetryAfterNotice(32, "é" * 21 + "x", FUTURE + 3),  # 43 bytes, the longest id
    RetryAfterNotice(33, "", FUTURE + 4),  # a longer id: the notice applies to the destination
    RetryAfterNotice(35, "e35", FUTURE + 5),  # published by the other process
]


def test_stored_shared_memory_notices_are_read(tmp_path: Path) -> None:
    memory = SharedMemory(copy_of("platform", tmp_path), MAX_PROCESSES)
    updates = memory.updates(PAST + 1)
    memory.close()
    assert updates.notices == NOTICES


def test_stored_shared_memory_counters_are_read(tmp_path: Path) -> None:
    """The process that owned the first file published six notices and detached one endpoint."""
    memory = SharedMemory(copy_of("platform", tmp_path), 1)
    memory.close()
    assert (memory.counters.notices, memory.counters.detached_changes) == (6, 1)


def test_stored_imprint_of_same_sender_is_accepted(tmp_path: Path) -> None:
    """Its traffic classes are those of the sender's file, so no traffic class id changes its meaning."""
    directory = StateDirectory(copy_of("standalone", tmp_path), "relay-1")
    directory.close()
    assert (
        directory.traffic_classes
        == FileConfiguration.read(STORED / "sender.toml").sender.settings.document["classes"]
    )
    assert [(row["name"], row["repeat"], row["deadline"]) for row in directory.traffic_classes] == [
        ("free", "retryable", 30000.0),
        ("tag", "dedup", 30000.0),
        ("once", "fragile", 45000.0),
    ]


def test_live_messages_beside_stored_imprint_are_counted(tmp_path: Path) -> None:
    directory = StateDirectory(copy_of("standalone", tmp_path), "relay-1")
    directory.close()
    assert directory.live_messages() == len(MESSAGES["standalone"])


def test_the_imprint_of_another_sender_is_refused(tmp_path: Path) -> None:
    with pytest.raises(StateDirectoryError, match="belongs to sender 'relay-1', not to 'relay-2'"):
        StateDirectory(copy_of("standalone", tmp_path), "relay-2")


OUTCOMES = {
    "s-first": FinalOutcome("completed", FUTURE, 0),
    "s-second": FinalOutcome("undeliverable", FUTURE + 2, 0),  # follows a line that was cut off
    "s-third": FinalOutcome("withdrawn", FUTURE + 3, 0),
    "s-fourth": FinalOutcome("deferred", FUTURE + 4, FUTURE + 900_000),
    "s-fifth": FinalOutcome("completed", FUTURE + 5, 0),
    "s-again": FinalOutcome("completed", FUTURE + 6, 0),  # deferred in the older file, then submitted again
    "s-sixth": FinalOutcome("undeliverable", FUTURE + 7, 0),
}


def test_stored_final_outcomes_are_read(tmp_path: Path) -> None:
    store = OutcomeStore(copy_of("standalone", tmp_path), MAX_LOG_BYTES, 60_000_000, error_raising_logger())
    store.close()
    assert {trace_id: store.get(trace_id) for trace_id in store.trace_ids()} == OUTCOMES
    assert store.trace_ids() == list(OUTCOMES)

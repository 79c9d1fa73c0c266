"""Reads a write-ahead log and reports its content, for `ashpath ledger`. The log is not changed.

The log may belong to a running sender, which may be writing its last record: that record is torn then.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from datetime import UTC, datetime
from pathlib import Path

import orjson
from msgspec import Struct, field

from ashpath.core.json_types import JsonObject
from ashpath.core.time_units import SECOND
from ashpath.server.storage.errors import ForeignRecordError
from ashpath.server.storage.live_messages import LiveMessages
from ashpath.server.storage.log_directory import FIRST_LOG
from ashpath.server.storage.record_codec import RecordReader
from ashpath.server.storage.state_directory import IMPRINT_FILE
from ashpath.server.storage.stored_message import StoredMessage

MAX_DESTINATIONS = 20  # listed by the statistics


class LogContents(Struct):
    """The content of a log, and the first fault in it."""

    path: Path
    traffic_class_names: list[str]
    """Names by traffic class id; empty if they are not known."""
    size: int
    """Bytes of the file."""
    messages: LiveMessages = field(default_factory=LiveMessages)
    records: Counter[str] = field(default_factory=Counter)
    """The number of records of each type, by its name on disk."""
    valid_bytes: int = 0  # offset of the first record that is not valid, or the end of the file
    skipped_bytes: int = 0
    """Bytes skipped between valid records."""
    fault: str = ""
    """The fault of the record at `valid_bytes`; empty if all records are valid."""

    def traffic_class(self, number: int) -> str:
        """Returns the name of the traffic class, or its number if the name is not known."""
        names = self.traffic_class_names
        return names[number] if number < len(names) else str(number)

    def live_messages(self) -> list[StoredMessage]:
        """Returns the live messages in the order in which they were accepted."""
        return list(self.messages.live.values())


def log_path(path: Path) -> Path:
    """Returns the first log of a state directory, or the path itself if it is not a directory."""
    return path / FIRST_LOG if path.is_dir() else path


def read_log(path: Path) -> LogContents:
    """Reads a log. Raises OSError if the log cannot be opened or read."""
    with path.open("rb") as file:
        contents = LogContents(path, read_traffic_class_names(path.parent), file.seek(0, 2))
        file.seek(0)
        reader = RecordReader(file)
        with suppress(ForeignRecordError):  # `reader.fault` has the reason
            for record, size in reader:
                contents.records[record.disk_name] += 1
                contents.messages.apply(record, size)
    contents.valid_bytes = reader.valid_bytes
    contents.fault = reader.fault
    contents.skipped_bytes = reader.skipped_bytes
    return contents


def read_traffic_class_names(directory: Path) -> list[str]:
    """Returns the names by traffic class id from a standalone sender's imprint; [] without a readable one."""
    try:
        rows = orjson.loads((directory / IMPRINT_FILE).read_bytes())["tracks"]
        return [str(row["name"]) for row in rows]
    except (OSError, ValueError, KeyError, TypeError):
        return []


def verification_summary(contents: LogContents) -> str:
    """Returns one line that says whether every record is valid, and otherwise where the first fault is."""
    count = sum(contents.records.values())
    if not contents.fault:
        live = len(contents.messages.live)
        return f"{contents.path}: sound: {count} records, {contents.valid_bytes} bytes, {live} live"
    if contents.skipped_bytes:
        return (
            f"{contents.path}: byte {contents.valid_bytes}: {contents.fault}; "
            f"{contents.skipped_bytes} bytes are passed over, {count} records count"
        )
    rest = contents.size - contents.valid_bytes
    return (
        f"{contents.path}: byte {contents.valid_bytes}: {contents.fault}; "
        f"the {count} records before it count, {rest} bytes from there do not"
    )


def verification(contents: LogContents) -> JsonObject:
    """Returns the fields of the summary for JSON output."""
    return {
        "sound": not contents.fault,
        "byte": contents.valid_bytes,
        "size": contents.size,
        "fault": contents.fault,
    }


def message_rows(contents: LogContents) -> Iterator[JsonObject]:
    """Yields one row for each live message."""
    for message in contents.live_messages():
        yield {
            "number": message.message_id,
            "id": message.trace_id,
            "state": message_state(message),
            "track": contents.traffic_class(message.traffic_class),
            "destination": message.destination,
            "cutoff": format_time(message.deadline),
            "shots": message.attempts,
            "ran_from": format_time(message.first_run_at),
            "ran_to": message.first_run_endpoint or None,
            "out_to": message.in_flight_endpoint or None,
            "bytes": len(message.body),
            "notice": message.notice,
        }


def message_state(message: StoredMessage) -> str:
    """Returns the state under the name that `ashpath ledger` prints."""
    if message.finished:
        return "told"
    return "held" if message.in_flight_since is None else "out"


def format_time(at_us: int | None) -> str | None:
    """Formats a time in microseconds as ISO 8601 in UTC, or as the plain number if no calendar date has it.

    >>> format_time(1_700_000_000_000_000), format_time(10**18), format_time(None)
    ('2023-11-14T22:13:20.000+00:00', '1000000000000000000', None)
    """
    if at_us is None:
        return None
    try:
        return datetime.fromtimestamp(at_us / SECOND, UTC).isoformat(timespec="milliseconds")
    except (ValueError, OverflowError, OSError):
        return str(at_us)


def statistics(contents: LogContents) -> JsonObject:
    """Returns counts of the records and of the live messages."""
    messages = contents.live_messages()
    classes = Counter(contents.traffic_class(message.traffic_class) for message in messages)
    destinations = Counter(message.destination for message in messages)
    return {
        "bytes": contents.size,
        "records": dict(contents.records),
        "live": len(messages),
        "live_bytes": contents.messages.reserved_bytes,
        "last_number": contents.messages.last_id,
        "out": sum(message.in_flight_since is not None for message in messages),
        "may_have_run": sum(message.first_run_at is not None for message in messages),
        "awaiting_notice": sum(message.finished for message in messages),
        "by_track": dict(classes.most_common()),
        "by_destination": {str(n): count for n, count in destinations.most_common(MAX_DESTINATIONS)},
    }

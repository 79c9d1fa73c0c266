"""`ashpath ledger show|verify|stats FOLDER`: reads the journal of a sender that runs or not, and changes
nothing."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import orjson

from ashpath.cli.group import BAD_INPUT, FAILED, OK, Failure
from ashpath.cli.rows import show
from ashpath.server.storage.errors import ForeignRecordError
from ashpath.server.storage.live_messages import LiveMessages
from ashpath.server.storage.record_codec import RecordReader
from ashpath.server.storage.stored_message import StoredMessage


@dataclass
class Account:
    """What a journal says."""

    path: Path
    tracks: list[str]
    size: int
    held: LiveMessages = field(default_factory=LiveMessages)
    records: Counter[str] = field(default_factory=Counter)
    sound: int = 0  # bytes up to which it is
    fault: str = ""

    def track(self, number: int) -> str:
        return self.tracks[number] if number < len(self.tracks) else str(number)


def account(folder: Path) -> Account:
    path = folder / "journal" if folder.is_dir() else folder
    try:
        file = path.open("rb")
    except OSError as error:
        raise Failure(f"{path}: {error.strerror}", BAD_INPUT) from None
    with file:
        found = Account(path, names(path.parent), file.seek(0, 2))
        file.seek(0)
        reader = RecordReader(file)
        with suppress(ForeignRecordError):
            for record, size in reader:
                found.records[record.disk_name] += 1
                found.held.apply(record, size)
        found.sound, found.fault = reader.sound_bytes, reader.fault
    return found


def names(folder: Path) -> list[str]:
    """Of the tracks by number, where the folder has a standalone sender's imprint."""
    try:
        return [str(row["name"]) for row in orjson.loads((folder / "imprint").read_bytes())["tracks"]]
    except (OSError, ValueError, KeyError, TypeError):
        return []


def moment(at: int | None) -> str | None:
    if at is None:
        return None
    try:
        return datetime.fromtimestamp(at / 1e6, UTC).isoformat(timespec="milliseconds")
    except (ValueError, OverflowError, OSError):
        return str(at)


def row(found: Account, entry: StoredMessage) -> dict[str, Any]:
    return {
        "number": entry.message_id,
        "id": entry.trace_id,
        "state": "told" if entry.finished else "out" if entry.in_flight_since is not None else "held",
        "track": found.track(entry.traffic_class),
        "destination": entry.destination,
        "cutoff": moment(entry.deadline),
        "shots": entry.attempts,
        "ran_from": moment(entry.first_run_at),
        "ran_to": entry.first_run_endpoint or None,
        "out_to": entry.in_flight_endpoint or None,
        "bytes": len(entry.body),
        "notice": entry.notice,
    }


def rows(found: Account) -> Iterator[dict[str, Any]]:
    return (row(found, entry) for entry in found.held.live.values())


def warn(found: Account) -> None:
    if found.fault:
        print(f"ashpath: {verdict(found)}", file=sys.stderr)


def verdict(found: Account) -> str:
    count = sum(found.records.values())
    if not found.fault:
        return f"{found.path}: sound: {count} records, {found.sound} bytes, {len(found.held.live)} live"
    behind = found.size - found.sound
    return (
        f"{found.path}: byte {found.sound}: {found.fault}; "
        f"the {count} records before it count, {behind} bytes from there do not"
    )


@click.group()
def command() -> None:
    """Read the ledger in FOLDER, a sender's state folder or its journal. Nothing is changed."""


FOLDER = click.argument("folder", type=click.Path(path_type=Path))
JSON = click.option("--json", "as_json", is_flag=True, help="Lines of JSON.")


@command.command("show")
@FOLDER
@JSON
def show_(folder: Path, as_json: bool) -> int:
    """List the envelopes that it holds, in the order taken on."""
    found = account(folder)
    show(rows(found), as_json)
    warn(found)
    return OK


@command.command()
@FOLDER
@JSON
def verify(folder: Path, as_json: bool) -> int:
    """Say whether every record is whole, and else at which byte the first one that is not stands. Exit code
    0, or 1."""
    found = account(folder)
    told = {"sound": not found.fault, "byte": found.sound, "size": found.size, "fault": found.fault}
    print(orjson.dumps(told).decode() if as_json else verdict(found))
    return FAILED if found.fault else OK


@command.command()
@FOLDER
@JSON
def stats(folder: Path, as_json: bool) -> int:
    """Count its records, and what is live by track and destination."""
    found = account(folder)
    live = found.held.live.values()
    told: dict[str, Any] = {
        "bytes": found.size,
        "records": dict(found.records),
        "live": len(live),
        "live_bytes": found.held.reserved_bytes,
        "last_number": found.held.last_id,
        "out": sum(entry.in_flight_since is not None for entry in live),
        "may_have_run": sum(entry.first_run_at is not None for entry in live),
        "awaiting_notice": sum(entry.finished for entry in live),
        "by_track": dict(Counter(found.track(entry.traffic_class) for entry in live).most_common()),
        "by_destination": {str(n): c for n, c in Counter(e.destination for e in live).most_common(20)},
    }
    if as_json:
        print(orjson.dumps(told).decode())
    else:
        for name, value in told.items():
            words = ", ".join(f"{k} {v}" for k, v in value.items()) if isinstance(value, dict) else value
            print(f"{name}\t{words}")
    warn(found)
    return OK

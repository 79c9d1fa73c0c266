"""Reads batches of events, passes the events to the policy instances, and writes their actions."""

from __future__ import annotations

import sys
from typing import BinaryIO

import orjson

from ashpath.bench_adapter.errors import (
    BenchProtocolError,
    InvalidJsonError,
    MissingClockError,
    UnknownInstanceError,
)
from ashpath.bench_adapter.policy_instance import EndpointLists, PolicyInstance
from ashpath.bench_adapter.wire_names import EventName, Row, endpoint_record
from ashpath.core.time_units import microseconds

EXIT_BAD_INPUT = 2


class BenchAdapter:
    """All policy instances of one process; they share nothing but the endpoint lists, by number."""

    def __init__(self) -> None:
        self.instances: dict[int, PolicyInstance] = {}
        self.endpoint_lists: EndpointLists = {}

    def reply(self, line: bytes) -> bytes:
        """Returns the line of actions for a line of events.

        Raises BenchProtocolError on invalid input, or KeyError, TypeError, ValueError or AttributeError if a
        field is missing or has a wrong type.
        """
        batch = parse_batch(line)
        now = microseconds(batch["wall"])
        replies = []
        for group in batch.get("senders") or ():
            number = group["sender-id"]
            output = self.run_batch(number, now, group.get("items") or [])
            if output:
                replies.append({"sender-id": number, "output": output})
        return orjson.dumps({"senders": replies}, option=orjson.OPT_APPEND_NEWLINE)

    def run_batch(self, number: int, now: int, items: list[Row]) -> list[Row]:
        """Returns the actions of one instance for its events; `now` is in microseconds."""
        instance: PolicyInstance | None = None
        for item in items:
            ((name, body),) = item.items()
            if name == EventName.LIST_REGISTERED:
                self.endpoint_lists[body["sheet"]] = [endpoint_record(row) for row in body["rows-in"]]
            elif name == EventName.INSTANCE_STOPPED:
                self.instances.pop(number, None)
                instance = None
            elif name == EventName.INSTANCE_STARTED:
                settings = body.get("facts") or {}
                instance = PolicyInstance(body["init-seed"], settings, self.endpoint_lists)
                self.instances[number] = instance
                instance.begin_batch(now)
            else:
                instance = instance or self._resume(number, now, name)
                instance.handle(name, body)
        return instance.end_batch() if instance is not None else []

    def _resume(self, number: int, now: int, name: str) -> PolicyInstance:
        instance = self.instances.get(number)
        if instance is None:
            raise UnknownInstanceError(number, name)
        instance.begin_batch(now)
        return instance


def parse_batch(line: bytes) -> Row:
    """Parses a batch that has a time. Raises MalformedBatchError."""
    try:
        batch = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise InvalidJsonError(str(error)) from error
    if not isinstance(batch, dict) or not isinstance(batch.get("wall"), int | float):
        raise MissingClockError
    return batch


def run(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers batches until the input ends; returns the exit code of the process."""
    adapter = BenchAdapter()
    for line in source:
        if not line.strip():
            continue
        try:
            sink.write(adapter.reply(line))
        except BenchProtocolError as error:
            print(f"ashpath.bench_adapter: {error}", file=sys.stderr)
            return EXIT_BAD_INPUT
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            print(f"ashpath.bench_adapter: malformed batch: {type(error).__name__} {error}", file=sys.stderr)
            return EXIT_BAD_INPUT
        sink.flush()
    return 0

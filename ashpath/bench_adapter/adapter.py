"""Reads batches of the bench's wire, hands their events to the instances, writes the actions back."""

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
    """All instances of one process; they share nothing but the endpoint lists, which the wire numbers."""

    def __init__(self) -> None:
        self.instances: dict[int, PolicyInstance] = {}
        self.endpoint_lists: EndpointLists = {}

    def reply(self, line: bytes) -> bytes:
        """The line of actions to a line of events. Raises BenchProtocolError, or as a wrong type has it."""
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
        """The actions of one instance on its events, at that time in microseconds."""
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
    """A batch with a clock. Raises MalformedBatchError."""
    try:
        batch = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise InvalidJsonError(str(error)) from error
    if not isinstance(batch, dict) or not isinstance(batch.get("wall"), int | float):
        raise MissingClockError
    return batch


def run(source: BinaryIO, sink: BinaryIO) -> int:
    """Serves batches until the input ends; returns the exit code."""
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

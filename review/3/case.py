"""A hot upgrade under load: both processes together hold more in the lasting folder than the disk limit."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import (
    TERM_TO_KILL_S,
    Answer,
    Call,
    Client,
    Endpoint,
    Platform,
    Record,
    Sender,
    run_case,
)

LIMIT_S = 90.0
DISK_MB = 3
BLOCK = 512  # every file counts in whole blocks of so many bytes
MESSAGES_PER_S = 100
BODY = os.urandom(10 << 10)
WORK_S = 0.1
ENDPOINTS = 20
HANGING = 20  # one of twenty endpoints hangs
HANGING_SHARE = 200  # each message of this number goes there
HANGING_S = 60.0
BEFORE_S = 6.0
AFTER_S = 12.0
START_BYTES = range(450_000, 550_000)  # the upgrade starts when the folder holds so many
CUT_OFF_MS = 16000
LOOK_S = 0.005
LOOKS_A_LINE = 100


def settings() -> dict[str, object]:
    """Returns settings like those of the site, for a deployment of one sender."""
    return {
        "classes": [
            {
                "name": "check-result",
                "deadline": 20000.0,
                "slo": 4000.0,
                "repeat": "dedup",
                "window": 5000.0,
                "group": "all",
                "importance": 1.0,
                "late-worth": 0.3,
            },
            {
                "name": "check-status",
                "deadline": 16000.0,
                "slo": 4000.0,
                "repeat": "retryable",
                "importance": 3.0,
                "late-worth": 0.3,
            },
        ],
        "contract": {
            "drain-grace": 1000.0,
            "fall-multiple": 2.0,
            "fall": 3000.0,
            "cold-from": 0.18,
            "ramp-time": 11000.0,
        },
        "group-size": 1,
        "rank": 0,
        "kinds": ["plain"],
        "zones": ["hall-a"],
        "limits": {
            "cancelling": True,
            "conn-idle": 5000.0,
            "connect-timeout": 1000.0,
            "max-attempts": 12,
            "max-open": 435,
            "max-retry-after": 3000.0,
            "retry-after": True,
        },
        "load-info": {"fields": [], "how": "none"},
        "membership-mode": "push",
        "specifics": {"slots": 51, "kind-apart": [False], "per-call": [1], "loses-worth": "halves"},
        "weight-source": "none",
    }


def held(folder: Path) -> int:
    """Returns the bytes of all files of the folder, each in whole blocks."""
    total = 0
    for entry in os.scandir(folder):
        try:
            total += -(-entry.stat().st_size // BLOCK) * BLOCK
        except FileNotFoundError:
            continue
    return total


async def watch(sender: Sender, record: Record, sizes: list[int], limit: int) -> None:
    """Measures the folder until it is cancelled; writes each new maximum of a tenth of a megabyte."""
    while True:
        size = held(sender.state)
        if len(sizes) % LOOKS_A_LINE == 0 or (size > limit and size > max(sizes)):
            files = {path.name: path.stat().st_size for path in sender.state.iterdir() if path.exists()}
            record.add("folder", bytes=size, over=size > limit, files=files)
        sizes.append(size)
        await asyncio.sleep(LOOK_S)


async def hand_in_all(client: Client, until: float, record: Record) -> None:
    """Hands in messages at a steady rate, a small part to the destination that hangs."""
    number = 0
    pending: set[asyncio.Task[object]] = set()
    while record.now() < until:
        number += 1
        destination = HANGING if number % HANGING_SHARE == 0 else 1 + number % (ENDPOINTS - 1)
        task: asyncio.Task[object] = asyncio.create_task(
            client.hand_in("check-status", destination, CUT_OFF_MS, body=BODY)
        )
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / MESSAGES_PER_S)
    await asyncio.gather(*pending)


async def case(record: Record, folder: Path, trouble: bool) -> int:
    """Returns 1 if the lasting folder held more than the limit at any time."""

    async def work(call: Call) -> Answer:
        await asyncio.sleep(HANGING_S if call.endpoint == f"s-{HANGING}" else WORK_S)
        return 200, {}

    platform = Platform(record)
    endpoints = [Endpoint(f"s-{number}", number, record, work) for number in range(1, ENDPOINTS + 1)]
    await platform.start()
    for endpoint in endpoints:
        await endpoint.start()
    platform.tell(*(endpoint.member() for endpoint in endpoints))
    sender = Sender("n1", folder, platform, record)
    sender.hold_listener()
    sizes: list[int] = []
    limit = DISK_MB << 20
    record.add("rule", disk_mb=DISK_MB, limit=limit, text="every file counts in whole 512 bytes")
    try:
        sender.configure(settings(), disk_mb=DISK_MB)
        if not await sender.start():
            return 2
        client = Client(sender, record)
        watching = asyncio.create_task(watch(sender, record, sizes, limit))
        until = record.now() + BEFORE_S + AFTER_S
        clients = asyncio.create_task(hand_in_all(client, until, record))
        await asyncio.sleep(BEFORE_S)
        if trouble:
            while held(sender.state) not in START_BYTES:
                await asyncio.sleep(LOOK_S)
            if not await sender.upgrade():
                return 2
            await asyncio.sleep(TERM_TO_KILL_S)
            old = sender.older[-1]
            record.add("old-process", ended=old.poll() is not None)
            if old.poll() is None:
                old.kill()
        await clients
        watching.cancel()
    finally:
        sender.end()
    statuses: dict[int, int] = {}
    for message in client.messages.values():
        statuses[message.status] = statuses.get(message.status, 0) + 1
    record.add("judged", most=max(sizes), limit=limit, answers=statuses)
    return 1 if max(sizes) > limit else 0


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent, LIMIT_S))

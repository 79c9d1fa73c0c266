"""Runs the bench adapter as a process and exchanges batches over its standard streams."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

import pytest

CLASS = {"deadline": 9000.0, "importance": 1.0, "repeat": "retryable", "slo": 2000.0}
FACTS = {"classes": [CLASS], "specifics": {"slots": 4, "per-call": None}, "something-new": {"x": 1}}
ROWS = [{"endpoint": f"e{i}:1", "cell": i % 2, "hw": 0, "availability": "IN", "heft": 1} for i in range(4)]


def batches(numbers: list[int]) -> list[bytes]:
    def batch(clock: float, *items: Mapping[str, object]) -> bytes:
        groups = [{"sender-id": n, "items": list(items)} for n in numbers]
        return json.dumps({"wall": clock, "senders": groups}).encode() + b"\n"

    hello = {"Hello": {"init-seed": 5, "facts": FACTS}}
    listed = {"BackendsChanged": {"sheet": 0, "index": 1, "kind": "cached"}}
    job = {"priority": 0, "key": None, "ttl": 9000.0}
    jobs = [{"JobIn": {**job, "rid": i, "addressee-no": i % 2}} for i in range(6)]
    end = {"go": 0, "outcome": "Ok", "remark-ms": None, "delay-seen": 7.25, "complete": True, "stats": None}
    done = [{"Returned": {**end, "rid": i, "endpoint": f"e{i}:1"}} for i in range(2)]
    sheet, shorter = ({"Register": {"sheet": 0, "rows-in": rows}} for rows in (ROWS, ROWS[:2]))
    return [
        batch(1.5, hello, sheet, listed, *jobs),
        batch(8.75, *done, {"Gone": {"rid": 77}}, {"Wake": {"ref": "r"}}),
        batch(9.0, {"PowerOff": {}}, hello, shorter, listed, *jobs[:1]),
    ]


def run_adapter(lines: list[bytes], seed: str = "0") -> tuple[int, list[dict[str, object]], str]:
    command = [sys.executable, "-m", "ashpath.bench_adapter"]
    root = Path(__file__).parents[2]
    run = subprocess.run(
        command, input=b"".join(lines), capture_output=True, cwd=root, env={"PYTHONHASHSEED": seed}
    )
    return run.returncode, [json.loads(line) for line in run.stdout.splitlines()], run.stderr.decode()


def test_replies_do_not_depend_on_hash_seed_or_other_instances() -> None:
    code, replies, _ = run_adapter(batches([1, 2]))
    assert code == 0
    assert len(replies) == 3
    assert "CallOut" in str(replies[0])
    assert "BailOut" not in str(replies)
    assert run_adapter(batches([1, 2]), "77")[1] == replies
    apart = [run_adapter(batches([n]))[1] for n in (1, 2)]
    for reply, one, two in zip(replies, *apart, strict=True):
        assert reply["senders"] == [*one["senders"], *two["senders"]]


BAD_INPUT = {
    "input line is not valid JSON": b"{nonsense\n",
    "batch has no clock: field 'wall'": b'{"senders":[]}\n',
    "instance 3 is not running, but got event 'Wake'": (
        b'{"wall":1,"senders":[{"sender-id":3,"items":[{"Wake":{"ref":"x"}}]}]}\n'
    ),
    "unknown event name 'Odd'": batches([1])[0][:-5] + b',{"Odd":{}}]}]}\n',
}


def second_batch(item: Mapping[str, object]) -> bytes:
    """Returns a batch that starts an instance, and a second batch with one event."""
    event = {"wall": 2, "senders": [{"sender-id": 1, "items": [item]}]}
    return batches([1])[0] + json.dumps(event).encode() + b"\n"


BAD_INPUT |= {
    "malformed event: KeyError 'ttl'": second_batch({"JobIn": {"rid": 1}}),
    "malformed event: KeyError 'Nope'": second_batch({"Returned": {"rid": 1, "outcome": "Nope"}}),
    "malformed event: ValueError": second_batch({"Memo": {"contents": "zz"}}),
    "malformed batch: KeyError 'endpoint'": second_batch({"Register": {"sheet": 1, "rows-in": [{}]}}),
}


@pytest.mark.parametrize("error_text", BAD_INPUT)
def test_bad_input_is_named_in_one_line(error_text: str) -> None:
    code, _, errors = run_adapter([BAD_INPUT[error_text]])
    assert code != 0
    assert error_text in errors
    assert len(errors.splitlines()) == 1


def test_policy_exception_stops_only_its_own_instance() -> None:
    """Guards against an exception of one instance's policy that ends the process, and with it all instances.

    The message has an unknown traffic class, so that the policy raises an exception.
    """
    job = {"rid": 1, "addressee-no": 0, "priority": 9, "key": None, "ttl": 5}
    code, replies, _ = run_adapter([second_batch({"JobIn": job}), *batches([2])[:1]])
    assert code == 0
    assert "BailOut" in str(replies[1])
    assert "CallOut" in str(replies[2])

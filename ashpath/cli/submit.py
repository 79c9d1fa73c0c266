"""`ashpath hand-in`."""

from __future__ import annotations

import sys
import time
import uuid
from pathlib import Path
from typing import Any

import click
import orjson

from ashpath.cli.group import ABORTED, BOUNCED, FAILED, OK, Failure
from ashpath.cli.status_client import Client, Unreachable
from ashpath.config.units import TIMES, parse_amount, parse_name

LOOK = 0.05  # seconds to the first look at how it stands; doubled up to
LOOK_MOST = 0.5
BEYOND = 5.0  # seconds past its time in which the sender may be starting anew


class Time(click.ParamType[int]):
    name = "duration"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        try:
            return value if isinstance(value, int) else parse_amount(value, TIMES)
        except ValueError:
            self.fail(f'found {value!r}, expected a duration such as "16s"', param, ctx)


@click.command()
@click.option("--to", "destination", required=True, type=click.IntRange(0), help="The destination's number.")
@click.option("--track", required=True, help="The track's name.")
@click.option("--key", help="The key by which a repeat is recognised. Tagged tracks: drawn if not given.")
@click.option("--order", help="Envelopes of an ordered track with the same ORDER go one at a time.")
@click.option("--expires", type=Time(), default="16s", show_default=True, help="How long it may be tried.")
@click.option("--body", type=click.Path(allow_dash=True), help="A file, or - for standard input.")
@click.option("--id", "id_", help="Its id; drawn if not given.")
@click.option("--wait", is_flag=True, help="Follow it to its end (standalone senders).")
@click.option("--json", "as_json", is_flag=True, help="The answer as a line of JSON.")
@click.option("--url", default="http://127.0.0.1:7070", envvar="ASHPATH_URL", show_default=True)
def command(
    destination: int,
    track: str,
    key: str | None,
    order: str | None,
    expires: int,
    body: str | None,
    id_: str | None,
    wait: bool,
    as_json: bool,
    url: str,
) -> int:
    """Hand in one envelope. Exit code 0: taken on, or with --wait completed; 3: bounced; 4: aborted."""
    id_ = id_ or uuid.uuid4().hex
    for name, value in (("--id", id_), ("--track", track), ("--key", key), ("--order", order)):
        if value is not None:
            try:
                parse_name(value)
            except ValueError:
                words = f"{name}: found {value!a}, expected 1 to 64 printable characters"
                raise click.UsageError(words) from None
    data = content(body)
    headers = {
        "X-Trace-Id": id_,
        "X-Qos": track,
        "X-Expires-In-Ms": str(max(1, expires // 1000)),
        "X-Route-To": f"dest={destination}",
        "Idempotency-Key": key or uuid.uuid4().hex,
        **({"Cookie": f"about={order}"} if order else {}),
    }
    client = Client(url)
    status, come_back = client.hand_in(headers, data)
    told: dict[str, Any] = {"id": id_, "status": status}
    if status in (200, 202):
        told |= follow(client, id_, expires / 1e6) if wait else {"state": "taken on"}
    elif status in (429, 503):
        told |= {"state": "bounced", "again_ms": come_back and round(come_back * 1000)}
    elif status == 500:
        told |= {"state": "aborted"}
    else:
        raise Failure(f"{url}: not taken on: status {status}, {REASONS.get(status, 'not an envelope')}")
    print(orjson.dumps(told).decode() if as_json else line(told))
    return CODES.get(told["state"], OK)


REASONS = {409: "an envelope with this id is held", 413: "the body is too long", 400: "see --track and --key"}
CODES = {
    "bounced": BOUNCED,
    "deferred": BOUNCED,
    "aborted": ABORTED,
    "undeliverable": ABORTED,
    "unknown": FAILED,
}


def content(body: str | None) -> bytes:
    if body is None:
        return b""
    try:
        return sys.stdin.buffer.read() if body == "-" else Path(body).read_bytes()
    except (OSError, ValueError) as error:
        raise click.UsageError(f"--body {body}: {getattr(error, 'strerror', None) or error}") from None


def follow(client: Client, id_: str, expires: float) -> dict[str, Any]:
    """Its end. A sender that does not answer may be starting anew: it is asked until the time is over."""
    until, pause = time.monotonic() + expires + BEYOND, LOOK
    while time.monotonic() < until:
        time.sleep(pause)
        pause = min(2 * pause, LOOK_MOST)
        try:
            found = client.envelope(id_)
        except Unreachable:
            continue
        if found is None:
            return {"state": "unknown"}
        if found["state"] not in ("held", "out"):
            return found
    return {"state": "unknown"}


def line(told: dict[str, Any]) -> str:
    """
    >>> line({"id": "9b1f", "status": 503, "state": "bounced", "again_ms": 500})
    '9b1f bounced, come back in 0.5 s'
    """
    again = told.get("again_ms")
    return f"{told['id']} {told['state']}" + (f", come back in {again / 1000:g} s" if again else "")

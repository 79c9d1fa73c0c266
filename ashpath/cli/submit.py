"""`ashpath submit`."""

from __future__ import annotations

import sys
import uuid
from pathlib import Path

import click

from ashpath.cli.exit_codes import ExitCode
from ashpath.cli.options import DurationType, url_option
from ashpath.cli.output import print_json
from ashpath.cli.status_client import StatusClient
from ashpath.cli.submission import Submission, submit_message
from ashpath.config.units import parse_name
from ashpath.core.json_types import JsonObject

EXIT_CODES = {
    "bounced": ExitCode.REJECTED,
    "deferred": ExitCode.REJECTED,
    "aborted": ExitCode.MESSAGE_FAILED,
    "undeliverable": ExitCode.MESSAGE_FAILED,
    "unknown": ExitCode.FAILED,
}
"""Exit codes by the state of the message; any other state is a success."""


@click.command()
@click.option("--to", "destination", required=True, type=click.IntRange(0), help="The destination's number.")
@click.option("--track", "traffic_class", required=True, help="The traffic class's name.")
@click.option("--key", help="The idempotency key, by which a retry is recognized; generated if not given.")
@click.option("--order", help="Messages of an ordered traffic class with the same ORDER go one at a time.")
@click.option(
    "--expires", type=DurationType(), default="16s", show_default=True, help="The time until its deadline."
)
@click.option("--body", type=click.Path(allow_dash=True), help="A file, or - for standard input.")
@click.option("--id", "trace_id", help="The message's id; generated if not given.")
@click.option("--wait", is_flag=True, help="Wait for its final outcome (standalone senders only).")
@click.option("--json", "as_json", is_flag=True, help="Print the response as a line of JSON.")
@url_option
def command(
    destination: int,
    traffic_class: str,
    key: str | None,
    order: str | None,
    expires: int,
    body: str | None,
    trace_id: str | None,
    wait: bool,
    as_json: bool,
    url: str,
) -> int:
    """Submit one message. Exit code 0: accepted, or with --wait delivered; 3: rejected; 4: failed."""
    trace_id = trace_id or uuid.uuid4().hex
    for option, value in (("--id", trace_id), ("--track", traffic_class), ("--key", key), ("--order", order)):
        check_name(option, value)
    submission = Submission(trace_id, destination, traffic_class, key, order, expires, read_body(body))
    row = submit_message(StatusClient(url), submission, wait=wait)
    if as_json:
        print_json(row)
    else:
        print(format_line(row))
    return EXIT_CODES.get(row["state"], ExitCode.OK)


def check_name(option: str, value: str | None) -> None:
    """Raises UsageError if a value cannot be sent in a header."""
    if value is None:
        return
    try:
        parse_name(value)
    except ValueError as error:
        problem = f"{option}: found {value!a}, expected 1 to 64 printable characters"
        raise click.UsageError(problem) from error


def read_body(path: str | None) -> bytes:
    """Returns the body in a file or on standard input. Raises UsageError if it cannot be read."""
    if path is None:
        return b""
    try:
        return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or error
        problem = f"--body {path}: {reason}"
        raise click.UsageError(problem) from error


def format_line(row: JsonObject) -> str:
    """Formats the row for people.

    >>> format_line({"id": "9b1f", "status": 503, "state": "bounced", "again_ms": 500})
    '9b1f bounced, come back in 0.5 s'
    """
    retry_after_ms = row.get("again_ms")
    suffix = f", come back in {retry_after_ms / 1000:g} s" if retry_after_ms else ""
    return f"{row['id']} {row['state']}{suffix}"

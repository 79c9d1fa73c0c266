"""What a response, or its absence, becomes: outcome, Retry-After, load report."""

from __future__ import annotations

import pytest
from support.server import live
from support.world import World, until

from ashpath.core.interface import AttemptOutcome, LoadReport
from ashpath.server.delivery.attempts import Attempt
from ashpath.server.delivery.response_classifier import ResponseClassifier
from ashpath.server.http.messages import HttpResponse
from ashpath.server.storage.stored_message import StoredMessage

# What a call meets, the track, how many calls there are then, and the notice that ends the envelope.
OUTCOMES = """
    200       once 1
    stray     once 1
    line      once 1
    slow      once 1
    500+200   free 2
    500+200   tag  2
    500       once 1 undeliverable
    418       once 1 undeliverable
    429+200   once 2
    503+200   once 2
    egress+200 once 2
    504+200   once 2
    410       once 1
    reset+200 free 2
    reset+200 tag  2
    reset     once 1 undeliverable
    hang      once 1 undeliverable
    refused   free 0 deferred
    refused   once 0 deferred
    hang      free 1 deferred
    hang      tag  1 undeliverable
"""


def test_what_comes_back(world: World) -> None:
    rows = [line.split() for line in OUTCOMES.split("\n") if line.strip()]
    for number, (words, *_) in enumerate(rows):
        if words == "refused":
            world.members[number]["host_port"] = "127.0.0.1:1"
    world.configure()
    world.start()
    for number, (words, track, *_) in enumerate(rows):
        left = 30000 if "200" in words or words == "slow" else 1500
        assert world.hand_in(f"r{number}", track, words.replace("+", " "), number, left) == 202
    for number, (words, track, calls, *end) in enumerate(rows):
        until(lambda n=number, c=int(calls): world.count(f"r{n}") >= c)
        if end:
            until(lambda n=number, end=end: world.told(f"r{n}") == end)
        assert world.count(f"r{number}") == int(calls), (words, track)
        for call in world.calls.get(f"r{number}", ()):
            assert call.headers[b"idempotency-key"] == b"tag-r%d" % number
            assert call.path == b"/hook" and 0 < int(call.headers[b"x-expires-in-ms"]) <= 30000
    until(lambda: not live(world))
    assert len(world.notices) == sum(len(row) > 3 for row in rows)


def test_reports() -> None:
    """A report that cannot be read tells nothing, not that nothing is left."""
    relay, answer = ResponseClassifier(has_load_reports=True), HttpResponse()
    for text, told in (
        (b"TEXT x0=0.5, x1=20", LoadReport(0.5, 20.0)),
        (b"TEXT x0=?, x1=20", None),
        (b"%%", None),
    ):
        answer.headers = {b"endpoint-load-metrics": text}
        assert relay.load_report(answer) == told


@pytest.mark.parametrize("fresh", [True, False])
@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize("status", [503, 429, 500])
def test_a_full_table_of_connections_is_no_limit(fresh: bool, closes: bool, status: int) -> None:
    """Guards a fleet whose idle connections fill the tables of endpoints: they answer the first call of a new
    connection 503 and close it. Taken for a limit, paces fell and gates opened, and nobody gave one back."""
    relay, answer = ResponseClassifier(has_load_reports=True), HttpResponse()
    answer.status, answer.keep_alive = status, not closes
    entry = StoredMessage(1, "t", 0, 1, None, None, 0, b"")
    flight = Attempt(entry, "e1", 0, 0, written=True, new_connection=fresh, response=answer)
    full_table = fresh and closes and status == 503
    told = (
        AttemptOutcome.CONNECTION_TABLE_FULL
        if full_table
        else {500: AttemptOutcome.ERROR}.get(status, AttemptOutcome.OVERLOADED)
    )
    assert relay.classify(flight).outcome is told

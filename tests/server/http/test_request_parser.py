"""Parsing of a request into its message, header by header."""

from __future__ import annotations

import pytest
from support.sender_harness import POLICY_SETTINGS, TRAFFIC_CLASSES, request
from support.sender_parts import read_request

from ashpath.server.http.errors import InvalidRequestError
from ashpath.server.http.request_parser import RequestParser, ordering_key
from ashpath.server.timers import stored_time

VALID = request("t1", "tag", "200", 7, time_left_ms=1500, ordering_key="k")
# The replacement in a valid request (old, new), and the message of the error.
INVALID = {
    (b"X-Qos: tag", b"X-Qos: none"): "invalid request: 'none'",
    (b"X-Qos: tag", b"X-Other: tag"): "invalid request: b'x-qos'",
    (b"1500", b"soon"): "invalid request: b'soon' is not a whole number",
    (b"1500", b"1" * 13): f"invalid request: {b'1' * 13!r} is not a whole number",
    (b"dest=7", b"zone=7"): "invalid request: ",
    (b"dest=7", b"dest=-7"): "invalid request: b'-7' is not a whole number",
    (b"X-Trace-Id: t1", b"X-Trace-Id: \xc3\xa9"): "invalid request: not a printable ASCII token",
    (b"X-Trace-Id: t1", b"X-Trace-Id: " + b"t" * 257): "invalid request: not a printable ASCII token",
    (b"Idempotency-Key", b"Other-Key"): "invalid request: b'idempotency-key'",
    (b"X-Qos: tag", b"X-Qos: tag\r\nX-Qos: tag"): "invalid request: header repeated",
}


@pytest.fixture
def parser() -> RequestParser:
    return RequestParser(POLICY_SETTINGS, {name: number for number, name in enumerate(TRAFFIC_CLASSES)})


def test_valid_request_yields_its_message(parser: RequestParser) -> None:
    before = stored_time()
    message = parser.parse(read_request(VALID))
    assert (message.message_id, message.trace_id, message.traffic_class) == (0, "t1", 1)
    assert (message.destination, message.idempotency_key, message.body) == (7, "tag-t1", b"200")
    assert before + 1_500_000 <= message.deadline <= stored_time() + 1_500_000


def test_time_left_is_bounded_by_the_traffic_class(parser: RequestParser) -> None:
    message = parser.parse(read_request(VALID.replace(b"1500", b"999999999999")))
    assert message.deadline <= stored_time() + POLICY_SETTINGS.traffic_classes[1].deadline


def test_ordering_key_is_the_same_in_every_incarnation(parser: RequestParser) -> None:
    assert parser.parse(read_request(VALID)).ordering_key == ordering_key(b"other=1; about=k")
    assert ordering_key(b"about=k") == 65308162470944
    assert ordering_key(b"about=") is None


@pytest.mark.parametrize(("replaced", "message"), INVALID.items())
def test_invalid_request_raises_reason_with_status_400(
    parser: RequestParser, replaced: tuple[bytes, bytes], message: str
) -> None:
    invalid = read_request(VALID.replace(*replaced))
    with pytest.raises(InvalidRequestError) as raised:
        parser.parse(invalid)
    assert str(raised.value) == message
    assert raised.value.status == 400

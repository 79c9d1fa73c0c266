"""Parses a request into the message that it submits."""

from __future__ import annotations

from hashlib import blake2b

from ashpath.core.interface import PolicySettings, RetrySafety
from ashpath.server import wire_names
from ashpath.server.http.errors import (
    InvalidNumberError,
    InvalidRequestError,
    InvalidTokenError,
    RepeatedHeaderError,
)
from ashpath.server.http.messages import HttpRequest
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.timers import stored_time

UNREPEATABLE_HEADERS = {
    wire_names.TRACE_ID_HEADER,
    wire_names.TRAFFIC_CLASS_HEADER,
    wire_names.TIME_LEFT_HEADER,
    wire_names.DESTINATION_HEADER,
    wire_names.IDEMPOTENCY_KEY_HEADER,
}
DESTINATION_FIELD = b"dest"
MAX_NUMBER_DIGITS = 12
MAX_TOKEN_BYTES = 256
ORDERING_KEY_HASH_BYTES = 6
UNASSIGNED_MESSAGE_ID = 0  # until the message is admitted


def parse_number(text: bytes) -> int:
    """Returns a whole number of at most `MAX_NUMBER_DIGITS` plain digits. Raises InvalidNumberError.

    >>> parse_number(b"1200")
    1200
    >>> parse_number(b"1_200")
    Traceback (most recent call last):
    ashpath.server.http.errors.InvalidNumberError: b'1_200' is not a whole number
    """
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        raise InvalidNumberError(text)
    return int(text)


def parse_token(text: bytes) -> str:
    """Returns an identifier that is forwarded unchanged. Raises InvalidTokenError.

    A token is printable ASCII, and short, as thousands of them are kept in memory.

    >>> parse_token(b"order-7")
    'order-7'
    """
    if not 0 < len(text) <= MAX_TOKEN_BYTES or not text.isascii() or not text.decode("ascii").isprintable():
        raise InvalidTokenError
    return text.decode("ascii")


def parse_destination(text: bytes) -> int:
    """Returns the number of the destination; the other fields of the header are ignored.

    Raises InvalidNumberError, and StopIteration if the field is missing.

    >>> parse_destination(b"zone=2; dest=17")
    17
    """
    fields = (part.strip().partition(b"=") for part in text.split(b";"))
    return parse_number(next(value for name, _, value in fields if name == DESTINATION_FIELD))


def ordering_key(cookies: bytes) -> int | None:
    """Returns the ordering key of a cookie as a number, or None if the cookie has none.

    The number is the key's BLAKE2b hash of 48 bits. Unlike `hash` it is the same in every incarnation, as
    messages outlive the process that accepted them. Two keys with the same number share an ordered queue,
    which only delays their messages.

    >>> ordering_key(b"a=1; about=order-7") == ordering_key(b"about=order-7"), ordering_key(b"a=1")
    (True, None)
    """
    for pair in cookies.split(b";"):
        name, _, value = pair.strip().partition(b"=")
        if name == wire_names.ORDERING_KEY_COOKIE and value:
            return int.from_bytes(blake2b(value, digest_size=ORDERING_KEY_HASH_BYTES).digest(), "big")
    return None


class RequestParser:
    """Parses requests under the current settings, which `apply_settings` replaces."""

    def __init__(self, settings: PolicySettings, traffic_class_ids: dict[str, int]) -> None:
        self.settings = settings
        self.traffic_class_ids = traffic_class_ids  # by name, of the classes that accept messages

    def apply_settings(self, settings: PolicySettings, traffic_class_ids: dict[str, int]) -> None:
        """Applies the settings to requests that are parsed from now on."""
        self.settings = settings
        self.traffic_class_ids = traffic_class_ids

    def parse(self, request: HttpRequest) -> StoredMessage:
        """Returns the message of a request, without a message id.

        Raises InvalidRequestError if a header is missing, repeated or invalid."""
        headers = request.headers
        if request.repeated_headers.keys() & UNREPEATABLE_HEADERS:
            raise RepeatedHeaderError
        try:
            traffic_class = self.traffic_class_ids[headers[wire_names.TRAFFIC_CLASS_HEADER].decode()]
            time_left_ms = parse_number(headers[wire_names.TIME_LEFT_HEADER])
            destination = parse_destination(headers[wire_names.DESTINATION_HEADER])
            trace_id = parse_token(headers[wire_names.TRACE_ID_HEADER])
            idempotency_key = self.idempotency_key(headers, traffic_class)
        except (KeyError, ValueError, StopIteration) as error:
            raise InvalidRequestError(str(error)) from error
        return StoredMessage(
            message_id=UNASSIGNED_MESSAGE_ID,
            trace_id=trace_id,
            traffic_class=traffic_class,
            destination=destination,
            ordering_key=ordering_key(headers.get(wire_names.COOKIE_HEADER, b"")),
            idempotency_key=idempotency_key,
            deadline=stored_time()
            + min(time_left_ms * 1000, self.settings.traffic_classes[traffic_class].deadline),
            body=request.body,
        )

    def idempotency_key(self, headers: dict[bytes, bytes], traffic_class: int) -> str | None:
        """Returns the idempotency key, or None; a deduplicated traffic class requires one.

        Raises KeyError if a required key is missing, and InvalidTokenError."""
        retry_safety = self.settings.traffic_classes[traffic_class].retry_safety
        if retry_safety is RetrySafety.DEDUPLICATED or wire_names.IDEMPOTENCY_KEY_HEADER in headers:
            return parse_token(headers[wire_names.IDEMPOTENCY_KEY_HEADER])
        return None

"""An HTTP client for submitting messages to a sender and for its status API."""

from __future__ import annotations

from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from urllib.parse import quote, urlsplit

import orjson

from ashpath.cli.errors import BadInputError, CommandError, SenderUnreachableError
from ashpath.core.json_types import JsonObject
from ashpath.server.wire_names import (
    DESTINATIONS_PATH,
    MESSAGE_PATH_PREFIX,
    MESSAGES_PATH,
    RETRY_AFTER_HEADER,
    SUBMIT_PATH,
)

RESPONSE_TIMEOUT_S = 5.0
DEFAULT_PORT = 80
STATUS_API_ABSENT = "the sender has no status API; only standalone senders do"
INVALID_URL = "not the URL of a sender, expected http://HOST:PORT"


@dataclass(frozen=True, slots=True)
class StatusResponse:
    """An HTTP response of a sender."""

    status: int
    headers: dict[str, str]
    """Values by lower-case header name."""
    body: bytes

    @property
    def retry_after_s(self) -> float | None:
        """The value of Retry-After in seconds, or None if the header is absent or not a number."""
        try:
            return float(self.headers[RETRY_AFTER_HEADER.decode()])
        except (KeyError, ValueError):
            return None


class StatusClient:
    """A client of the sender at one URL."""

    def __init__(self, url: str) -> None:
        """Raises BadInputError if the URL is not of the form http://HOST:PORT."""
        try:
            parts = urlsplit(url if "://" in url else f"http://{url}")
            host = parts.hostname
            port = parts.port or DEFAULT_PORT
        except ValueError as error:
            raise BadInputError(url, INVALID_URL) from error
        if host is None or parts.scheme != "http" or parts.path not in ("", "/"):
            raise BadInputError(url, INVALID_URL)
        self.url = url
        self.host = host
        self.port = port

    def request(
        self, method: str, path: str, body: bytes | None = None, headers: dict[str, str] | None = None
    ) -> StatusResponse:
        """Sends a request and returns the response. Raises SenderUnreachableError if none arrives."""
        connection = HTTPConnection(self.host, self.port, timeout=RESPONSE_TIMEOUT_S)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            received = {name.lower(): value for name, value in response.getheaders()}
            return StatusResponse(response.status, received, response.read())
        except (OSError, HTTPException) as error:
            reason = getattr(error, "strerror", None) or str(error) or type(error).__name__
            raise SenderUnreachableError(self.url, reason) from error
        finally:
            connection.close()

    def submit(self, headers: dict[str, str], body: bytes) -> StatusResponse:
        """Submits a message. Raises SenderUnreachableError if no response arrives."""
        return self.request("POST", SUBMIT_PATH.decode(), body, headers)

    def message_state(self, trace_id: str) -> JsonObject | None:
        """Returns the state of a message, or None if the response is not 200, as for an unknown message.

        Raises CommandError.
        """
        response = self.request("GET", MESSAGE_PATH_PREFIX.decode() + quote(trace_id, safe=""))
        return self.decode_json(response) if response.status == 200 else None

    def live_messages(self) -> list[JsonObject]:
        """Returns the live messages in the order in which they were accepted. Raises CommandError."""
        return self.list_rows(MESSAGES_PATH, "envelopes")

    def destinations(self) -> list[JsonObject]:
        """Returns the state of every destination. Raises CommandError."""
        return self.list_rows(DESTINATIONS_PATH, "destinations")

    def list_rows(self, path: bytes, rows_key: str) -> list[JsonObject]:
        """Returns all rows of a paginated list. Raises CommandError."""
        rows: list[JsonObject] = []
        after = -1
        while True:
            page = self.decode_json(self.request("GET", f"{path.decode()}?after={after}"))
            rows += page[rows_key]
            if "next" not in page:
                return rows
            after = page["next"]

    def decode_json(self, response: StatusResponse) -> JsonObject:
        """Returns the JSON of a response. Raises CommandError if it is not JSON or the status is not 200."""
        if response.status == 404:
            raise CommandError(self.url, STATUS_API_ABSENT)
        try:
            document: JsonObject = orjson.loads(response.body)
        except ValueError as error:
            problem = f"status {response.status}, response is not JSON"
            raise CommandError(self.url, problem) from error
        if response.status != 200:
            status = f"status {response.status}"
            raise CommandError(self.url, status, document.get("error", ""))
        return document

"""Dispatches client requests by path: submission of a message, readiness, or the status API."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from msgspec import Struct

from ashpath.policy.tuning import DEFAULT_RETRY_AFTER
from ashpath.server import wire_names
from ashpath.server.http.admission import ACCEPTED, Admission
from ashpath.server.http.availability import Availability
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.errors import InvalidRequestError
from ashpath.server.http.messages import HttpRequest
from ashpath.server.storage.stored_message import StoredMessage


class Reply(Struct):
    """A response that is not encoded yet."""

    status: int
    retry_after: int = 0  # microseconds; 0: no Retry-After
    body: bytes = b""
    accepted: StoredMessage | None = None  # the message that a 202 is for


class RequestResponder(Protocol):
    """Serves additional paths, such as those of the status API."""

    def respond(self, request: HttpRequest) -> Reply | None:
        """Returns the response, or None if the path is not served here."""


class RequestHandler:
    """Handles the requests of all clients."""

    def __init__(
        self, admission: Admission, availability: Availability, status_api: RequestResponder | None
    ) -> None:
        self.admission = admission
        self.availability = availability
        self.status_api = status_api

    @property
    def retry_after(self) -> int:
        """Microseconds after which a client may come back that was refused for want of a resource."""
        return min(self.admission.settings.max_retry_after, DEFAULT_RETRY_AFTER)

    def handle(self, request: HttpRequest, connection: HttpConnection) -> Reply:
        """Returns the response to a request. Does not wait."""
        if request.path == wire_names.SUBMIT_PATH:
            return self.submit(request, connection)
        if request.path == wire_names.READINESS_PATH:
            ready = self.availability.ready
            return Reply(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)
        reply = None if self.status_api is None else self.status_api.respond(request)
        return reply or Reply(HTTPStatus.NOT_FOUND)

    def submit(self, request: HttpRequest, connection: HttpConnection) -> Reply:
        """Submits the message that a request carries, and returns the response."""
        if request.method != b"POST":
            return Reply(HTTPStatus.METHOD_NOT_ALLOWED)
        try:
            message = self.admission.parser.parse(request)
        except InvalidRequestError as error:
            return Reply(error.status)
        if self.admission.rejecting_all or connection.closed_by_peer():  # a client that left submits again
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE)
        result = self.admission.admit(message)
        accepted = message if result is ACCEPTED else None
        return Reply(result.status, result.retry_after, accepted=accepted)

    def response_lost(self, reply: Reply) -> None:
        """Reports the disconnect of a client that did not receive the 202 for its accepted message."""
        if reply.accepted is not None:
            self.admission.receiver.client_disconnected(reply.accepted)

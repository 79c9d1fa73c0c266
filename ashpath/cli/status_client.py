"""Asks a sender over HTTP, for the commands that need one."""

from __future__ import annotations

from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import quote, urlsplit

import click
import orjson

from ashpath.cli.group import BAD_INPUT, Failure
from ashpath.server.wire_names import DESTINATIONS_PATH, MESSAGE_PATH_PREFIX, MESSAGES_PATH, SUBMIT_PATH

PATIENCE = 5.0  # seconds for an answer
url = click.option("--url", default="http://127.0.0.1:7070", envvar="ASHPATH_URL", show_default=True)


class Unreachable(Failure):
    """No answer: whether what was asked was done is not known."""


class Client:
    def __init__(self, where: str) -> None:
        try:
            parts = urlsplit(where if "://" in where else f"http://{where}")
            host, port = parts.hostname, parts.port or 80
        except ValueError:
            host, port = None, 0
        if host is None or parts.scheme != "http" or parts.path not in ("", "/"):
            raise Failure(f"{where}: found no address of a sender, expected http://HOST:PORT", BAD_INPUT)
        self.where, self.host, self.port = where, host, port

    def ask(
        self, method: str, path: str, body: bytes | None = None, headers: dict[str, str] | None = None
    ) -> tuple[int, dict[str, str], bytes]:
        """Status, headers in lower case, body."""
        connection = HTTPConnection(self.host, self.port, timeout=PATIENCE)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            told = {name.lower(): value for name, value in answer.getheaders()}
            return answer.status, told, answer.read()
        except (OSError, HTTPException) as error:
            words = getattr(error, "strerror", None) or str(error) or type(error).__name__
            raise Unreachable(f"{self.where}: {words}") from None
        finally:
            connection.close()

    def hand_in(self, headers: dict[str, str], body: bytes) -> tuple[int, float | None]:
        """The status, and after how many seconds to come back, if that is told."""
        status, told, _ = self.ask("POST", SUBMIT_PATH.decode(), body, headers)
        try:
            return status, float(told["retry-after"])
        except (KeyError, ValueError):
            return status, None

    def envelope(self, id_: str) -> dict[str, Any] | None:
        """How it stands; None where the sender does not know it."""
        status, _, body = self.ask("GET", MESSAGE_PATH_PREFIX.decode() + quote(id_, safe=""))
        return self.read(status, body, (200, 404)) if status == 200 else None

    def pages(self, path: bytes, rows: str) -> list[dict[str, Any]]:
        """All rows of a list, page after page."""
        found: list[dict[str, Any]] = []
        after = -1
        while True:
            status, _, body = self.ask("GET", f"{path.decode()}?after={after}")
            told = self.read(status, body, (200,))
            found += told[rows]
            if "next" not in told:
                return found
            after = told["next"]

    def held(self) -> list[dict[str, Any]]:
        return self.pages(MESSAGES_PATH, "envelopes")

    def destinations(self) -> list[dict[str, Any]]:
        return self.pages(DESTINATIONS_PATH, "destinations")

    def read(self, status: int, body: bytes, good: tuple[int, ...]) -> dict[str, Any]:
        if status == 404 and 404 not in good:
            raise Failure(f"{self.where}: a sender of a platform does not list what it holds")
        try:
            told: dict[str, Any] = orjson.loads(body)
        except ValueError:
            raise Failure(f"{self.where}: status {status}, and an answer that is no JSON") from None
        if status not in good:
            raise Failure(f"{self.where}: status {status}: {told.get('error', '')}")
        return told

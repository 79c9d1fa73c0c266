"""The clients of the demonstration: they submit messages, receive notices, and poll open messages."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from time import monotonic

import gevent
import orjson

from ashpath.core.json_types import JsonObject
from ashpath.emulator.demo.destinations import DemoDestination
from ashpath.emulator.errors import RequestError
from ashpath.emulator.final_outcomes import FinalOutcome
from ashpath.emulator.http_client import HttpClient
from ashpath.emulator.notice_receiver import Notice, NoticeReceiver
from ashpath.server import wire_names
from ashpath.server.limits.http import HttpLimits

CLIENT_CONNECTIONS = 20
RESPONSE_TIMEOUT_S = 2.0
IDEMPOTENT_CLASS = "check-status"
DEDUPLICATED_CLASS = "check-result"
DEADLINES_MS = {IDEMPOTENT_CLASS: b"8000", DEDUPLICATED_CLASS: b"10000"}
TRAFFIC_CLASSES = tuple(DEADLINES_MS)
ENDED_STATES = (wire_names.DELIVERED_STATE, wire_names.CANCELLED_STATE)


class DemoClients:
    """Clients of one sender. `open` has the messages without a final outcome, by id."""

    def __init__(
        self,
        address: tuple[str, int],
        destinations: Sequence[DemoDestination],
        limits: HttpLimits,
        random: Random,
        rate: float,
    ) -> None:
        self.open: dict[str, DemoDestination] = {}
        self.submitted = 0
        self.deduplicated: set[str] = set()  # messages for which a second effect is a duplicate
        self._destinations = destinations
        self._random = random
        self._rate = rate  # messages a second
        self._accepted: set[str] = set()
        self._client = HttpClient(address, limits, RESPONSE_TIMEOUT_S, CLIENT_CONNECTIONS)
        self._receiver = NoticeReceiver(self, limits)
        self.notice_address = self._receiver.address

    def stop(self) -> None:
        """Stops receiving notices."""
        self._receiver.stop()

    def submit_for(self, seconds: float) -> None:
        """Submits messages for `seconds`, as a Poisson process that does not wait for earlier messages."""
        at = monotonic()
        until = at + seconds
        number = 0
        shares = [destination.traffic_share for destination in self._destinations]
        while (at := at + self._random.expovariate(self._rate)) < until:
            gevent.sleep(max(0.0, at - monotonic()))
            destination = self._random.choices(self._destinations, shares)[0]
            number += 1
            gevent.spawn(self._submit, number, destination, self._random.choice(TRAFFIC_CLASSES))

    def _submit(self, number: int, destination: DemoDestination, traffic_class: str) -> None:
        """Submits one message. A client without a response leaves the outcome to `poll_open_messages`."""
        message_id = f"demo-{number}"
        self.submitted += 1
        self.open[message_id] = destination
        if traffic_class == DEDUPLICATED_CLASS:
            self.deduplicated.add(message_id)
        headers = (
            (b"X-Trace-Id", message_id.encode()),
            (b"X-Qos", traffic_class.encode()),
            (b"X-Expires-In-Ms", DEADLINES_MS[traffic_class]),
            (b"X-Route-To", b"dest=%d" % destination.number),
            (b"Idempotency-Key", b"key-" + message_id.encode()),
        )
        body = b"%d stage 3" % TRAFFIC_CLASSES.index(traffic_class)
        try:
            response = self._client.request(b"POST %s HTTP/1.1" % wire_names.SUBMIT_PATH, headers, body)
        except RequestError:
            return  # `poll_open_messages` requests the state later
        if response.status in (200, 202):
            self._accepted.add(message_id)
        elif response.status in (429, 503):
            self._record_end(message_id, FinalOutcome.REJECTED.value)
        else:
            self._record_end(message_id, FinalOutcome.FAILED.value)

    def notified(self, notice: Notice) -> None:
        """Handles the notice of a message that the sender accepted but could not deliver."""
        self._record_end(notice.message_id, notice.outcome.value)

    def _record_end(self, message_id: str, state: str) -> None:
        destination = self.open.pop(message_id, None)
        if destination is not None:
            destination.ends[state] += 1

    def poll_open_messages(self) -> None:
        """Requests the state of each open message from the sender."""
        for message_id in list(self.open):
            status, body = self._get(wire_names.MESSAGE_PATH_PREFIX + message_id.encode())
            if status == 404 and message_id not in self._accepted:
                # The client received no response, and the sender did not accept the message.
                self._record_end(message_id, FinalOutcome.REJECTED.value)
            elif status == 200 and orjson.loads(body)["state"] in ENDED_STATES:
                self._record_end(message_id, orjson.loads(body)["state"])

    def destination_states(self) -> dict[int, JsonObject]:
        """Returns the sender's state of each destination, by number; empty if the sender does not respond."""
        status, body = self._get(wire_names.DESTINATIONS_PATH)
        rows = orjson.loads(body)["destinations"] if status == 200 else []
        return {row["number"]: row for row in rows}

    def _get(self, path: bytes) -> tuple[int, bytes]:
        """Returns status and body of the response; the status is 0 if no response came."""
        try:
            response = self._client.request(b"GET %s HTTP/1.1" % path)
        except RequestError:
            return 0, b""
        return response.status, response.body

"""Acts on extra responses: doubts the provisional results of their connection, and distrusts all connections.

The policy decides what is provisional and how long connections are distrusted (`policy/response_trust.py`).
A provisional delivery ends its message like any other. For DELIVERY_DOUBT_TIME an extra response on its
connection still puts it in doubt, and a notice then tells that the message may not have been delivered. The
message stays in memory for that time; a kill within it leaves the message delivered.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

import gevent
from msgspec import Struct

from ashpath.policy.memory_budget import message_cost
from ashpath.policy.response_trust import ResponseTrust, may_be_response
from ashpath.policy.tuning import DELIVERY_DOUBT_TIME
from ashpath.server.delivery.endpoint_connection import EndpointConnection
from ashpath.server.logs import Logger
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.timers import now

CHECK_INTERVAL_S = 0.25


class ResultOwner(Protocol):
    """Receives what becomes of provisional results."""

    def delivery_in_doubt(self, message: StoredMessage) -> None:
        """The message may have been delivered, or not: its response may belong to another request."""

    def refusal_confirmed(self, message: StoredMessage) -> None:
        """The message did not run. Not called if a retry began, or if the message ended, before."""


class ProvisionalDelivery(Struct, frozen=True, eq=False):
    """A delivery whose connection may still show that the response belonged to another request."""

    connection: EndpointConnection
    message: StoredMessage
    owner: ResultOwner
    certain_at: int
    """From then on the next message of the same ordering key may be sent."""
    doubtful_until: int
    """Microseconds of the monotonic clock."""


class ProvisionalRefusal(Struct):
    """A refusal or an error whose connection may still show that it was the response to another request."""

    connection: EndpointConnection
    owner: ResultOwner
    certain_at: int
    """Microseconds of the monotonic clock."""
    may_have_run: bool
    """Whether the response says so: an error, in place of a refusal."""
    in_doubt: bool = False


class ResponseAttribution:
    """The provisional results of one sender, and its reaction to extra responses."""

    def __init__(self, trust: ResponseTrust, logger: Logger) -> None:
        self.trust = trust
        self.logger = logger
        self.extra_responses = 0
        """Number of times that an endpoint sent what may be a response without a request."""
        self.results_in_doubt = 0
        self._refusals: dict[StoredMessage, ProvisionalRefusal] = {}
        self.held_bytes = 0
        """Memory of messages that are delivered, and stay until their delivery is certain."""
        self._deliveries: deque[ProvisionalDelivery] = deque()  # the earliest end of the doubt first

    def add_delivery(
        self,
        connection: EndpointConnection,
        message: StoredMessage,
        owner: ResultOwner,
        response_time: int,
    ) -> None:
        """Adds a provisional delivery, whose response came `response_time` microseconds after its request."""
        time = now()
        certain_at = time + self.trust.hold_time(response_time)
        until = time + DELIVERY_DOUBT_TIME
        self._deliveries.append(ProvisionalDelivery(connection, message, owner, certain_at, until))
        self.held_bytes += held_bytes(message)

    def add_refusal(
        self,
        connection: EndpointConnection,
        message: StoredMessage,
        owner: ResultOwner,
        response_time: int,
        *,
        may_have_run: bool,
    ) -> None:
        """Adds a provisional refusal or error; its message may be sent again once that is certain."""
        certain_at = now() + self.trust.hold_time(response_time)
        self._refusals[message] = ProvisionalRefusal(connection, owner, certain_at, may_have_run)

    def wait_before_retry(self, message: StoredMessage) -> int:
        """Returns the microseconds until the refusal of the message is certain, or known to be in doubt."""
        refusal = self._refusals.get(message)
        return 0 if refusal is None or refusal.in_doubt else max(0, refusal.certain_at - now())

    def take_doubt(self, message: StoredMessage) -> bool:
        """Returns whether the refusal of the message is in doubt, and forgets it."""
        refusal = self._refusals.pop(message, None)
        return refusal is not None and refusal.in_doubt

    def take_uncertain(self, message: StoredMessage) -> bool:
        """Returns whether the refusal of the message is in doubt or not certain yet, and forgets it."""
        refusal = self._refusals.pop(message, None)
        return refusal is not None and (refusal.in_doubt or now() < refusal.certain_at)

    def wait_before_next(self, message: StoredMessage) -> int:
        """Returns the microseconds until no earlier message of the same ordering key is likely to be put in
        doubt: a notice would end it after the begin of this one, out of order."""
        time = now()
        earlier = (one for one in self._deliveries if one.message.ordering_key == message.ordering_key)
        return max((delivery.certain_at - time for delivery in earlier), default=0)

    def check_extra_bytes(self, endpoint_id: str, connection: EndpointConnection) -> bool:
        """Logs unread bytes of a connection that has no request out, which the caller closes.

        Returns True, and doubts what is provisional, if the bytes may be a response."""
        data = connection.unread_bytes()
        if not data:
            return False
        is_response = may_be_response(data)
        self.logger.warning(
            "extra bytes",
            endpoint=endpoint_id,
            connection=connection.number,
            requests=connection.requests,
            trace_id=connection.last_trace_id,
            first_bytes=repr(data),
            is_response=is_response,
        )
        if is_response:
            self.extra_responses += 1
            self.trust.extra_response_received(now())
            self._doubt(connection)
        return is_response

    def _doubt(self, connection: EndpointConnection) -> None:
        for message, refusal in self._refusals.items():
            if refusal.connection is connection:
                refusal.in_doubt = True
                self.results_in_doubt += 1
                self.logger.warning("refusal in doubt", trace_id=message.trace_id)
        doubtful = [delivery for delivery in self._deliveries if delivery.connection is connection]
        for delivery in doubtful:
            self._deliveries.remove(delivery)
            self.held_bytes -= held_bytes(delivery.message)
            self.results_in_doubt += 1
            self.logger.warning("delivery in doubt", trace_id=delivery.message.trace_id)
            delivery.owner.delivery_in_doubt(delivery.message)

    def forget_certain_deliveries(self) -> None:
        """Forgets the deliveries that can no longer be put in doubt."""
        time = now()
        while self._deliveries and self._deliveries[0].doubtful_until <= time:
            self.held_bytes -= held_bytes(self._deliveries.popleft().message)

    def forget_certain_refusals(self) -> None:
        """Forgets the refusals that are certain by now."""
        time = now()
        for message, refusal in list(self._refusals.items()):
            if not refusal.in_doubt and refusal.certain_at <= time:
                del self._refusals[message]
                if not refusal.may_have_run:
                    refusal.owner.refusal_confirmed(message)

    def run(self) -> None:
        """Forgets results as they become certain, until its greenlet is killed."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            self.forget_certain_deliveries()
            self.forget_certain_refusals()


def held_bytes(message: StoredMessage) -> int:
    """Returns the memory of a message that no log counts any more."""
    return message_cost(1, len(message.body))

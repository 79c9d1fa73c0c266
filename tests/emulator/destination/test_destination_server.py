"""A destination's server on loopback records a call as answered only if the caller received the response.

Failure: the process that serves the destination is paused while a caller disconnects. After the pause, the
response is due before the disconnect is read, and the call counts as delivered to a caller that is gone.
"""

from __future__ import annotations

import time
from random import Random

import gevent
import pytest
from gevent import socket
from support.sender_harness import wait_until

from ashpath.core.time_units import SECOND
from ashpath.emulator.destination.calls import DestinationCall
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.destination.properties import DestinationProperties
from ashpath.emulator.destination.server import DestinationServer
from ashpath.emulator.run_clock import RunClock
from ashpath.emulator.stand_ins import STAND_IN_LIMITS
from ashpath.server import wire_names

# Microseconds.
SERVICE_TIME = SECOND // 20
SHORT_SERVICE_TIME = SECOND // 1000
LATENCY = SECOND // 20


class RecordedCalls:
    """Records the calls that arrived, and for each that ended whether it was answered."""

    def __init__(self) -> None:
        self.arrived: list[str] = []
        self.answered: list[bool] = []

    def call_arrived(self, at: int, endpoint: str, message_id: str) -> None:
        self.arrived.append(message_id)

    def call_ended(
        self,
        at: int,
        endpoint: str,
        message_id: str,
        call: DestinationCall,
        arrived_at: int,
        *,
        was_answered: bool,
    ) -> None:
        self.answered.append(was_answered)


@pytest.mark.parametrize(
    ("disconnects_during", "service_time", "latency"),
    [("service", SERVICE_TIME, 0), ("response latency", SHORT_SERVICE_TIME, LATENCY)],
)
def test_call_whose_caller_disconnected_during_pause_is_not_answered(
    disconnects_during: str, service_time: int, latency: int
) -> None:
    """`time.sleep` pauses the whole process, so that the disconnect and the timeout are due at once."""
    properties = DestinationProperties(workers=1, service_times=(service_time,), service_time_sigma=0)
    model = DestinationModel(properties, Random(1), ["e"])
    calls = RecordedCalls()
    server = DestinationServer(model, "e", STAND_IN_LIMITS, RunClock(), calls, latency=lambda: latency)
    try:
        host, port = server.address.split(":")
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(
                b"POST %s HTTP/1.1\r\nHost: e\r\nX-Trace-Id: m\r\nContent-Length: 0\r\n\r\n"
                % wire_names.DELIVERY_PATH
            )
            wait_until(lambda: calls.arrived == ["m"])
            gevent.sleep(latency / 2 / SECOND)
        time.sleep(2 * (SERVICE_TIME + LATENCY) / SECOND)
        wait_until(lambda: bool(calls.answered))
        assert calls.answered == [False], disconnects_during
    finally:
        server.stop()

"""Measures a sender under one crowd: its resident size, and how ordinary requests and the crowd fare."""

from __future__ import annotations

import sys
from time import monotonic

import gevent
import msgspec
from gevent import subprocess
from msgspec import Struct

from ashpath.emulator.crowd.clients import CrowdRecord
from ashpath.emulator.crowd.measured_client import ClientMeasurement, MeasuredClient
from ashpath.emulator.crowd.rig import CrowdRig
from ashpath.emulator.crowd.shapes import CrowdShape
from ashpath.emulator.stand_ins import STAND_IN_LIMITS

REST_S = 0.5  # before the crowd comes
RETURN_S = 10.0  # after the crowd has left, until the resident size is read again
PROBE_S = 0.01
TRAFFIC_CLASS = "free"  # of the rig


class CrowdResult(Struct, frozen=True):
    """What one play measured."""

    shape: CrowdShape
    rest_bytes: int
    """Resident size before the crowd."""
    peak_bytes: int
    """The largest resident size that was seen."""
    returned_bytes: int
    """Resident size `RETURN_S` after the crowd."""
    ended: bool
    """Whether the sender's process ended."""
    crowd: CrowdRecord
    beside: ClientMeasurement
    """The measured client beside the crowd."""


class SizeProbe:
    """Reads the resident size of a sender all the time."""

    def __init__(self, rig: CrowdRig) -> None:
        self.rig = rig
        self.peak_bytes = 0

    def run(self) -> None:
        """Never returns."""
        while True:
            self.peak_bytes = max(self.peak_bytes, self.rig.resident_bytes())
            gevent.sleep(PROBE_S)


def play(
    rig: CrowdRig, shape: CrowdShape, count: int, duration_s: float, return_s: float = RETURN_S
) -> CrowdResult:
    """Starts the rig's sender, plays `count` clients of a shape for `duration_s` seconds, and stops it."""
    rig.start()
    try:
        gevent.sleep(REST_S)
        rest_bytes = rig.resident_bytes()
        probe = SizeProbe(rig)
        probing = gevent.spawn(probe.run)
        port = str(rig.address[1])
        command = [sys.executable, "-m", "ashpath.emulator.crowd.process", port, shape.value]
        crowd = subprocess.Popen(
            [*command, str(count), str(duration_s), TRAFFIC_CLASS], stdout=subprocess.PIPE
        )
        beside = MeasuredClient(rig.address, STAND_IN_LIMITS).run(monotonic() + duration_s)
        output, _ = crowd.communicate()
        gevent.sleep(return_s)
        probing.kill()
        return CrowdResult(
            shape=shape,
            rest_bytes=rest_bytes,
            peak_bytes=probe.peak_bytes,
            returned_bytes=rig.resident_bytes(),
            ended=not rig.is_running,
            crowd=msgspec.json.decode(output, type=CrowdRecord),
            beside=beside,
        )
    finally:
        rig.stop()

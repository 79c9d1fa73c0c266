"""The configuration file of the demonstration's sender, in the form that a user writes."""

from __future__ import annotations

from collections.abc import Iterable

from ashpath.emulator.demo.destinations import SLOW_START_SHARE, DemoDestination

SENDER = """# Written by `ashpath demo`; `ashpath serve` takes it as it is.
[sender]
name = "demo"
listen = "{listen}"
state = "state"
seed = "{seed:x}"

[tracks.check-status]
repeat = "repeatable"
promised = "2s"
cutoff = "8s"
payoff = 3.0

[tracks.check-result]
repeat = "tagged"
window = "5s"
promised = "2s"
cutoff = "10s"

[rules]
reports = true
slots = 64
ramp_time = "{ramp}ms"

[notices]
address = "http://{notices}/v1/notices"

[logging]
level = "info"
"""
DESTINATION = """
[destinations.{number}]
name = "{name}"
endpoints = [{endpoints}]
"""


def sender_file(
    listen: str, notices: str, seed: int, seconds: float, destinations: Iterable[DemoDestination]
) -> str:
    """Returns the text of the file; `listen` and `notices` have the form HOST:PORT."""
    ramp_ms = round(seconds * 1000 * SLOW_START_SHARE)
    text = SENDER.format(ramp=ramp_ms, listen=listen, seed=seed, notices=notices)
    for destination in destinations:
        endpoints = ", ".join(f'"{server.address}"' for server in destination.servers)
        text += DESTINATION.format(number=destination.number, name=destination.name, endpoints=endpoints)
    return text

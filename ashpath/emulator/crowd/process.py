"""A process that plays a crowd:
`python -m ashpath.emulator.crowd.process PORT SHAPE COUNT SECONDS CLASS`.

Prints the `CrowdRecord` as JSON. A process of its own keeps the crowd from delaying the measured client.
"""

from __future__ import annotations

import sys

import msgspec

from ashpath.emulator.crowd.clients import play_crowd
from ashpath.emulator.crowd.shapes import CrowdShape
from ashpath.emulator.stand_ins import LOOPBACK


def main() -> None:
    """Plays the crowd that the arguments describe."""
    port, shape, count, duration_s, traffic_class = sys.argv[1:]
    record = play_crowd(
        (LOOPBACK, int(port)), CrowdShape(shape), int(count), float(duration_s), traffic_class.encode()
    )
    print(msgspec.json.encode(record).decode())


if __name__ == "__main__":
    main()

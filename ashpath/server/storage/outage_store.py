"""Destinations that are out, to this sender, kept in the state folder for a further life.

A sender that was told of an outage goes carefully at the return, and a restart must not make it forget: a
fleet that restarts while a destination is out would send all that it held at once, to one that has just come
back cold. One file, `outages`: JSON, `{"version": 1, "out": [[destination, endpoint, rate, until], ...]}`; an
empty endpoint stands for the whole destination, `rate` is the calls a second that the sender had there
before, `until` the wall's clock in microseconds at which it is warm again, or null while it is out. Written
whole beside itself under a name of this process and renamed over, at a change of mode alone. What cannot be
read is taken for none. What follows from an outage is the module's (`Sender.outage`); this only keeps it.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import orjson

from ashpath.server.timers import wall

NAME = "outages"
VERSION = 1
MOST = 128  # rows kept, the latest
LONGEST = 64  # characters of an endpoint's id; a longer one is not kept
SPACE = 2 * 16 << 10  # bytes on disk, the old and the new file together

Row = tuple[float, int | None]


class OutageStore:
    def __init__(self, folder: Path, log: Any) -> None:
        self.path, self.log, self.failing = folder / NAME, log, False
        self.rows: dict[tuple[int, str], Row] = {}
        try:
            told = orjson.loads(self.path.read_bytes())
            if told["version"] != VERSION:
                raise ValueError("not a file of outages of this version")
            for destination, endpoint, rate, until in told["out"][-MOST:]:
                row = (float(rate), None if until is None else int(until))
                self.rows[int(destination), str(endpoint)] = row
        except FileNotFoundError:
            pass
        except (OSError, ValueError, KeyError, TypeError) as error:
            self.rows.clear()
            log.error("outages not read, none are known", file=str(self.path), error=str(error))

    def active(self) -> list[tuple[int, str, float]]:
        """Those of an earlier life that last, or from which a destination is not warm yet."""
        now = wall()
        kept = [(*place, rate) for place, (rate, until) in self.rows.items() if until is None or until > now]
        return [(destination, endpoint, rate) for destination, endpoint, rate in kept]

    def mode_changed(self, destination: int, endpoint: str, out: bool, rate: float, ramp: int) -> None:
        """A change of mode: it is out, or, where it was, back and warm after `ramp`."""
        place, before = (destination, endpoint), self.rows.get((destination, endpoint))
        known = before is not None and before[1] is None
        if out == known or (not out and before is None) or len(endpoint) > LONGEST:
            return
        now = wall()
        self.rows = {p: row for p, row in self.rows.items() if row[1] is None or row[1] > now}
        self.rows.pop(place, None)
        self.rows[place] = (rate, None if out else now + ramp)
        while len(self.rows) > MOST:
            del self.rows[next(iter(self.rows))]
        self.write()

    def write(self) -> None:
        told = [[*place, *row] for place, row in self.rows.items()]
        fresh = self.path.with_name(f"{NAME}.{os.getpid()}")
        try:
            fresh.write_bytes(orjson.dumps({"version": VERSION, "out": told}))
            os.replace(fresh, self.path)
            self.failing = False
        except OSError as error:
            fresh.unlink(missing_ok=True)
            if not self.failing:
                self.log.error("outages not written", error=str(error))
            self.failing = True

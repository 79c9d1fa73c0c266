"""Waits that destinations told, shared by the processes of one sender during a hot upgrade.

To the rules both processes are one sender, so a wait told to one binds the other. Each process writes the
waits it was told to a file of its own, `waits-PID` (JSON: `{"dest endpoint": end}`, wall-clock
microseconds), whole beside itself and renamed over. It reads the others' files at its start and whenever
their size or time changes. A file whose waits are all over is removed by whoever sees it so: what it said
binds nobody. Only the ids and ends are kept here; what a wait does is the module's (`Sender.waited`).
"""

from __future__ import annotations

import os
from pathlib import Path

import orjson

PREFIX = "waits-"
MOST = 4096  # waits kept; beyond it those ending first are dropped from the file (not from the module)

Told = tuple[int, str, int]  # destination, endpoint, end on the wall's clock in microseconds


class Waits:
    def __init__(self, folder: Path) -> None:
        self.folder, self.own = folder, folder / f"{PREFIX}{os.getpid()}"
        self.mine: dict[str, int] = {}
        self.changed = False  # since the file was last written
        self.seen: dict[str, tuple[int, int]] = {}  # others' files: size and time as last read

    def told(self, destination: int, endpoint: str, end: int, now: int) -> None:
        """A wait told to this process; it is in the file from the next `write`."""
        key = f"{destination} {endpoint}"
        if end > self.mine.get(key, 0):
            self.mine[key], self.changed = end, True
        if len(self.mine) > MOST:
            self.mine = {key: until for key, until in self.mine.items() if until > now}
            self.mine = dict(sorted(self.mine.items(), key=lambda item: -item[1])[:MOST])

    def write(self, now: int) -> None:
        """What changed since the last write, less the waits that are over (`now`: wall-clock microseconds).
        A file that cannot be written leaves the module's waits as they are; tried again at the next wait."""
        if not self.changed:
            return
        self.changed = False
        self.mine = {key: until for key, until in self.mine.items() if until > now}
        fresh = self.own.with_name(f"{self.own.name}.new")
        try:
            fresh.write_bytes(orjson.dumps(self.mine))
            os.replace(fresh, self.own)
        except OSError:
            fresh.unlink(missing_ok=True)

    def others(self, now: int) -> list[Told]:
        """Waits still running in files of other processes that changed since they were last read."""
        found: list[Told] = []
        try:
            paths = [path for path in self.folder.iterdir() if path.name.startswith(PREFIX)]
        except OSError:
            return found
        for path in paths:
            if path == self.own or path.name.endswith(".new"):
                continue
            try:
                facts = os.stat(path)
                if self.seen.get(path.name) == (facts.st_size, facts.st_mtime_ns):
                    continue
                self.seen[path.name] = (facts.st_size, facts.st_mtime_ns)
                told = orjson.loads(path.read_bytes())
                running = [(key, int(end)) for key, end in dict(told).items() if int(end) > now]
            except (OSError, ValueError, TypeError, AttributeError):
                continue  # torn or foreign: binds nobody
            if not running:
                path.unlink(missing_ok=True)
                self.seen.pop(path.name, None)
            for key, end in running:
                number, _, endpoint = str(key).partition(" ")
                if number.isdigit():
                    found.append((int(number), endpoint, end))
        self.seen = {name: seen for name, seen in self.seen.items() if (self.folder / name).exists()}
        return found

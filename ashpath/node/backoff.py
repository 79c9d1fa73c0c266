"""Pauses between tries at the directory and at notices, free of I/O: chance comes in, seconds go out.

In a fleet that was killed together every sender fails at the same moment; with one fixed pause they would
all come back together, again and again, and the directory turns them away as one. So a pause doubles with
each failure in a row, from `least` to `most`, and is a seeded lot over the last part, `spread`, of that. A
wait that the far end told (`Retry-After`) is heeded up to two thirds of `most_told`, and the pause is
then a lot from there up to `most_told`: the far end may have told all of them the same.

>>> from random import Random
>>> pause = Backoff(Random(1), least=0.1, most=0.8)
>>> [round(pause.failed(), 3) for _ in range(5)]
[0.057, 0.185, 0.353, 0.502, 0.598]
>>> pause.succeeded(); [round(pause.failed(told), 3) for told in (2.0, 2.0, 60.0)]
[3.629, 2.235, 4.254]
"""

from __future__ import annotations

from random import Random


class Backoff:
    def __init__(
        self, chance: Random, least: float, most: float, most_told: float = 4.5, spread: float = 0.5
    ) -> None:
        self.chance, self.least, self.most, self.most_told = chance, least, most, most_told
        self.spread = spread  # the part of a pause that is drawn
        self.row = 0  # failures in a row

    def failed(self, told: float | None = None) -> float:
        """Seconds to pause before the next try."""
        self.row = min(self.row + 1, 32)
        span = min(self.most, self.least * 2.0 ** (self.row - 1))
        pause = span * (1 - self.spread * (1 - self.chance.random()))
        if told:
            least = min(told, self.most_told * 2 / 3)
            pause = max(pause, least + (self.most_told - least) * self.chance.random())
        return pause

    def succeeded(self) -> None:
        self.row = 0

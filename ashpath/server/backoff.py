"""Pauses between tries at the directory and at notices, free of I/O: chance comes in, seconds go out.

In a fleet that was killed together every sender fails at the same moment; with one fixed pause they would
all come back together, again and again, and the directory turns them away as one. So a pause doubles with
each failure in a row, from `least` to `most`, and is a seeded lot over the last part, `spread`, of that. A
wait that the far end told (`Retry-After`) is heeded up to two thirds of `most_told`, and the pause is
then a lot from there up to `most_told`: the far end may have told all of them the same.

>>> from random import Random
>>> pause = Backoff(Random(1), least=0.1, most=0.8)
>>> [round(pause.next_pause(), 3) for _ in range(5)]
[0.057, 0.185, 0.353, 0.502, 0.598]
>>> pause.reset(); [round(pause.next_pause(told), 3) for told in (2.0, 2.0, 60.0)]
[3.629, 2.235, 4.254]
"""

from __future__ import annotations

from random import Random


class Backoff:
    def __init__(
        self, chance: Random, least: float, most: float, most_told: float = 4.5, spread: float = 0.5
    ) -> None:
        self.random, self.min_s, self.max_s, self.max_retry_after_s = chance, least, most, most_told
        self.jitter = spread  # the part of a pause that is drawn
        self.failures = 0  # failures in a row

    def next_pause(self, told: float | None = None) -> float:
        """Seconds to pause before the next try."""
        self.failures = min(self.failures + 1, 32)
        span = min(self.max_s, self.min_s * 2.0 ** (self.failures - 1))
        pause = span * (1 - self.jitter * (1 - self.random.random()))
        if told:
            least = min(told, self.max_retry_after_s * 2 / 3)
            pause = max(pause, least + (self.max_retry_after_s - least) * self.random.random())
        return pause

    def reset(self) -> None:
        self.failures = 0

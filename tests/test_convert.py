"""The units at the bench's door."""

import doctest

from ashpath.drill import convert


def test_examples() -> None:
    assert doctest.testmod(convert).failed == 0

"""The units at the bench's door."""

import doctest

from ashpath.drill import convert


def test_examples() -> None:
    assert doctest.testmod(convert) == (0, 4)

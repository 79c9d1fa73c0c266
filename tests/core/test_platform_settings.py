"""The operators' JSON settings: the examples of the modules that parse, convert, number and align them."""

from __future__ import annotations

import doctest
from types import ModuleType

import pytest

from ashpath.core import platform_settings, settings_alignment, time_units


@pytest.mark.parametrize("module", [platform_settings, settings_alignment, time_units])
def test_examples(module: ModuleType) -> None:
    results = doctest.testmod(module)
    assert results.attempted > 0
    assert results.failed == 0

"""Docstring examples of the modules that parse, convert and align the operators' JSON settings."""

from __future__ import annotations

import doctest
from types import ModuleType

import pytest

from ashpath.core import platform_settings, settings_alignment, time_units


@pytest.mark.parametrize("module", [platform_settings, settings_alignment, time_units])
def test_docstring_examples_of_settings_modules_pass(module: ModuleType) -> None:
    results = doctest.testmod(module)
    assert results.attempted > 0
    assert results.failed == 0

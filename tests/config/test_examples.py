"""The examples in docstrings."""

from __future__ import annotations

import doctest
import importlib
import pkgutil
from types import ModuleType

import pytest

import ashpath.cli
import ashpath.config
import ashpath.emulator


@pytest.mark.parametrize("package", [ashpath.config, ashpath.cli, ashpath.emulator])
def test_examples(package: ModuleType) -> None:
    for module in pkgutil.iter_modules(package.__path__):
        if module.name != "__main__":
            found = importlib.import_module(f"{package.__name__}.{module.name}")
            assert doctest.testmod(found).failed == 0

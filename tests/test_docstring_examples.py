"""Doctest examples of every package except `server`, which has a test of its own."""

from __future__ import annotations

import doctest
import importlib
import pkgutil
from types import ModuleType

import pytest

import ashpath.bench_adapter
import ashpath.cli
import ashpath.config
import ashpath.core
import ashpath.emulator
import ashpath.policy

PACKAGES = [
    ashpath.core,
    ashpath.policy,
    ashpath.bench_adapter,
    ashpath.config,
    ashpath.cli,
    ashpath.emulator,
]


@pytest.mark.parametrize("package", PACKAGES)
def test_docstring_examples_of_each_package_pass(package: ModuleType) -> None:
    for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
        if not module.name.endswith(".__main__"):  # importing __main__ would run the program
            found = importlib.import_module(module.name)
            assert doctest.testmod(found).failed == 0, module.name

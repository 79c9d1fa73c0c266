"""The examples in docstrings of the server."""

from __future__ import annotations

import doctest
import importlib
import pkgutil

import ashpath.server


def test_examples_in_server_docstrings_pass() -> None:
    for module in pkgutil.walk_packages(ashpath.server.__path__, "ashpath.server."):
        assert doctest.testmod(importlib.import_module(module.name)).failed == 0

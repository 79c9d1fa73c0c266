"""Modules that the two entry points of a sender import."""

from __future__ import annotations

import sys

from gevent import subprocess
from support.sender_harness import ROOT


def test_modules_of_disabled_features_are_not_imported() -> None:
    """Guards the memory of small machines: a sender does not load the modules of features it has disabled."""
    optional_modules = "'click', 'rich', 'tree_sitter', 'prometheus_client', 'gevent.pywsgi', 'gevent.pool'"
    forbidden = f"{{{optional_modules}, 'tomllib', 'ashpath.config', 'ashpath.server.storage.outcome_store'}}"
    standalone_modules = "{'tomllib', 'ashpath.config', 'ashpath.server.storage.outcome_store'}"
    for module, allowed in (
        ("ashpath.server.platform_deployment", "set()"),
        ("ashpath.cli.standalone", standalone_modules),
    ):
        code = f"import sys, {module}; sys.exit(str(({forbidden} - {allowed}) & set(sys.modules) or ''))"
        run = subprocess.run([sys.executable, "-c", code], stderr=subprocess.PIPE, cwd=ROOT)
        assert run.stderr.strip() == b"", run.stderr

"""What the two ways of starting a sender import."""

from __future__ import annotations

import sys

from gevent import subprocess
from support.world import ROOT


def test_what_is_not_switched_on_is_not_imported() -> None:
    """Guards the platform's small machines: what a sender does not switch on it does not load."""
    off = "'click', 'rich', 'tree_sitter', 'prometheus_client', 'gevent.pywsgi', 'gevent.pool'"
    forbidden = f"{{{off}, 'tomllib', 'ashpath.config', 'ashpath.server.storage.outcome_store'}}"
    own = "{'tomllib', 'ashpath.config', 'ashpath.server.storage.outcome_store'}"
    for module, allowed in (("ashpath.server.platform_deployment", "set()"), ("ashpath.cli.standalone", own)):
        code = f"import sys, {module}; sys.exit(str(({forbidden} - {allowed}) & set(sys.modules) or ''))"
        run = subprocess.run([sys.executable, "-c", code], stderr=subprocess.PIPE, cwd=ROOT)
        assert run.stderr.strip() == b"", run.stderr

"""Starts a sender under the platform's agent: `python -m ashpath`.

SIGHUP is noted from the first line on: by default it would end a process whose modules are still loaded, and
one that comes after the file was read must not be forgotten.

Nothing that a start allocates is garbage before its end, so the collector is off until then: it would walk
the loaded modules again and again. `SenderRuntime.run` switches it on.
"""

import gc
import signal
import sys

gc.disable()
pending_hangups: list[int] = []
signal.signal(signal.SIGHUP, lambda number, _: pending_hangups.append(number))

from ashpath.server.platform_deployment import main  # noqa: E402 - the handler comes first

sys.exit(main(pending_hangups))

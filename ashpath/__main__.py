"""Starts a sender under the platform's agent: `python -m ashpath`.

The SIGHUP handler is installed before the sender's modules are imported: the default action would end the
process while they load, and a SIGHUP that arrives after the configuration file was read must not be lost.

Start-up creates no garbage until it is complete, so the garbage collector is disabled until then: it would
traverse the loaded modules repeatedly. `SenderRuntime.run` enables it.
"""

import gc
import signal
import sys

gc.disable()
pending_hangups: list[int] = []
signal.signal(signal.SIGHUP, lambda number, _: pending_hangups.append(number))

from ashpath.server.platform_deployment import main  # noqa: E402 - the handler is installed first

sys.exit(main(pending_hangups))

"""Starts the sender on sockets. SIGHUP is noted from the first line on: by default it would end a process
whose parts are still loaded, and one that comes after the file was read must not be forgotten."""

import signal
import sys

hangups: list[int] = []
signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))

from ashpath.server.runtime import main  # noqa: E402

sys.exit(main(hangups))

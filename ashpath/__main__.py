"""Starts the sender on sockets."""

import sys

from ashpath.node.start import main

sys.exit(main())

"""Runs the command line as `python -m ashpath.cli`, for use without the installed console script."""

import sys

from ashpath.cli import main

sys.exit(main())

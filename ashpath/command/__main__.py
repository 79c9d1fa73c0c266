"""`python -m ashpath.command`, where the console script is not installed."""

import sys

from ashpath.command import main

sys.exit(main())

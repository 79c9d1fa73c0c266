"""`python -m ashpath.cli`, where the console script is not installed."""

import sys

from ashpath.cli import main

sys.exit(main())

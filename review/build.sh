#!/bin/sh
# Builds the stand-ins that the cases start: Python of the standard library, compiled once. Needs the
# environment that the deploy file's build has made.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review

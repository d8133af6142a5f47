#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python, and need nothing but what the deploy file builds.
set -e
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q standins-2

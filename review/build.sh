#!/usr/bin/env bash
# Compiles the stand-ins and the cases; they need nothing but the .venv that the deploy file's build makes.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review

#!/bin/sh
# Builds the stand-ins of the cases: they are Python files without
# dependencies, so building means compiling them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]

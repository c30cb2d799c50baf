#!/bin/sh
# Checks that the stand-ins of cases 4 to 8 can be read; they need no build.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in [*pathlib.Path("standins2").glob("*.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK

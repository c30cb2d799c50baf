"""Runs a case: `main.py CASE`; an error of the case is no broken rule."""

import runpy
import sys
import traceback

EXIT_NOT_RUN = 2

if __name__ == "__main__":
    try:
        runpy.run_path(sys.argv[1], run_name="__main__")
    except Exception:
        traceback.print_exc()
        sys.exit(EXIT_NOT_RUN)

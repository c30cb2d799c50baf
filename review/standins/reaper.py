"""Ends the processes of a case when the case itself has ended.

It reads a process id a line from its standard input. When that closes, also
because the case was killed, it kills the processes that are still running and
removes the case's temporary folder, the first argument.
"""

import os
import shutil
import signal
import sys


def is_node(pid: int) -> bool:
    """Returns whether a process is one of the system's programs."""
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as file:
            return b"platform/main.py" in file.read()
    except OSError:
        return False


def main() -> None:
    """Waits for the end of the case, then cleans up after it."""
    pids = [int(line) for line in sys.stdin]
    for pid in filter(is_node, pids):
        os.kill(pid, signal.SIGKILL)
    shutil.rmtree(sys.argv[1], ignore_errors=True)


if __name__ == "__main__":
    main()

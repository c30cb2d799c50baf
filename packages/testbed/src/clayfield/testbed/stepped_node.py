"""Runs clayfield-node with a time of day that another process can step.

The first argument names a file with the offset, in seconds, as a
little-endian double. The monotonic clocks are not changed.
"""

import mmap
import pathlib
import struct
import sys
import time

_OFFSET = struct.Struct("<d")
NS_PER_S = 1_000_000_000


def write_offset(path: pathlib.Path, offset_s: float) -> None:
    """Steps the time of day of the node that reads the offset from a file.

    Args:
        path: the file, created if there is none.
        offset_s: time of day of the node minus that of the machine, in s.
    """
    mode = "r+b" if path.exists() else "wb"
    with open(path, mode) as file:
        file.write(_OFFSET.pack(offset_s))


def _patch_time_of_day(path: str) -> None:
    """Adds the offset in a file to each reading of the time of day."""
    with open(path, "rb") as file:
        shared = mmap.mmap(file.fileno(), _OFFSET.size, prot=mmap.PROT_READ)
    real_time = time.time
    real_time_ns = time.time_ns

    def offset_s() -> float:
        return _OFFSET.unpack(shared[:])[0]

    time.time = lambda: real_time() + offset_s()
    time.time_ns = lambda: real_time_ns() + int(offset_s() * NS_PER_S)


def main() -> None:
    """Replaces the time of day, then runs the node's command."""
    _patch_time_of_day(sys.argv.pop(1))
    from clayfield.node.main import main as run_node

    run_node()


if __name__ == "__main__":
    main()

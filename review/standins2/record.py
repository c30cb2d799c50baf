"""The record of what was sent, answered and run."""

import pathlib
import time


class Record:
    """Lines with the time since the start, in ms, kept and written to a file.

    Attributes:
        lines: the lines so far.
    """

    def __init__(self, path: pathlib.Path):
        self.lines: list[str] = []
        self._path = path
        self._start_s = time.monotonic()

    def now_ms(self) -> float:
        """Returns the time since the start, in ms."""
        return (time.monotonic() - self._start_s) * 1000.0

    def add(self, kind: str, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{self.now_ms():9.1f} {kind:8} {text}")

    def write(self) -> None:
        """Writes all lines to the file."""
        self._path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")

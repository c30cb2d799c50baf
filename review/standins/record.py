"""The record of a case: what was sent, answered and run, line by line."""

import pathlib
import time


class Record:
    """Collects lines with the time since the start of the case, in s."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def write(self, kind: str, who: str, text: str = "") -> None:
        """Adds a line."""
        elapsed_s = time.monotonic() - self._started_s
        self._lines.append(f"{elapsed_s:8.3f} {kind:12} {who:14} {text}")

    def note(self, kind: str, who: str, text: str = "") -> None:
        """Adds a line and prints it."""
        self.write(kind, who, text)
        print(self._lines[-1], flush=True)

    def save(self) -> None:
        """Writes the file."""
        self._path.write_text("\n".join(self._lines) + "\n")

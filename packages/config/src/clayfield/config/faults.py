"""The faults of a configuration file."""

from clayfield.base import ClayfieldError, Kind


class Fault:
    """One fault of a file.

    Attributes:
        line: the line it stands on, from 1; 0 for the file as a whole.
        path: the names that lead to it, joined by dots.
        problem: what is wrong.
        remedy: what to write instead.
    """

    __slots__ = ("line", "path", "problem", "remedy")

    def __init__(self, line: int, path: str, problem: str, remedy: str):
        self.line = line
        self.path = path
        self.problem = problem
        self.remedy = remedy

    def __str__(self) -> str:
        place = f"line {self.line}: {self.path or 'file'}"
        return f"{place}: {self.problem}. {self.remedy}"


class BadConfigError(ClayfieldError):
    """A file was rejected; it lists every fault."""

    def __init__(self, faults: list[Fault]):
        super().__init__(
            Kind.BAD_CONFIG, " ".join(f"[{fault}]" for fault in faults)
        )
        self.faults = faults

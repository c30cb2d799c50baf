"""Errors found in a configuration file."""

from clayfield.base import ClayfieldError, Kind


class Fault:
    """One error in a file, with its position.

    Attributes:
        line: line number, from 1; 0 for the file as a whole.
        path: names of the enclosing fields joined by dots; "" for the file.
        problem: description of the error.
        remedy: how to correct it.
    """

    __slots__ = ("line", "path", "problem", "remedy")

    def __init__(self, line: int, path: str, problem: str, remedy: str):
        self.line = line
        self.path = path
        self.problem = problem
        self.remedy = remedy

    def __str__(self) -> str:
        location = f"line {self.line}: {self.path or 'file'}"
        return f"{location}: {self.problem}. {self.remedy}"


class BadConfigError(ClayfieldError):
    """Raised for a configuration file with errors.

    Attributes:
        faults: all errors found.
    """

    def __init__(self, faults: list[Fault]):
        super().__init__(
            Kind.BAD_CONFIG, " ".join(f"[{fault}]" for fault in faults)
        )
        self.faults = faults

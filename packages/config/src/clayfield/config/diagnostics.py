"""Errors found in a configuration file."""

from clayfield.base import ClayfieldError, ErrorKind


class Diagnostic:
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


class InvalidConfigError(ClayfieldError):
    """Raised for a configuration file with errors.

    Attributes:
        diagnostics: all errors found.
    """

    def __init__(self, diagnostics: list[Diagnostic]):
        super().__init__(
            ErrorKind.BAD_CONFIG,
            " ".join(f"[{diagnostic}]" for diagnostic in diagnostics),
        )
        self.diagnostics = diagnostics

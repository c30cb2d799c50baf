"""Marks the tests that KNOWN-RED.txt lists as expected to fail.

The marks are strict: a listed test that passes fails the run, so that its
entry is removed together with the fix. The run prints the listed tests.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def _listed_tests() -> list[str]:
    """Returns the node ids, the lines of the list that begin with tests/."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.strip() for line in lines if line.startswith("tests/")]


def _is_listed(node_id: str, listed: list[str]) -> bool:
    """Returns whether a test, or the table that it is a row of, is listed."""
    return node_id in listed or node_id.partition("[")[0] in listed


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expects every listed test to fail."""
    listed = _listed_tests()
    for item in items:
        if _is_listed(item.nodeid, listed):
            item.add_marker(
                pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True)
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the tests that the run passed over."""
    for report in terminalreporter.getreports("xfailed"):
        terminalreporter.write_line(f"known red: {report.nodeid}")

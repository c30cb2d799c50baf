"""Checks the figures of a benchmark against the bounds in bounds.json."""

import json
import pathlib

import msgspec

BOUNDS_FILE = pathlib.Path(__file__).with_name("bounds.json")


def find_violations(name: str, figures: dict) -> list[str]:
    """Returns one line for each figure that is missing or out of bounds.

    Args:
        name: name of the benchmark.
        figures: figures by name, in nested dictionaries. The path of a bound
            joins the names with slashes; `*` matches every name of a level.
            A figure of None satisfies every bound.
    """
    bounds = json.loads(BOUNDS_FILE.read_text()).get(name, {})
    violations = []
    for pattern, (low, high) in bounds.items():
        matches = list(_find_values(figures, pattern.split("/"), ""))
        if not matches:
            violations.append(f"{pattern}: no figure matches this pattern")
        for path, value in matches:
            if value is not None and not low <= value <= high:
                violations.append(f"{path} is {value}, not in {low} to {high}")
    return violations


def _find_values(node: object, parts: list[str], path: str) -> list:
    """Returns path and value of each figure that matches a pattern."""
    if not parts:
        return [(path, node)]
    if not isinstance(node, dict):
        return []
    names = node if parts[0] == "*" else [parts[0]]
    matches = []
    for name in names:
        if name in node:
            matches += _find_values(node[name], parts[1:], f"{path}/{name}")
    return matches


def report(name: str, figures: dict) -> int:
    """Prints the violated bounds, then the figures as one line of JSON.

    Returns:
        The exit code: 1 if a bound is violated, else 0.
    """
    violations = find_violations(name, figures)
    for violation in violations:
        print(f"OUT OF BOUNDS {violation}")
    print(msgspec.json.encode(figures).decode())
    return 1 if violations else 0

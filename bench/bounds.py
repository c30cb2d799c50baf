"""Bounds in a file: a benchmark fails when a figure passes one."""

import json
import pathlib

import msgspec

BOUNDS = pathlib.Path(__file__).with_name("bounds.json")


def passed(name: str, figures: dict) -> list[str]:
    """Returns a line for each bound of a benchmark that is passed.

    Args:
        name: the benchmark's.
        figures: nested; a bound's path joins the names with slashes, and `*`
            stands for any.
    """
    bounds = json.loads(BOUNDS.read_text()).get(name, {})
    faults = []
    for pattern, (low, high) in bounds.items():
        matches = list(_find(figures, pattern.split("/"), ""))
        if not matches:
            faults.append(f"{pattern}: no such figure")
        for path, value in matches:
            if value is not None and not low <= value <= high:
                faults.append(f"{path} is {value}, bounds {low} to {high}")
    return faults


def _find(node: object, parts: list[str], path: str) -> list:
    if not parts:
        return [(path, node)]
    if not isinstance(node, dict):
        return []
    names = node if parts[0] == "*" else [parts[0]]
    found = []
    for name in names:
        if name in node:
            found += _find(node[name], parts[1:], f"{path}/{name}")
    return found


def finish(name: str, figures: dict) -> int:
    """Prints passed bounds and, last, the figures; returns the exit code."""
    faults = passed(name, figures)
    for fault in faults:
        print(f"PASSED BOUND {fault}")
    print(msgspec.json.encode(figures).decode())
    return 1 if faults else 0

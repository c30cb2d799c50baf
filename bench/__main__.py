"""Runs a benchmark by its name."""

import argparse
import importlib
import sys

NAMES = (
    "path",
    "policy",
    "alternatives",
    "faults",
    "claims",
    "config",
    "wire",
    "slopes",
)


def main() -> None:
    """Runs one benchmark; its last line is a JSON object."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("name", choices=NAMES)
    flags, rest = parser.parse_known_args()
    module = importlib.import_module(f"bench.{flags.name}")
    sys.exit(module.main(rest))


if __name__ == "__main__":
    main()

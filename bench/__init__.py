"""Benchmarks: `python -m bench NAME`; docs/benchmarks.md explains each."""

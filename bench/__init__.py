"""Benchmarks of clayfield, run by `python -m bench NAME`.

docs/benchmarks.md describes each benchmark and its figures.
"""

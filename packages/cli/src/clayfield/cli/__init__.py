"""The clayfield command line for operators and callers."""

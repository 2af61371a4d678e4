"""Benchmarks.  ``python -m benchmarks.NAME --json`` ends with one line of JSON, all of it measured in that run."""

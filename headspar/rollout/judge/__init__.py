"""Canary analysis of a stage: compares old and new nodes over the same seconds and gives a verdict.

``readings`` turns the nodes' cumulative counters into per-interval counts, tolerating lost, late, duplicate and reset
readings.  ``compare`` has the statistics, ``judge`` the verdicts (go on, wait, pause, take back), and ``power`` the
smallest harm that a stage can detect.  No I/O, no clock.  Design: docs/design/judge.md.
"""

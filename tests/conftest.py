"""Tests listed in ``KNOWN-RED.txt`` run and are printed, and don't fail the run."""

from __future__ import annotations

import pytest

from tests.known_red import LIST, KnownRedError, read


def pytest_configure(config: pytest.Config) -> None:
    try:
        read(config.rootpath)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = read(config.rootpath)
    for item in items:
        for entry in listed:
            if entry.covers(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{LIST}: {entry.seen}", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """The outcome of each listed test that ran."""
    listed = read(config.rootpath)
    for key, outcome in (("xfailed", "failed"), ("xpassed", "passed")):
        for report in terminalreporter.stats.get(key, []):
            if any(entry.covers(report.nodeid) for entry in listed):
                terminalreporter.write_line(f"{LIST}: {outcome}: {report.nodeid}")

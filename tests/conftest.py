"""Marks the tests listed in KNOWN-RED.txt as expected failures and prints them."""

import pytest

from bench.known_red import read_known_red


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = read_known_red().tests
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    listed = sorted(read_known_red().tests)
    if not listed:
        return
    terminalreporter.section("tests listed in KNOWN-RED.txt")
    seen = {
        report.nodeid: outcome
        for outcome, reports in terminalreporter.stats.items()
        for report in reports
        if isinstance(report, pytest.TestReport)
    }
    for test in listed:
        terminalreporter.line(f"{test}: {seen.get(test, 'not run')}")

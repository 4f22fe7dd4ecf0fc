"""Pytest hooks for ``KNOWN-RED.txt``, the list of tests that fail because of a known, unfixed fault.

The file is at the root of the project and has one line ``test | cause | issue`` per test. Listed tests run
and are reported as expected failures, with cause and issue in the summary. The run fails if the list has more
than three lines, a line without a cause or an issue, or a test that does not exist or passes twice in a row.
Without the file the hooks do nothing.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest
from _pytest.runner import runtestprotocol

LIST_FILE_NAME = "KNOWN-RED.txt"
MAX_LISTED_TESTS = 3


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A line of the list."""

    test: str
    cause: str
    issue: str


class ListError(ValueError):
    """The list is invalid; the message says why."""


_KNOWN_FAILURES = pytest.StashKey[dict[str, KnownFailure]]()
_SUMMARY_LINES = pytest.StashKey[list[str]]()


def read_list(root: Path) -> dict[str, KnownFailure]:
    """Return the known failures by test id; empty if there is no file.

    :raises ListError: if the list is invalid.
    """
    path = root / LIST_FILE_NAME
    if not path.exists():
        return {}
    known_failures: dict[str, KnownFailure] = {}
    for line in filter(str.strip, path.read_text(encoding="utf-8").splitlines()):
        columns = [part.strip() for part in line.split("|")]
        if len(columns) != 3 or not all(columns):
            raise ListError(f"{LIST_FILE_NAME}: expected 'test | cause | issue', got {line!r}")
        known_failure = KnownFailure(*columns)
        file_name, _, test_name = known_failure.test.partition("::")
        test_file = root / file_name
        function = re.escape(test_name.split("[")[0].rsplit("::", 1)[-1])
        if (
            not test_file.is_file()
            or not test_name
            or not re.search(rf"^\s*def {function}\(", test_file.read_text(), re.M)
        ):
            raise ListError(f"{LIST_FILE_NAME}: no such test: {known_failure.test}")
        if known_failure.test in known_failures:
            raise ListError(f"{LIST_FILE_NAME}: listed twice: {known_failure.test}")
        known_failures[known_failure.test] = known_failure
    if len(known_failures) > MAX_LISTED_TESTS:
        raise ListError(
            f"{LIST_FILE_NAME}: {len(known_failures)} tests listed, at most {MAX_LISTED_TESTS} allowed"
        )
    return known_failures


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Read the list, and check that listed tests exist in the files that are collected completely."""
    try:
        known_failures = read_list(config.rootpath)
    except ListError as error:
        raise pytest.UsageError(str(error)) from None
    complete_files = {
        item.nodeid.partition("::")[0] for item in items if not any("::" in arg for arg in config.args)
    }
    collected_tests = {item.nodeid for item in items}
    for test in known_failures:
        if (
            test not in collected_tests
            and test.partition("::")[0] in complete_files
            and not config.option.keyword
        ):
            raise pytest.UsageError(f"{LIST_FILE_NAME}: no such test: {test}")
    config.stash[_KNOWN_FAILURES], config.stash[_SUMMARY_LINES] = known_failures, []


def pytest_runtest_protocol(item: pytest.Item, nextitem: pytest.Item | None) -> bool | None:
    """Run a listed test, and run it again if it passes."""
    known_failure = item.config.stash[_KNOWN_FAILURES].get(item.nodeid)
    if known_failure is None:
        return None
    item.ihook.pytest_runtest_logstart(nodeid=item.nodeid, location=item.location)
    reports = runtestprotocol(item, log=False, nextitem=nextitem)
    if _passed(reports):
        reports = runtestprotocol(item, log=False, nextitem=nextitem)
    passed = _passed(reports)
    result = "passes twice in a row" if passed else "fails"
    item.config.stash[_SUMMARY_LINES].append(
        f"{item.nodeid} {result}: {known_failure.cause} (issue {known_failure.issue})"
    )
    for report in reports:
        if passed and report.when == "call":
            report.outcome = "failed"
            report.longrepr = (
                f"{LIST_FILE_NAME} lists this test, but it passes twice in a row: remove its line"
            )
        elif report.failed:
            report.outcome = "skipped"
            report.wasxfail = f"{LIST_FILE_NAME}: {known_failure.cause} (issue {known_failure.issue})"
        item.ihook.pytest_runtest_logreport(report=report)
    item.ihook.pytest_runtest_logfinish(nodeid=item.nodeid, location=item.location)
    return True


def _passed(reports: Iterable[pytest.TestReport]) -> bool:
    return all(report.passed for report in reports)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the known failures that ran."""
    for line in config.stash.get(_SUMMARY_LINES, []):
        terminalreporter.write_line(f"known red: {line}", red=True)

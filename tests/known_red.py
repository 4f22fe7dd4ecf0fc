"""KNOWN-RED.txt: the few tests that fail for a real fault which is not mended yet.

A line each, ``test | cause | issue``, at the root of the project. They run, are printed with cause and issue,
and don't fail the run. What makes the list worth nothing fails it: more than three lines, a line without a
cause or an issue, a test that does not exist, one that passes twice. Without the file nothing changes.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest
from _pytest.runner import runtestprotocol

NAME = "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True, slots=True)
class Red:
    """One line of the list."""

    test: str
    cause: str
    issue: str


class ListError(ValueError):
    """The list can't be used; the text says which line, and why."""


_REDS = pytest.StashKey[dict[str, Red]]()
_SEEN = pytest.StashKey[list[str]]()


def read(root: Path) -> dict[str, Red]:
    """The list by test; empty without a file.

    :raises ListError: for a line or a list that may not stand.
    """
    path = root / NAME
    if not path.exists():
        return {}
    reds: dict[str, Red] = {}
    for line in filter(str.strip, path.read_text(encoding="utf-8").splitlines()):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ListError(f"{NAME}: not 'test | cause | issue': {line!r}")
        red = Red(*parts)
        file, _, name = red.test.partition("::")
        own = root / file
        function = re.escape(name.split("[")[0].rsplit("::", 1)[-1])
        if not own.is_file() or not name or not re.search(rf"^\s*def {function}\(", own.read_text(), re.M):
            raise ListError(f"{NAME}: no such test: {red.test}")
        if red.test in reds:
            raise ListError(f"{NAME}: listed twice: {red.test}")
        reds[red.test] = red
    if len(reds) > MOST:
        raise ListError(f"{NAME}: {len(reds)} tests; {MOST} at most")
    return reds


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Read the list as the tests are known; of a file that is run whole each listed test has to be there."""
    try:
        reds = read(config.rootpath)
    except ListError as error:
        raise pytest.UsageError(str(error)) from None
    whole = {item.nodeid.partition("::")[0] for item in items if not any("::" in arg for arg in config.args)}
    there = {item.nodeid for item in items}
    for test in reds:
        if test not in there and test.partition("::")[0] in whole and not config.option.keyword:
            raise pytest.UsageError(f"{NAME}: no such test: {test}")
    config.stash[_REDS], config.stash[_SEEN] = reds, []


def pytest_runtest_protocol(item: pytest.Item, nextitem: pytest.Item | None) -> bool | None:
    """Run a listed test; if it passes, once more."""
    red = item.config.stash[_REDS].get(item.nodeid)
    if red is None:
        return None
    item.ihook.pytest_runtest_logstart(nodeid=item.nodeid, location=item.location)
    reports = runtestprotocol(item, log=False, nextitem=nextitem)
    if _passed(reports):
        reports = runtestprotocol(item, log=False, nextitem=nextitem)
    passed = _passed(reports)
    said = "passes twice" if passed else "fails"
    item.config.stash[_SEEN].append(f"{item.nodeid} {said}: {red.cause} (issue {red.issue})")
    for report in reports:
        if passed and report.when == "call":
            report.outcome = "failed"
            report.longrepr = f"{NAME} lists it as red, and it passes twice: take its line out"
        elif report.failed:
            report.outcome = "skipped"
            report.wasxfail = f"{NAME}: {red.cause} (issue {red.issue})"
        item.ihook.pytest_runtest_logreport(report=report)
    item.ihook.pytest_runtest_logfinish(nodeid=item.nodeid, location=item.location)
    return True


def _passed(reports: Iterable[pytest.TestReport]) -> bool:
    return all(report.passed for report in reports)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print what is known to be red."""
    for line in config.stash.get(_SEEN, []):
        terminalreporter.write_line(f"known red: {line}", red=True)

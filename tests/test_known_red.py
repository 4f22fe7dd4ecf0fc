"""The list of tests that are known to fail: what it lets pass, and what it does not."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
import pathlib

def test_good(): pass
def test_bad(): assert 0, "a real fault"
def test_worse(): raise OSError
def test_now_and_then():
    mark = pathlib.Path(__file__).with_suffix(".mark")
    mark.write_text(mark.read_text() + "x" if mark.exists() else "x")
    assert len(mark.read_text()) < 2
"""


def run(folder: Path, listed: str | None, *arguments: str) -> tuple[int, str]:
    """Run pytest with the plugin on a small project; its status and what it printed."""
    (folder / "test_small.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider", *arguments],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
    )
    return done.returncode, done.stdout + done.stderr


def test_without_the_file_nothing_changes(tmp_path: Path) -> None:
    status, said = run(tmp_path, None)
    assert (status == 1 and "3 failed, 1 passed" in said) or "2 failed, 2 passed" in said


def test_what_is_listed_runs_is_printed_and_passes_over(tmp_path: Path) -> None:
    listed = "test_small.py::test_bad | the cause | 7\ntest_small.py::test_worse | another | 8\n"
    status, said = run(tmp_path, listed)
    assert status == 0 and "2 passed, 2 xfailed" in said
    assert "known red: test_small.py::test_bad fails: the cause (issue 7)" in said


def test_only_what_is_listed_passes_over(tmp_path: Path) -> None:
    status, said = run(tmp_path, "test_small.py::test_bad | the cause | 7\n")
    assert status == 1 and "1 failed" in said and "test_worse" in said


def test_one_that_fails_now_and_then_is_red(tmp_path: Path) -> None:
    listed = "test_small.py::test_now_and_then | a race | 7\n"
    status, said = run(tmp_path, listed, "-k", "good or now")
    assert status == 0 and "1 passed" in said and "1 xfailed" in said


GOOD = "test_small.py::test_good | it was mended | 7\n"
ALL = ("good", "bad", "worse", "now_and_then")
FOUR = "".join(f"test_small.py::test_{name} | c | 7\n" for name in ALL)


@pytest.mark.parametrize(
    ("listed", "why"),
    [
        (GOOD, "passes twice"),
        ("test_small.py::test_bad | the cause |\n", "not 'test | cause | issue'"),
        ("test_small.py::test_bad | | 7\n", "not 'test | cause | issue'"),
        ("test_small.py::test_bad\n", "not 'test | cause | issue'"),
        ("test_small.py::test_none | the cause | 7\n", "no such test"),
        ("test_small.py::test_bad[x] | the cause | 7\n", "no such test"),
        ("other.py::test_bad | the cause | 7\n", "no such test"),
        ("test_small.py::test_bad | the cause | 7\n" * 2, "listed twice"),
        (FOUR, "4 tests; 3 at most"),
    ],
)
def test_a_list_that_may_not_stand_fails_the_run(tmp_path: Path, listed: str, why: str) -> None:
    status, said = run(tmp_path, listed)
    assert status != 0 and why in said

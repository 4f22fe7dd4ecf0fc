"""Error types: codes, remedies, formatting, and the generated page ``docs/errors.md``."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from honeybarrow import error_catalog
from honeybarrow.cli import main
from honeybarrow.errors import (
    USAGE_EXIT_STATUS,
    HoneybarrowError,
    InvalidValueError,
    error_log_fields,
    format_error,
)

ROOT = Path(__file__).parent.parent


def test_every_error_type_derives_from_the_base_with_a_unique_code() -> None:
    types = error_catalog.list_error_types()
    codes = [each.code for each in types]
    assert len(types) >= 13 and len(dict.fromkeys(codes)) == len(codes)
    for path in (ROOT / "honeybarrow").rglob("*.py"):
        for line in path.read_text().splitlines():
            if line.startswith("class ") and line.rstrip(":").endswith(("(Exception)", "(ValueError)")):
                assert path.name == "errors.py", f"{path}: {line}"


def test_the_errors_page_matches_the_classes() -> None:
    assert (ROOT / "docs/errors.md").read_text() == error_catalog.render_error_page()


@pytest.mark.parametrize(
    "body",
    [
        {"__doc__": "No code.", "remedy": "none"},
        {"__doc__": "A code that can't be searched for.", "code": "E1", "remedy": "none"},
        {"code": "HB999", "remedy": "It does not say what it is."},
    ],
)
def test_a_type_without_code_remedy_or_docstring_cannot_be_defined(body: dict[str, str]) -> None:
    with pytest.raises(TypeError):
        type("Bad", (HoneybarrowError,), body)


def test_an_error_shows_problem_cause_and_remedy() -> None:
    error = InvalidValueError("slots", "there are none", remedy="give it one")
    assert str(error) == "slots: there are none"
    assert format_error(error) == "slots: there are none\n  remedy: give it one [HB101]"
    assert error_log_fields(error) == {
        "what": "slots",
        "why": "there are none",
        "remedy": "give it one",
        "code": "HB101",
    }
    assert format_error(OSError("gone")) == "gone" and error_log_fields(KeyError()) == {"what": "KeyError"}
    assert InvalidValueError("slots").remedy == InvalidValueError.remedy and isinstance(error, ValueError)


def test_the_command_line_ends_with_remedy_code_and_status(tmp_path: Path) -> None:
    script = tmp_path / "bad.star"
    script.write_text("me = forwarder(name = 1)\n")
    result = CliRunner().invoke(main, ["check", str(script)])
    assert result.exit_code == USAGE_EXIT_STATUS
    assert "bad.star:1" in result.stderr and "remedy: correct the script" in result.stderr
    assert "[HB111]" in result.stderr

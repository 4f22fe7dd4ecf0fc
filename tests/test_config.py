"""Settings scripts: valid ones give checked records, errors name the file, the line and the field."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from honeybarrow import config
from honeybarrow.cli import main
from honeybarrow.config import schema
from honeybarrow.rehearsal import SCENARIO_RECORD_TYPES, Scenario
from honeybarrow.settings import Idempotency

ROOT = Path(__file__).parent.parent
VALID_SCRIPT = """
classes = [message_class("note", aim = "1s", deadline = "8s"),
    message_class("post", aim = "1500ms", deadline = "8s", effect = "keyed", window = "5s")]
def make(i):
    front = listen("smtp", port = 0)
    return forwarder("f%d" % i, classes = classes, register = register(port = 1), listen = [front])
both = [make(i) for i in [1, 2]]
"""


def test_script_evaluates_to_checked_settings() -> None:
    records = config.evaluate_script("f.star", VALID_SCRIPT)
    found = config.find_all(records, schema.ForwarderConfig)
    assert [forwarder.name for forwarder in found] == ["f1", "f2"]
    assert config.find_one(records, schema.ForwarderConfig, Path("f.star"), "f2") is found[1]
    settings = found[0].policy_settings()
    assert (
        settings.classes[1].idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and settings.classes[1].latency_objective_us == 1_500_000
    )
    with pytest.raises(config.ScriptError, match="there are 2"):
        config.find_one(records, schema.ForwarderConfig, Path("f.star"))


INVALID_SCRIPTS = [
    ("\n\nx = message_class('a', aim = '1s')", "f.star:3: message_class: .*missing.*deadline"),
    ("\nx = message_class('a', aim = '1q', deadline = '2s')", "f.star:2: .*field 'aim': '1q' is no duration"),
    ("x = message_class('a', aim = '3s', deadline = '2s')", "f.star:1: .*deadline is under aim"),
    ("x = message_class('a', aim = '1s', deadline = '2s', efect = 'safe')", "unknown field 'efect'"),
    ("x = message_class('a', aim = '1s', deadline = '2s', effect = 'sure')", "f.star:1: .*field 'effect'"),
    ("x = message_class('a', aim = '1s', deadline = '2s', effect = 'keyed')", "window is missing"),
    ("x = listen('smtp', port = 70000)", "f.star:1: listen: .*field 'port'"),
    ("x = routing(message_class = 'header:X')", "must be read from the recipient"),
    ("x = routing(tenant = 'subject')", "tenant: no such source as 'subject'"),
    ("x = (", "f.star:1: Parse error"),
    ("x = y", "f.star:1: Variable `y` not found"),
    ("x = 1 // 0", "f.star:1: "),
    (
        VALID_SCRIPT.replace("listen = [front", "slots = 0, listen = [front"),
        "f.star:6: forwarder: .*field 'slots'",
    ),
    (VALID_SCRIPT.replace('"post"', '"note"'), "'note' is given twice"),
]


@pytest.mark.parametrize(("text", "message"), INVALID_SCRIPTS)
def test_error_names_file_line_and_field(text: str, message: str) -> None:
    with pytest.raises(config.ScriptError, match=message) as caught:
        config.evaluate_script("f.star", text)
    assert "\n" not in str(caught.value)


def test_fault_of_an_unknown_target_is_rejected() -> None:
    text = (
        "p = partner('a.example', number = 1, stations = [station('a', port = 0)])\n"
        "x = rehearsal('r', length = '1s', partners = [p], register = stand_in_register(port = 0),"
        " troubles = [trouble('shut', at = '0s', who = 'b.example')])\n"
    )
    with pytest.raises(config.ScriptError, match=r"trouble shut: there is no 'b\.example'"):
        config.evaluate_script("f.star", text, SCENARIO_RECORD_TYPES)


def test_bundled_scripts_are_valid() -> None:
    scenarios = sorted((ROOT / "honeybarrow/rehearsal/scenarios").glob("*.star"))
    assert len(scenarios) >= 2
    for path in scenarios:
        records = config.read_script(path, SCENARIO_RECORD_TYPES)
        assert config.find_one(records, Scenario, path).clients
        for forwarder in config.find_all(records, schema.ForwarderConfig):
            forwarder.policy_settings()
    for path in sorted((ROOT / "examples").glob("*.star")):
        config.read_script(path, SCENARIO_RECORD_TYPES)


def test_check_command_prints_errors_and_exits_with_their_status(tmp_path: Path) -> None:
    runner = CliRunner()
    valid, invalid = tmp_path / "good.star", tmp_path / "bad.star"
    valid.write_text(VALID_SCRIPT)
    invalid.write_text(VALID_SCRIPT + "x = 1 +\n")
    result = runner.invoke(main, ["check", str(valid), "--name", "f1"])
    assert result.exit_code == 0 and "class post: keyed" in result.output
    result = runner.invoke(main, ["check", str(invalid)])
    assert result.exit_code == 2 and f"{invalid}:8" in result.output
    result = runner.invoke(main, ["check", str(tmp_path / "none.star")])
    assert result.exit_code == 2 and "No such file" in result.output
    assert "bad-day" in runner.invoke(main, ["rehearse", "--list"]).output


def test_addresses_command_prints_the_order_of_addresses(tmp_path: Path) -> None:
    path = tmp_path / "list.json"
    addresses = '[{"host":"127.0.0.1","port":25},{"host":"::1","port":25,"priority":1},{"path":"p.sock"}]'
    path.write_text(
        '{"kind":"full","version":3,"partners":[{"number":1,"name":"a.example"}],"endpoints":'
        f'[{{"target":"t","destination":1,"state":"ready","addresses":{addresses}}}]}}'
    )
    result = CliRunner().invoke(main, ["addresses", str(path)])
    assert result.exit_code == 0
    lines = [line.split(" ")[3] for line in result.output.splitlines()[1:]]
    assert lines == ["unix:p.sock", "127.0.0.1:25", "[::1]:25"]
    path.write_text('{"kind":"full","version":3,"endpoints":[{"target":7}]}')
    result = CliRunner().invoke(main, ["addresses", str(path)])
    assert result.exit_code == 2 and "malformed list" in result.output

"""The adapter command, run on valid and malformed transcripts of the line protocol."""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest

from honeybarrow import bench_adapter
from honeybarrow.actions import (
    Action,
    CloseIdleConnections,
    FailPermanently,
    LogEvent,
    ReturnToClient,
    SendAttempt,
    SetTimer,
    Subscribe,
)
from honeybarrow.events import AttemptFinished, AttemptStatus
from honeybarrow.settings import DestinationKind, Idempotency
from honeybarrow.wire_settings import read_settings

OPTIONS = {
    "services": [
        {"name": "note", "aimUs": 2000000, "hardLimitUs": 9000000, "idempotency": "free", "unknown": 1},
        {"name": "pay", "aimUs": 2000000, "hardLimitUs": 9000000, "idempotency": "single_shot"},
    ],
    "kinds": ["shop"],
    "familyInfo": {"callSlots": 4, "bundleMax": [2]},
    "limits": {"maxOpen": 20, "sendCap": 3, "retryAfter": True, "maxRetryAfterUs": 3000000},
}
ATTACH = f"attach forwarder=1 prng=5 options={json.dumps(OPTIONS)}"
LIST = "list page=0 elements=1\n"
LIST += "entry site=x status=Running capacityHint=1.5 ownerNo=7 target=10.0.0.1:80 type=shop"
START = f"mark nowUs=1000\n{ATTACH}\n{LIST}\ndiscovery forwarder=1 mode=SAVED seqNo=1 page=0\nyour_turn\n"
JOB = "job_in forwarder=1 txn=t/a profile=note leftUs=9000000 calledNode=7"
DONE = "outcome forwarder=1 txn=t/a target=10.0.0.1:80 try=0 waitTimeUs=900 noMore=1 rc=success metrics=0.5,2"


def run_adapter(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "honeybarrow.bench_adapter"],
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


def batch(now: int, *lines: str) -> str:
    return "\n".join([f"mark nowUs={now}", *lines, "your_turn", ""])


def test_a_transcript_gives_the_same_output_in_two_processes() -> None:
    text = batch(0) + START + batch(2000, JOB) + batch(3000, DONE)
    text += batch(4000, "destroy forwarder=1", ATTACH, LIST, "discovery forwarder=1 mode=FULL seqNo=2 page=0")
    first, second = run_adapter(text, "1"), run_adapter(text, "2")
    assert (first.returncode, first.stderr) == (0, "")
    assert first.stdout == second.stdout
    assert first.stdout.count("finished\n") == 5
    assert "deliver forwarder=1 txn=t/a allowForUs=" in first.stdout


def test_all_other_events_are_accepted() -> None:
    lines = [
        "streaming forwarder=1 txn=t/a try=0 target=10.0.0.1:80 waitTimeUs=5",
        "probed forwarder=1 target=10.0.0.1:80 rc=failure waitTimeUs=5",
        "neighbour_says forwarder=1 who=2 content=6869",
        "expired forwarder=1 txn=t/zz",
        "timeout_fired forwarder=1 mark=none",
        "discovery forwarder=1 mode=FAILED seqNo=3",
    ]
    result = run_adapter(START + batch(2000, JOB, *lines))
    assert (result.returncode, result.stderr) == (0, "")


@pytest.mark.parametrize(
    ("lines", "error"),
    [
        (["wobble forwarder=1"], "unknown event"),
        (["job_in forwarder=9 txn=t/a"], "is not there"),
        (["job_in forwarder=1 txn=t/a profile=note leftUs=soon calledNode=7"], "not a whole number"),
        (["job_in forwarder=1 txn=t/a profile=note leftUs=9"], "is missing"),
        (["outcome forwarder=1 txn=t/a target=x try=0 rc=odd"], "unknown value"),
        (["outcome forwarder=1 txn=t/a target=x try=0 rc=success metrics=a,b"], "row of numbers"),
        (["job_in forwarder"], "name=value"),
        (["discovery forwarder=1 mode=FULL seqNo=2 page=9"], "no list 9"),
        (["list page=1 elements=2", "expired forwarder=1 txn=t/a"], "'entry' lines expected"),
        ([ATTACH], "there already"),
        (["attach forwarder=2 prng=1 options={"], "not JSON"),
        (["attach forwarder=2 prng=1 options={}"], "is missing"),
        (["mark nowUs=3"], "inside a batch"),
    ],
)
def test_malformed_input_ends_with_a_one_line_error(lines: list[str], error: str) -> None:
    result = run_adapter(START + batch(2000, *lines))
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1
    assert "honeybarrow.bench_adapter: line " in result.stderr
    assert error in result.stderr


def test_input_that_ends_inside_a_batch_is_an_error() -> None:
    result = run_adapter(START + "mark nowUs=5\n")
    assert result.returncode == 2
    assert "ends inside a batch" in result.stderr


def test_an_invalid_setting_is_named_in_the_error() -> None:
    options = json.dumps({**OPTIONS, "familyInfo": {"callSlots": 0}})
    result = run_adapter(batch(1, f"attach forwarder=2 prng=1 options={options}"))
    assert result.returncode == 2
    assert "slots" in result.stderr


def test_an_exception_of_the_policy_becomes_a_die_reply() -> None:
    result = run_adapter(START + batch(2000, JOB) + batch(2000, JOB))
    assert result.returncode == 0
    assert "die forwarder=1 text=ValueError: message 't/a' is given twice" in result.stdout


def test_every_action_is_formatted() -> None:
    expected_lines: list[tuple[Action, str]] = [
        (SendAttempt("t/a", "x:1", 5), "deliver forwarder=3 txn=t/a allowForUs=5 target=x:1"),
        (ReturnToClient("t/a", 7), "not_now forwarder=3 txn=t/a pauseUs=7"),
        (ReturnToClient("t/a"), "not_now forwarder=3 txn=t/a"),
        (FailPermanently("t/a"), "error forwarder=3 txn=t/a"),
        (SetTimer("m", 9), "after forwarder=3 mark=m offsetUs=9"),
        (Subscribe(), "listen forwarder=3 enable=1"),
        (CloseIdleConnections("x:1"), "release forwarder=3 target=x:1"),
        (LogEvent("two words"), "debug forwarder=3 text=two words"),
    ]
    for action, line in expected_lines:
        assert bench_adapter.format_action(3, action) == line


def test_settings_and_events_are_parsed_completely() -> None:
    read = read_settings(json.dumps(OPTIONS))
    assert (read.slots, read.max_open, read.max_attempts) == (4, 20, 3)
    assert read.kinds == (DestinationKind("shop", 2, False),)
    assert read.classes[1].idempotency is Idempotency.NON_IDEMPOTENT
    line = "outcome forwarder=1 txn=t/a target=x try=2 waitTimeUs=9 holdMs=250 rc=overloaded metrics=0.5,2"
    event = bench_adapter.SenderHost().parse_event(bench_adapter.WireLine(line))
    assert event == AttemptFinished(
        "t/a", 2, "x", AttemptStatus.FULL, 9, False, 250_000, load_report=(0.5, 2.0)
    )

"""Tests of the soak: short seeded runs, rule checker on constructed histories, fault plans, shrinking."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections.abc import Sequence
from pathlib import Path

import pytest

from benchmarks.soak_mutants import MUTANTS, make_source
from honeybarrow.soak.fault_shim import NoCompilerError, build_shim
from honeybarrow.soak.history import ClientRequest, EventKind, History
from honeybarrow.soak.link import LinkCondition, LinkConnection
from honeybarrow.soak.plan import Fault, FaultKind, SoakSpec, draw_faults
from honeybarrow.soak.rules import RuleChecker, SoakRule
from honeybarrow.soak.run import SoakResult, run_soak
from honeybarrow.soak.shrink import shrink_faults

FORWARDERS = [f"f{number:02d}" for number in range(6)]
ENDPOINTS = ["e1", "e2"]
DESTINATIONS = {"e1": 1, "e2": 1, "e3": 2}


def run_short(folder: Path, spec: SoakSpec, source: Path | None = None) -> SoakResult:
    """Execute a run, or skip the test if there is no compiler for the fault shim."""
    try:
        library = build_shim(folder)
    except NoCompilerError as error:
        pytest.skip(f"the fault shim can't be built: {error}")
    return run_soak(spec, folder / "run", library, source=source)


@pytest.mark.parametrize("seed", [101, 102])
def test_short_runs_with_all_kinds_of_faults_break_no_rule(tmp_path: Path, seed: int) -> None:
    result = run_short(tmp_path, SoakSpec(seed, forwarders=10, load_s=10.0, faults=40))
    reports = [
        f"{each.rule} {each.forwarder} {each.message} {each.text}\n"
        + "\n".join(result.history.related_events(each.message) if each.message else ())
        for each in result.violations
    ]
    assert result.has_passed, "\n".join([*reports, *result.guard_violations])
    assert result.counts["accepted"] > 200 and result.counts["calls"] > 200


def test_run_without_faults_delivers_every_message(tmp_path: Path) -> None:
    result = run_short(tmp_path, SoakSpec(1, forwarders=3, load_s=4.0, faults=0, end_share=0.0))
    assert result.has_passed
    assert result.counts["delivered"] == result.counts["accepted"] == result.counts["requests"] > 20


def test_repeated_non_idempotent_message_is_found_by_checker_and_guard(tmp_path: Path) -> None:
    """The guard blocks and logs the repeat; without the guard, the rule checker finds a duplicate."""
    kinds = (FaultKind.ENDPOINT_MODE, FaultKind.LINK)
    spec = SoakSpec(1, forwarders=6, load_s=6.0, faults=30, kinds=kinds)
    mutant = MUTANTS["non-idempotent messages are repeated"]
    unguarded = make_source(mutant, tmp_path / "unguarded")
    unguarded_result = run_short(tmp_path, spec, unguarded)
    assert SoakRule.DUPLICATE in {each.rule for each in unguarded_result.violations}
    policy_only = type(mutant)(mutant.changes[:1], mutant.kinds)
    guarded = make_source(policy_only, tmp_path / "guarded")
    (tmp_path / "second").mkdir()
    guarded_result = run_short(tmp_path / "second", spec, guarded)
    assert guarded_result.guard_violations
    assert {each.rule for each in guarded_result.violations} == {SoakRule.GUARD}


# fault plans and shrinking


def test_fault_plan_depends_only_on_the_seed() -> None:
    spec = SoakSpec(7, faults=80)
    first = draw_faults(spec, FORWARDERS, ENDPOINTS)
    assert first == draw_faults(spec, FORWARDERS, ENDPOINTS)
    assert first != draw_faults(SoakSpec(8, faults=80), FORWARDERS, ENDPOINTS)
    assert [each.start_s for each in first] == sorted(each.start_s for each in first)
    kinds = {each.kind for seed in range(30) for each in draw_faults(SoakSpec(seed), FORWARDERS, ENDPOINTS)}
    assert kinds == set(FaultKind)


def test_shrinking_keeps_the_faults_needed_to_break_the_rule() -> None:
    faults = draw_faults(SoakSpec(3, faults=24), FORWARDERS, ENDPOINTS)
    needed = {faults[5], faults[17]}
    run_sizes = []

    def run_faults(remaining: Sequence[Fault]) -> frozenset[SoakRule]:
        run_sizes.append(len(remaining))
        return frozenset({SoakRule.LOST}) if needed <= set(remaining) else frozenset({SoakRule.DRAIN})

    assert set(shrink_faults(faults, SoakRule.LOST, run_faults, runs_per_candidate=1)) == needed
    assert len(run_sizes) <= 40


# rule checker


class HistoryBuilder:
    """Builder of a history; times are in seconds from its start."""

    def __init__(self) -> None:
        self.history = History()
        self.start_s = self.history.started_s
        for forwarder in ("f00", "f01"):
            self.add(0.0, EventKind.PROCESS, forwarder, detail="started")
            self.add(0.5, EventKind.PROCESS, forwarder, detail="ready", amount=0.5)
        self.faults: list[Fault] = []

    def add(
        self, time_s: float, kind: EventKind, forwarder: str = "f00", message: str = "", endpoint: str = "",
        detail: str = "", amount: float = 0.0,
    ) -> None:  # fmt: skip
        amount += self.start_s if kind is EventKind.CALL else 0.0
        self.history.add(kind, forwarder, message, endpoint, detail, amount, self.start_s + time_s)

    def accept(
        self,
        message: str,
        time_s: float,
        class_name: str = "note",
        time_left_s: float = 3.0,
        order_key: str = "",
    ) -> None:
        request = ClientRequest(message, "f00", class_name, 1, self.start_s + time_s, time_left_s, order_key)
        self.history.requests[message] = request
        self.add(time_s, EventKind.REQUEST, message=message, detail="new")
        self.add(time_s + 0.01, EventKind.ANSWER, message=message, detail="202")

    def call(
        self, message: str, time_s: float, end_s: float | None = None, outcome: str = "200",
        endpoint: str = "e1", retry_after_s: float = 0.0,
    ) -> None:  # fmt: skip
        self.add(time_s, EventKind.CALL, message=message, endpoint=endpoint, amount=time_s)
        if end_s is not None:
            kind = EventKind.CALL_ANSWERED if outcome.isdigit() else EventKind.CALL_CLOSED
            self.add(end_s, kind, message=message, endpoint=endpoint, detail=outcome, amount=retry_after_s)

    def notify(self, message: str, time_s: float, outcome: str = "given_up") -> None:
        self.add(time_s, EventKind.NOTIFIED, message=message, detail=outcome)

    def broken_rules(self) -> list[str]:
        checker = RuleChecker(self.history, self.faults, self.start_s, DESTINATIONS)
        return sorted(each.rule.value for each in checker.check())


def test_checker_accepts_correct_histories() -> None:
    builder = HistoryBuilder()
    builder.accept("m1", 1.0, "pay")
    builder.call("m1", 1.1, 1.2, "503")
    builder.call("m1", 1.6, 1.7)
    builder.accept("m2", 1.0, "post", 5.0)
    builder.call("m2", 1.1, 2.3, "forwarder")
    builder.call("m2", 2.5, 2.6)
    builder.accept("m3", 1.0)
    builder.notify("m3", 3.9)
    assert builder.broken_rules() == []


@pytest.mark.parametrize(
    ("case", "rules"),
    [
        ("no result", ["lost"]),
        ("late result", ["lost"]),
        ("late result after restart", []),
        ("call after deadline", ["lost", "lost"]),
        ("call after notification", ["lost"]),
        ("call after 410", ["lost"]),
        ("call after 504", ["lost"]),
        ("504 without a notification", ["lost"]),
        ("call after 410 and a kill", ["lost"]),
        ("call after 410 unread at a kill", []),
        ("call before 410 of an earlier one", []),
        ("new connection closed", ["lost"]),
        ("new connection closed by killed process", []),
        ("concurrent calls", ["duplicate"]),
        ("single_shot repeated", ["duplicate"]),
        ("repeated after idempotency window", ["duplicate"]),
        ("drain", ["drain"]),
        ("drain not received", ["drain"]),
        ("order", ["order"]),
        ("pause of order key", ["order"]),
        ("wait", ["wait"]),
        ("wait with restart", []),
        ("overload", ["overload"]),
        ("crash", ["crash"]),
        ("torn write", []),
        ("slow start", ["ready"]),
        ("incomplete request", ["bad_client"]),
    ],
)
def test_checker_finds_violations_of_each_rule(case: str, rules: list[str]) -> None:
    builder = HistoryBuilder()
    _record_case(builder, case)
    assert builder.broken_rules() == rules


def _record_case(builder: HistoryBuilder, case: str) -> None:
    if case in ("drain", "drain not received", "overload", "wait", "wait with restart"):
        _record_endpoint_case(builder, case)
    elif case in ("crash", "torn write", "slow start", "incomplete request"):
        _record_process_case(builder, case)
    elif case in ("order", "pause of order key"):
        builder.accept("m1", 1.0, "step", order_key="k")
        builder.accept("m2", 1.1, "step", order_key="k")
        builder.call("m1", 1.2, 1.5, "200" if case == "order" else "endpoint")
        if case == "pause of order key":
            builder.notify("m1", 1.51)
        builder.call("m2", 1.3 if case == "order" else 1.52, 1.6)
    elif "410" in case or "504" in case:
        _record_end_case(builder, case)
    else:
        _record_message_case(builder, case)


def _record_message_case(builder: HistoryBuilder, case: str) -> None:
    name = {"single_shot repeated": "pay", "repeated after idempotency window": "post"}.get(case, "note")
    builder.accept("m1", 1.0, name, 5.0 if name == "post" else 3.0)
    if "late result" in case:
        builder.notify("m1", 5.5)
        if "restart" in case:
            builder.add(3.9, EventKind.PROCESS, detail="SIGKILL")
            builder.add(4.6, EventKind.PROCESS, detail="ready", amount=0.4)
    elif case == "call after deadline":
        builder.call("m1", 4.5, 4.6)
    elif case == "call after notification":
        builder.notify("m1", 1.5)
        builder.call("m1", 1.8, 1.9)
    elif case.startswith("new connection closed"):
        builder.call("m1", 1.1, 1.2)
        request = ClientRequest("m2", "f00", "note", 1, builder.start_s + 2.0, 3.0)
        builder.history.requests["m2"] = request
        builder.add(2.0, EventKind.NO_ANSWER, message="m2", detail="closed new")
        if "killed" in case:
            builder.add(1.9, EventKind.PROCESS, detail="SIGKILL")
    elif case == "concurrent calls":
        builder.call("m1", 1.1, 2.0)
        builder.call("m1", 1.5, 2.1, endpoint="e2")
    elif case == "single_shot repeated":
        builder.call("m1", 1.1, 1.2, "500")
        builder.call("m1", 1.5, 1.6)
    elif case == "repeated after idempotency window":
        builder.call("m1", 1.1, 2.3, "forwarder")
        builder.call("m1", 2.8, 2.9)


def _record_end_case(builder: HistoryBuilder, case: str) -> None:
    builder.accept("m1", 1.0)
    builder.call("m1", 1.1, 1.2, "503")
    builder.call("m1", 1.5, 1.501, "504" if "504" in case else "410")
    if "kill" in case:
        builder.add(1.54 if "unread" in case else 1.7, EventKind.PROCESS, detail="SIGKILL")
        builder.add(2.3, EventKind.PROCESS, detail="started")
        builder.add(2.5, EventKind.PROCESS, detail="ready", amount=0.2)
    if case.startswith("call after"):
        builder.call("m1", 2.6, 2.7, "503" if "504" in case else "410")
    if case == "call after 504":
        builder.notify("m1", 3.0)


def _record_endpoint_case(builder: HistoryBuilder, case: str) -> None:
    if case.startswith("drain"):
        builder.add(1.0, EventKind.FAULT, "", endpoint="e1", detail="listed as leaving")
        if case == "drain":
            builder.add(1.1, EventKind.LISTED, endpoint="e1", detail="leaving")
        sent_s = 2.5 if case == "drain" else 8.5
        builder.accept("m1", sent_s - 0.2)
        builder.call("m1", sent_s, sent_s + 0.1)
    elif case.startswith("wait"):
        builder.accept("m1", 1.0)
        builder.accept("m2", 1.0)
        builder.call("m1", 1.1, 1.2, "429", retry_after_s=1.0)
        if "restart" in case:
            builder.add(1.3, EventKind.PROCESS, detail="SIGKILL")
            builder.add(1.4, EventKind.PROCESS, detail="started")
            builder.add(1.5, EventKind.PROCESS, detail="ready", amount=0.1)
        builder.call("m2", 1.8, 1.9, endpoint="e2")  # same destination
        builder.call("m1", 2.5, 2.6)
    else:
        builder.faults.append(Fault(FaultKind.OUTAGE, 1.0, 3.0, "2"))
        for number in range(200):
            builder.accept(f"m{number}", 4.0)
            builder.call(f"m{number}", 4.1 + number / 1000, 4.5, endpoint="e3")


def _record_process_case(builder: HistoryBuilder, case: str) -> None:
    if case == "incomplete request":
        builder.add(5.0, EventKind.BAD_CLIENT, detail="unanswered")
    elif case == "slow start":
        builder.add(1.0, EventKind.PROCESS, detail="SIGKILL")
        builder.add(13.0, EventKind.PROCESS, detail="ready", amount=12.0)
    else:
        detail = "exited -9" if case == "torn write" else "exited 1"
        builder.add(3.0, EventKind.PROCESS, detail=detail)
        if case == "torn write":
            builder.faults.append(Fault(FaultKind.TORN_WRITE, 2.5, 1.0, "f00"))


def test_http_messages_are_parsed_from_pieces_with_arrival_times() -> None:
    from honeybarrow.soak.http_messages import HttpMessageReader

    reader = HttpMessageReader()
    data = b"POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPOST /y HTTP/1.1\r\n\r\n"
    rng, messages, time_s = random.Random(4), [], 0.0
    while data:
        size = rng.randrange(1, 9)
        messages += reader.receive(data[:size], time_s)
        data, time_s = data[size:], time_s + 1.0
    assert [(each.start_line.split()[1], each.body) for each in messages] == [("/x", b"abc"), ("/y", b"")]
    assert messages[0].first_byte_s == 0.0 < messages[0].last_byte_s <= messages[1].first_byte_s


@pytest.mark.parametrize("ending", ["open", "closed", "lost"])
def test_bytes_that_the_transport_drops_do_not_count_as_written(ending: str) -> None:
    """Guards against answers that nobody was sent, which would hide lost messages from the checker."""

    async def run() -> list[float]:
        loop, written = asyncio.get_running_loop(), list[float]()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            far = socket.create_connection(listener.getsockname())
            near, _ = listener.accept()
        near.setblocking(False)
        connection = LinkConnection(LinkCondition())
        await loop.connect_accepted_socket(lambda: connection, near)
        if ending == "closed":
            connection.close()
        elif ending == "lost":
            far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            far.close()  # a reset that the loop has not noticed yet
        connection.send(b"HTTP/1.1 200 OK\r\n\r\n", written.append)
        await asyncio.sleep(0.05)
        connection.send(b"more", written.append)
        connection.close()
        far.close()
        return written

    assert len(asyncio.run(run())) == (2 if ending == "open" else 0)


def test_each_soak_mutant_can_be_created(tmp_path: Path) -> None:
    for number, mutant in enumerate(MUTANTS.values()):
        make_source(mutant, tmp_path / str(number))

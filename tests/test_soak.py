"""The soak: short seeded runs, the judge on histories made by hand, the plan, and the shrinking of a run.

The long runs are made by hand; their figures stand in ``docs/incidents`` and ``docs/soak.md``.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from pathlib import Path

import pytest

from benchmarks.soak_mutants import MUTANTS, make_source
from honeybarrow.soak.fault_shim import NoCompilerError, build_shim
from honeybarrow.soak.history import EventKind, History, RequestFacts
from honeybarrow.soak.plan import Fault, FaultKind, SoakSpec, draw_faults
from honeybarrow.soak.rules import Judge, SoakRule
from honeybarrow.soak.run import SoakResult, play
from honeybarrow.soak.shrink import shrink_faults

FORWARDERS = [f"f{number:02d}" for number in range(6)]
ENDPOINTS = ["e1", "e2"]
DESTINATIONS = {"e1": 1, "e2": 1, "e3": 2}


def play_short(folder: Path, spec: SoakSpec, source: Path | None = None) -> SoakResult:
    """Play a run, or skip it where its faults can't be injected."""
    try:
        library = build_shim(folder)
    except NoCompilerError as error:
        pytest.skip(f"no soak without a compiler: {error}")
    return play(spec, folder / "run", library, source=source)


@pytest.mark.parametrize("seed", [101, 102])
def test_short_runs_under_all_kinds_of_faults_keep_the_rules(tmp_path: Path, seed: int) -> None:
    result = play_short(tmp_path, SoakSpec(seed, forwarders=10, load_s=10.0, faults=40))
    stories = [
        f"{each.rule} {each.forwarder} {each.message} {each.text}\n"
        + "\n".join(result.history.story(each.message) if each.message else ())
        for each in result.violations
    ]
    assert result.has_passed, "\n".join([*stories, *result.guard_violations])
    assert result.counts["accepted"] > 200 and result.counts["calls"] > 200


def test_a_run_without_faults_delivers_everything(tmp_path: Path) -> None:
    result = play_short(tmp_path, SoakSpec(1, forwarders=3, load_s=4.0, faults=0))
    assert result.has_passed
    assert result.counts["delivered"] == result.counts["accepted"] == result.counts["requests"] > 20


def test_a_planted_fault_is_found_by_the_judge_and_by_the_guard(tmp_path: Path) -> None:
    """A policy that repeats what must not run twice: the guard stops and counts it; without it, the judge."""
    kinds = (FaultKind.ENDPOINT_MODE, FaultKind.LINK)
    spec = SoakSpec(1, forwarders=6, load_s=6.0, faults=30, kinds=kinds)
    mutant = MUTANTS["non-idempotent messages are repeated"]
    unguarded = make_source(mutant, tmp_path / "unguarded")
    found = play_short(tmp_path, spec, unguarded)
    assert SoakRule.DUPLICATE in {each.rule for each in found.violations}
    policy_alone = type(mutant)(mutant.changes[:1], mutant.kinds)
    guarded = make_source(policy_alone, tmp_path / "guarded")
    (tmp_path / "second").mkdir()
    stopped = play_short(tmp_path / "second", spec, guarded)
    assert stopped.guard_violations
    assert {each.rule for each in stopped.violations} == {SoakRule.GUARD}


# the plan


def test_a_plan_is_drawn_from_its_seed_alone() -> None:
    spec = SoakSpec(7, faults=80)
    first = draw_faults(spec, FORWARDERS, ENDPOINTS)
    assert first == draw_faults(spec, FORWARDERS, ENDPOINTS)
    assert first != draw_faults(SoakSpec(8, faults=80), FORWARDERS, ENDPOINTS)
    assert [each.start_s for each in first] == sorted(each.start_s for each in first)
    kinds = {each.kind for seed in range(30) for each in draw_faults(SoakSpec(seed), FORWARDERS, ENDPOINTS)}
    assert kinds == set(FaultKind)


def test_shrinking_keeps_the_faults_that_a_broken_rule_needs() -> None:
    faults = draw_faults(SoakSpec(3, faults=24), FORWARDERS, ENDPOINTS)
    needed = {faults[5], faults[17]}
    plays = []

    def play_faults(left: Sequence[Fault]) -> frozenset[SoakRule]:
        plays.append(len(left))
        return frozenset({SoakRule.LOST}) if needed <= set(left) else frozenset({SoakRule.DRAIN})

    assert set(shrink_faults(faults, SoakRule.LOST, play_faults, tries=1)) == needed
    assert len(plays) <= 40


# the judge


class Story:
    """A history written by hand; times are seconds from its start."""

    def __init__(self) -> None:
        self.history = History()
        self.start_s = self.history.started_s
        for forwarder in ("f00", "f01"):
            self.add(0.0, EventKind.PROCESS, forwarder, detail="started")
            self.add(0.5, EventKind.PROCESS, forwarder, detail="ready", amount=0.5)
        self.faults: list[Fault] = []

    def add(
        self, at_s: float, kind: EventKind, forwarder: str = "f00", message: str = "", endpoint: str = "",
        detail: str = "", amount: float = 0.0,
    ) -> None:  # fmt: skip
        amount += self.start_s if kind is EventKind.CALL else 0.0
        self.history.add(kind, forwarder, message, endpoint, detail, amount, self.start_s + at_s)

    def accept(
        self, message: str, at_s: float, name: str = "note", left_s: float = 3.0, key: str = ""
    ) -> None:
        facts = RequestFacts(message, "f00", name, 1, self.start_s + at_s, left_s, key)
        self.history.requests[message] = facts
        self.add(at_s, EventKind.REQUEST, message=message, detail="new")
        self.add(at_s + 0.01, EventKind.ANSWER, message=message, detail="202")

    def call(
        self, message: str, at_s: float, end_s: float | None = None, how: str = "200", endpoint: str = "e1",
        wait_s: float = 0.0,
    ) -> None:  # fmt: skip
        self.add(at_s, EventKind.CALL, message=message, endpoint=endpoint, amount=at_s)
        if end_s is not None:
            kind = EventKind.CALL_ANSWERED if how.isdigit() else EventKind.CALL_CLOSED
            self.add(end_s, kind, message=message, endpoint=endpoint, detail=how, amount=wait_s)

    def notify(self, message: str, at_s: float, outcome: str = "given_up") -> None:
        self.add(at_s, EventKind.NOTIFIED, message=message, detail=outcome)

    def rules(self) -> list[str]:
        judge = Judge(self.history, self.faults, self.start_s, DESTINATIONS)
        return sorted(each.rule.value for each in judge.judge())


def test_the_judge_passes_what_keeps_the_rules() -> None:
    story = Story()
    story.accept("m1", 1.0, "pay")
    story.call("m1", 1.1, 1.2, "503")
    story.call("m1", 1.6, 1.7)
    story.accept("m2", 1.0, "post", 5.0)
    story.call("m2", 1.1, 2.3, "forwarder")
    story.call("m2", 2.5, 2.6)
    story.accept("m3", 1.0)
    story.notify("m3", 3.9)
    assert story.rules() == []


@pytest.mark.parametrize(
    ("what", "rules"),
    [
        ("never ended", ["lost"]),
        ("ended late", ["lost"]),
        ("ended late by a restart", []),
        ("forwarded after its time", ["lost", "lost"]),
        ("forwarded after its notification", ["lost"]),
        ("closed on a new connection", ["lost"]),
        ("closed on a new connection of a process that is killed", []),
        ("two calls at once", ["duplicate"]),
        ("pay repeated", ["duplicate"]),
        ("key repeated late", ["duplicate"]),
        ("drain", ["drain"]),
        ("drain by a list that never came", ["drain"]),
        ("order", ["order"]),
        ("key rest", ["order"]),
        ("wait", ["wait"]),
        ("wait and restart", []),
        ("overload", ["overload"]),
        ("crash", ["crash"]),
        ("torn write", []),
        ("slow start", ["ready"]),
        ("bad client", ["bad_client"]),
    ],
)
def test_the_judge_finds_each_rule(what: str, rules: list[str]) -> None:
    story = Story()
    _tell(story, what)
    assert story.rules() == rules


def _tell(story: Story, what: str) -> None:
    if what in ("drain", "drain by a list that never came", "overload", "wait", "wait and restart"):
        _tell_of_endpoints(story, what)
    elif what in ("crash", "torn write", "slow start", "bad client"):
        _tell_of_processes(story, what)
    elif what in ("order", "key rest"):
        story.accept("m1", 1.0, "step", key="k")
        story.accept("m2", 1.1, "step", key="k")
        story.call("m1", 1.2, 1.5, "200" if what == "order" else "endpoint")
        if what == "key rest":
            story.notify("m1", 1.51)
        story.call("m2", 1.3 if what == "order" else 1.52, 1.6)
    else:
        _tell_of_one_message(story, what)


def _tell_of_one_message(story: Story, what: str) -> None:
    name = {"pay repeated": "pay", "key repeated late": "post"}.get(what, "note")
    story.accept("m1", 1.0, name, 5.0 if name == "post" else 3.0)
    if "ended late" in what:
        story.notify("m1", 5.5)
        if "restart" in what:
            story.add(3.9, EventKind.PROCESS, detail="SIGKILL")
            story.add(4.6, EventKind.PROCESS, detail="ready", amount=0.4)
    elif what == "forwarded after its time":
        story.call("m1", 4.5, 4.6)
    elif what == "forwarded after its notification":
        story.notify("m1", 1.5)
        story.call("m1", 1.8, 1.9)
    elif what.startswith("closed on a new connection"):
        story.call("m1", 1.1, 1.2)
        facts = RequestFacts("m2", "f00", "note", 1, story.start_s + 2.0, 3.0)
        story.history.requests["m2"] = facts
        story.add(2.0, EventKind.NO_ANSWER, message="m2", detail="closed new")
        if "killed" in what:
            story.add(1.9, EventKind.PROCESS, detail="SIGKILL")
    elif what == "two calls at once":
        story.call("m1", 1.1, 2.0)
        story.call("m1", 1.5, 2.1, endpoint="e2")
    elif what == "pay repeated":
        story.call("m1", 1.1, 1.2, "500")
        story.call("m1", 1.5, 1.6)
    elif what == "key repeated late":
        story.call("m1", 1.1, 2.3, "forwarder")
        story.call("m1", 2.8, 2.9)


def _tell_of_endpoints(story: Story, what: str) -> None:
    if what.startswith("drain"):
        story.add(1.0, EventKind.FAULT, "", endpoint="e1", detail="listed as leaving")
        if what == "drain":
            story.add(1.1, EventKind.LISTED, endpoint="e1", detail="leaving")
        sent_s = 2.5 if what == "drain" else 8.5
        story.accept("m1", sent_s - 0.2)
        story.call("m1", sent_s, sent_s + 0.1)
    elif what.startswith("wait"):
        story.accept("m1", 1.0)
        story.accept("m2", 1.0)
        story.call("m1", 1.1, 1.2, "429", wait_s=1.0)
        if "restart" in what:
            story.add(1.3, EventKind.PROCESS, detail="SIGKILL")
            story.add(1.4, EventKind.PROCESS, detail="started")
            story.add(1.5, EventKind.PROCESS, detail="ready", amount=0.1)
        story.call("m2", 1.8, 1.9, endpoint="e2")  # of the same destination
        story.call("m1", 2.5, 2.6)
    else:
        story.faults.append(Fault(FaultKind.OUTAGE, 1.0, 3.0, "2"))
        for number in range(200):
            story.accept(f"m{number}", 4.0)
            story.call(f"m{number}", 4.1 + number / 1000, 4.5, endpoint="e3")


def _tell_of_processes(story: Story, what: str) -> None:
    if what == "bad client":
        story.add(5.0, EventKind.BAD_CLIENT, detail="left alone")
    elif what == "slow start":
        story.add(1.0, EventKind.PROCESS, detail="SIGKILL")
        story.add(13.0, EventKind.PROCESS, detail="ready", amount=12.0)
    else:
        detail = "exited -9" if what == "torn write" else "exited 1"
        story.add(3.0, EventKind.PROCESS, detail=detail)
        if what == "torn write":
            story.faults.append(Fault(FaultKind.TORN_WRITE, 2.5, 1.0, "f00"))


def test_messages_are_read_in_pieces_with_the_times_of_their_bytes() -> None:
    from honeybarrow.soak.http_messages import HttpMessageReader

    reader = HttpMessageReader()
    data = b"POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPOST /y HTTP/1.1\r\n\r\n"
    rng, found, at_s = random.Random(4), [], 0.0
    while data:
        size = rng.randrange(1, 9)
        found += reader.receive(data[:size], at_s)
        data, at_s = data[size:], at_s + 1.0
    assert [(each.start_line.split()[1], each.body) for each in found] == [("/x", b"abc"), ("/y", b"")]
    assert found[0].first_byte_s == 0.0 < found[0].last_byte_s <= found[1].first_byte_s


def test_each_mutant_of_the_soak_can_be_made(tmp_path: Path) -> None:
    for number, mutant in enumerate(MUTANTS.values()):
        make_source(mutant, tmp_path / str(number))

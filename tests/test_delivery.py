"""Tests of the forwarder on a simulated clock with a fake transport."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from honeybarrow.actions import Action
from honeybarrow.addressing.address import Address
from honeybarrow.delivery import AttemptOutcome, Failed, Forwarder, MailPayload, Refused, Submission
from honeybarrow.events import AttemptStatus, Endpoint, EndpointState, Event, MembershipUpdate, UpdateKind
from honeybarrow.mail import Path
from honeybarrow.ports import AttemptPermit
from tests.helpers import make_settings
from tests.live import RecordingLog

PAYLOAD = MailPayload(Path("", ""), Path("note", "p.example"), b"x\r\n")


class FakeTransport:
    """Records calls; the test resolves their outcomes."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Deferred[AttemptOutcome]]] = []
        self.permits: list[AttemptPermit] = []

    def call(
        self,
        target: str,
        addresses: list[Address],
        payload: MailPayload,
        timeout_us: int,
        permit: AttemptPermit,
    ) -> Deferred[AttemptOutcome]:
        outcome: Deferred[AttemptOutcome] = Deferred()
        self.permits.append(permit)
        self.calls.append((target, outcome))
        return outcome

    def close_idle(self, target: str) -> None: ...


class ClockedForwarder:
    """A forwarder on a simulated clock; ``time_offset_us`` shifts the time that it reads."""

    def __init__(self, **changes: Any) -> None:
        self.clock, self.transport, self.time_offset_us = Clock(), FakeTransport(), 0
        self.crashes: list[Exception] = []
        transport: Any = self.transport
        self.forwarder = Forwarder(
            make_settings(**changes),
            1,
            self.clock,
            lambda: 10_000_000 + int(self.clock.seconds() * 1e6) + self.time_offset_us,
            transport,
            lambda target: [Address("127.0.0.1", 1)],
            lambda: None,
            RecordingLog(),
            self.crashes.append,
        )
        endpoint = Endpoint("a", 1, EndpointState.READY, "shop")
        self.forwarder.apply_membership_update(MembershipUpdate(UpdateKind.FULL, 1, (endpoint,)))
        self.clock.advance(0)

    def submit(self, message: str, time_left_us: int = 4_000_000, class_name: str = "note") -> list[Any]:
        results: list[Any] = []
        self.forwarder.submit(Submission(message, class_name, 1, time_left_us, PAYLOAD)).addBoth(
            results.append
        )
        return results

    def run(self, seconds: float) -> None:
        self.clock.pump([0.01] * int(seconds * 100))


def test_backward_clock_step_neither_crashes_the_policy_nor_loses_a_message() -> None:
    clocked = ClockedForwarder()
    results = clocked.submit("m1")
    clocked.run(0.5)
    clocked.time_offset_us = -5_000_000
    clocked.run(0.5)
    for _ in range(200):
        for (_, call), permit in zip(clocked.transport.calls, clocked.transport.permits, strict=True):
            if not call.called and permit.record_start() == "":
                call.callback(AttemptOutcome(AttemptStatus.ERROR))
            elif not call.called:
                call.callback(AttemptOutcome(AttemptStatus.NOT_SENT, True))
        clocked.run(0.1)
    assert len(results) == 1 and isinstance(results[0], Refused) and clocked.crashes == []


def test_raising_transport_frees_its_slot_and_counts_as_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clocked = ClockedForwarder()

    def raise_error(*args: Any) -> Any:
        raise RuntimeError("no transport")

    monkeypatch.setattr(clocked.transport, "call", raise_error)
    results = clocked.submit("m1", class_name="pay")
    clocked.run(6.0)
    assert clocked.forwarder.calls_in_flight == 0 and len(results) == 1 and isinstance(results[0], Refused)


def test_delayed_turn_does_not_extend_the_time_of_a_message() -> None:
    clocked = ClockedForwarder()
    results = clocked.submit("m1", 1_000_000)
    clocked.clock.rightNow += 0.9  # a delayed turn leaves 0.1 s
    clocked.clock.advance(0)
    clocked.run(0.11)
    for _, call in clocked.transport.calls:
        if not call.called:
            call.callback(AttemptOutcome(AttemptStatus.TIMEOUT, True))
    clocked.run(0.02)
    assert len(results) == 1 and clocked.forwarder.open_count == 0


def test_delayed_turn_does_not_extend_the_retry_window_of_an_ambiguous_message() -> None:
    clocked = ClockedForwarder()
    resumed = Submission(
        "m1", "post", 1, 9_000_000, PAYLOAD, is_resumed=True, attempts=1, ambiguous_age_us=4_500_000
    )
    results: list[Any] = []
    clocked.forwarder.submit(resumed).addBoth(results.append)
    clocked.clock.rightNow += 0.3  # a delayed turn leaves 0.2 s of the window of the idempotency key
    clocked.clock.advance(0)
    assert len(clocked.transport.calls) == 1
    assert 180_000 <= clocked.transport.permits[0].time_left_us() <= 200_000


def test_events_of_one_turn_are_passed_to_the_policy_together() -> None:
    clocked = ClockedForwarder(slots=8)
    event_counts: list[int] = []
    handle = clocked.forwarder.sender.handle

    def count_and_handle(now_us: int, events: Sequence[Event]) -> list[Action]:
        event_counts.append(len(events))
        return handle(now_us, events)

    clocked.forwarder.sender.handle = count_and_handle  # type: ignore[method-assign]
    for number in range(5):
        clocked.submit(f"m{number}")
    clocked.clock.advance(0)
    assert event_counts == [5] and len(clocked.transport.calls) > 1


def test_policy_error_fails_all_open_messages() -> None:
    clocked = ClockedForwarder()
    results = clocked.submit("m1")
    clocked.forwarder.sender.handle = lambda now, events: [][0]  # type: ignore[method-assign, assignment]
    clocked.clock.advance(0)
    assert [type(result) for result in results] == [Failed] and len(clocked.crashes) == 1


def test_withdrawn_message_keeps_its_slot_until_its_call_ends() -> None:
    clocked = ClockedForwarder(slots=1)
    events: list[Any] = []
    clocked.forwarder.on_withdrawn = lambda *args: events.append(("withdrawn", *args))
    clocked.forwarder.on_last_attempt_finished = lambda message, outcome, is_ambiguous: events.append(
        ("last attempt finished", message, is_ambiguous)
    )
    withdrawn = clocked.forwarder.submit(Submission("m1", "pay", 1, 4_000_000, PAYLOAD))
    errors: list[Any] = []

    def record_error(failure: Failure) -> None:
        errors.append(failure.type)

    withdrawn.addErrback(record_error)
    clocked.run(0.05)
    withdrawn.cancel()
    clocked.run(0.05)
    results = clocked.submit("m2")
    clocked.run(0.05)
    assert (
        len(clocked.transport.calls) == 1
        and events == [("withdrawn", "m1", 1, False)]
        and errors == [CancelledError]
    )
    clocked.transport.calls[0][1].callback(AttemptOutcome(AttemptStatus.RESET))
    clocked.run(0.5)
    assert events[1:] == [("last attempt finished", "m1", True)] and len(clocked.transport.calls) == 2
    clocked.transport.calls[1][1].callback(AttemptOutcome(AttemptStatus.OK))
    clocked.run(0.05)
    assert len(results) == 1 and clocked.forwarder._messages == {}


def test_duplicate_id_and_unknown_class_are_rejected() -> None:
    clocked = ClockedForwarder()
    clocked.submit("m1")
    with pytest.raises(ValueError, match="already in flight"):
        clocked.submit("m1")
    with pytest.raises(ValueError, match="unknown message class"):
        clocked.submit("m2", class_name="what")

"""What a new process sends by its saved list, on real processes with pushed lists.

Guards against review case 3: after a kill, messages went by the saved list to the address of an endpoint that
had left, where an endpoint of another destination was, while discovery was about to answer.
The cases are rows of the table in ``honeybarrow.node.list_validity``; those in which discovery rejects calls
are in ``test_discovery_table_processes``.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import pytest

from honeybarrow.node.discovery import RESPONSE_TIMEOUT_S
from honeybarrow.node.list_validity import (
    MAX_LIST_AGE_AFTER_START_S,
    MAX_LIST_AGE_S,
    CallEnding,
    DiscoveryState,
    ListValidity,
)
from tests.platform_harness import TARGET_ANSWER, ReplacedEndpointHarness, read_message
from tests.test_service_on_platform import SETTINGS

RESTART_DELAY_S = 0.6  # of a killed process, defined by the platform
MESSAGES = ("note-1", "pay-1", "note-2", "pay-2")
WAIT_ANSWER = b"HTTP/1.1 429 Full\r\nX-Come-Back-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True)
class Discovery:
    """How discovery treats the watch of the new process."""

    delay_s: float = 0.0  # before its first answer
    answer: str = "list"  # list, heartbeat, head, nothing or refusal
    is_changed: bool = False  # the endpoint is replaced; its address passes to another destination


class ReplacedEndpointPlatform(ReplacedEndpointHarness):
    """A platform with pushed lists, whose discovery treats the watch of a new process in some way."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, {**SETTINGS, "membershipMode": "pushed"})
        self.behavior = Discovery()

    async def discovery(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            if message[0].startswith("POST /reports"):
                self.notifications += [json.loads(line) for line in message[2].splitlines()]
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                continue
            await asyncio.sleep(self.behavior.delay_s)
            if self.behavior.answer != "nothing":
                await self._write_watch(writer)

    async def _write_watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(WATCH_HEAD)
        if self.behavior.answer == "head":
            return
        is_list = self.behavior.answer == "list"
        line = json.dumps(self.endpoint_list(42, True)).encode() + b"\n" if is_list else b"\n"
        while True:
            writer.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")
            await writer.drain()
            line = b"\n"
            await asyncio.sleep(1)

    def has_read_all_answers(self) -> bool:
        """Return whether the forwarder knows that no call has run; a kill before that leaves it ambiguous."""
        return 0 < len(self.called_at) <= self.read_log().count("response_status=429")

    async def restart_with(self, behavior: Discovery) -> float:
        """Kill the forwarder, let discovery behave so from then on, start again; return when it started."""
        await self.end_forwarder(signal.SIGKILL)
        self.called_at.clear()
        self.choose_answer = lambda message: TARGET_ANSWER
        self.configure()  # while the list is as the forwarder last had it
        self.behavior, self.is_replaced = behavior, behavior.is_changed
        if behavior.answer == "refusal":
            self.servers[1].close()
        await asyncio.sleep(RESTART_DELAY_S)
        started_s = time.monotonic()
        await self.start_forwarder()
        return started_s


LATE = [
    Discovery(delay_s, is_changed=is_changed) for delay_s in (1.25, 1.5, 1.9) for is_changed in (True, False)
]
# Behavior of discovery, earliest and latest first call to an endpoint after the start.
CASES = [
    (Discovery(is_changed=True), 0.0, 3.0),
    *((each, each.delay_s, each.delay_s + 3.0) for each in LATE),
    (Discovery(answer="refusal"), 0.0, 3.0),
    (Discovery(answer="heartbeat"), 0.0, 3.0),
    (Discovery(answer="nothing"), RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_S + 3.0),
    (Discovery(answer="head"), RESPONSE_TIMEOUT_S, 2 * RESPONSE_TIMEOUT_S + 3.4),
]


@pytest.mark.parametrize(("behavior", "earliest_s", "latest_s"), CASES, ids=str)
def test_a_new_process_sends_by_the_list_that_counts(
    tmp_path: Path, behavior: Discovery, earliest_s: float, latest_s: float
) -> None:
    async def scenario(platform: ReplacedEndpointPlatform) -> None:
        platform.choose_answer = lambda message: WAIT_ANSWER
        for message in MESSAGES:
            assert await platform.submit(message, message.split("-")[0]) == 202
        await platform.wait_until(platform.has_read_all_answers)  # the others wait for the same time
        started_s = await platform.restart_with(behavior)
        await platform.wait_until(
            lambda: {call[1] for call in platform.called_at} == {*MESSAGES}, latest_s + 2.0
        )
        assert platform.notifications == [] and len(platform.called_at) == len(MESSAGES)
        expected = "replacement" if behavior.is_changed else "target"
        assert {call[0] for call in platform.called_at} == {expected}
        first_s = min(call[2] for call in platform.called_at) - started_s
        assert earliest_s <= first_s <= latest_s

    async def run() -> None:
        platform = ReplacedEndpointPlatform(tmp_path)
        try:
            await platform.start_peers()
            await platform.start_forwarder()
            await scenario(platform)
        finally:
            await platform.close()

    asyncio.run(run())


def make_validity(state: DiscoveryState, is_pushed: bool = False) -> ListValidity:
    """Return the decisions of a process that started at 100 s and has reached a state."""
    validity = ListValidity(100.0, is_pushed)
    if state in (DiscoveryState.CURRENT, DiscoveryState.SILENT, DiscoveryState.WENT_DOWN):
        validity.on_confirmed(100.0)
    match state:
        case DiscoveryState.SILENT:
            validity.on_watch_silent()
        case DiscoveryState.WENT_DOWN:
            validity.on_watch_ended()
        case DiscoveryState.UNREACHABLE:
            validity.on_call_ended(CallEnding.REFUSED)
        case DiscoveryState.BREAKING:
            validity.on_call_ended(CallEnding.BROKEN)
        case DiscoveryState.REJECTING:
            validity.on_call_ended(CallEnding.REJECTED)
    assert validity.state is state
    return validity


UNKNOWN, UNREACHABLE, SILENT = DiscoveryState.UNKNOWN, DiscoveryState.UNREACHABLE, DiscoveryState.SILENT
WENT_DOWN, BREAKING, REJECTING = DiscoveryState.WENT_DOWN, DiscoveryState.BREAKING, DiscoveryState.REJECTING
STATES = (UNKNOWN, UNREACHABLE, SILENT, WENT_DOWN, BREAKING, REJECTING)
# For each end of a call: the states that follow those of STATES, in their order.
NEXT_STATES = {
    CallEnding.REFUSED: (UNREACHABLE, UNREACHABLE, UNREACHABLE, WENT_DOWN, UNREACHABLE, REJECTING),
    CallEnding.UNREACHED: (UNREACHABLE, UNREACHABLE, SILENT, WENT_DOWN, BREAKING, REJECTING),
    CallEnding.LOCAL_ERROR: STATES,
    CallEnding.SHED: (REJECTING,) * 6,
    CallEnding.REJECTED: (REJECTING, REJECTING, REJECTING, WENT_DOWN, REJECTING, REJECTING),
    CallEnding.BROKEN: (BREAKING, BREAKING, BREAKING, WENT_DOWN, BREAKING, REJECTING),
    CallEnding.UNANSWERED: (UNREACHABLE, UNREACHABLE, SILENT, WENT_DOWN, BREAKING, REJECTING),
}


@pytest.mark.parametrize("ending", CallEnding)
@pytest.mark.parametrize("state", STATES)
def test_what_is_known_of_discovery_decides_what_the_end_of_a_call_tells(
    state: DiscoveryState, ending: CallEnding
) -> None:
    validity = make_validity(state)
    validity.on_call_ended(ending)
    assert validity.state is NEXT_STATES[ending][STATES.index(state)]


@pytest.mark.parametrize(
    ("state", "is_pushed", "limit_s"),
    [
        (UNKNOWN, False, 100.0 + MAX_LIST_AGE_AFTER_START_S),
        (UNKNOWN, True, 100.0),
        (BREAKING, False, 100.0 + MAX_LIST_AGE_AFTER_START_S),
        (REJECTING, False, 100.0 + MAX_LIST_AGE_AFTER_START_S),
        (REJECTING, True, 100.0),
        (SILENT, True, 100.0 + MAX_LIST_AGE_S),
        (UNREACHABLE, True, None),
        (WENT_DOWN, False, None),
        (DiscoveryState.CURRENT, True, None),
    ],
)
def test_each_state_allows_calls_until_its_limit(
    state: DiscoveryState, is_pushed: bool, limit_s: float | None
) -> None:
    validity = make_validity(state, is_pushed)
    if limit_s is None:
        assert validity.allows_calls(1000.0) and validity.next_change_s(100.0) is None
        return
    assert validity.allows_calls(limit_s - 0.1) and not validity.allows_calls(limit_s)
    assert validity.next_change_s(limit_s - 1.0) == limit_s and validity.next_change_s(limit_s) is None
    validity.on_confirmed(limit_s)
    assert validity.allows_calls(1000.0)


@pytest.mark.parametrize("is_pushed", [False, True])
def test_a_silent_discovery_of_a_new_process_is_down_until_the_address_changes(is_pushed: bool) -> None:
    validity = make_validity(UNKNOWN, is_pushed)
    validity.on_call_ended(CallEnding.UNANSWERED)
    assert validity.allows_calls(1000.0)
    validity.on_address_changed(200.0)
    for ending in (CallEnding.UNANSWERED, CallEnding.UNREACHED, CallEnding.UNANSWERED):
        validity.on_call_ended(ending)
    assert not validity.allows_calls(200.0 + MAX_LIST_AGE_AFTER_START_S)


@pytest.mark.parametrize("state", DiscoveryState)
def test_after_changes_of_address_the_first_one_counts(state: DiscoveryState) -> None:
    validity = make_validity(state)
    limit_s = 101.0 + MAX_LIST_AGE_AFTER_START_S
    for changed_s in (101.0, 102.0, 104.5):
        validity.on_address_changed(changed_s)
    assert not validity.allows_calls(limit_s)


def test_a_rejection_by_the_earlier_address_counts_only_if_the_list_is_outdated_by_it() -> None:
    for changed_s, expected in ((101.0, True), (110.0, False)):
        validity = make_validity(REJECTING)
        validity.on_address_changed(changed_s)
        validity.on_call_ended(CallEnding.REFUSED)
        assert validity.allows_calls(200.0) is expected


def test_after_an_outage_the_limit_counts_from_the_change_of_address() -> None:
    for state in (WENT_DOWN, UNREACHABLE):
        validity = make_validity(state)
        validity.on_address_changed(200.0)
        assert validity.allows_calls(200.0 + MAX_LIST_AGE_AFTER_START_S - 0.1)
        assert not validity.allows_calls(200.0 + MAX_LIST_AGE_AFTER_START_S)

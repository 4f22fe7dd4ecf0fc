"""Parsing of the endpoint list, and the watch at discovery, in simulated time without sockets."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from honeybarrow.events import Endpoint, EndpointState, UpdateKind
from honeybarrow.node.config import ForwarderConfig, ResourceLimits
from honeybarrow.node.discovery import HEARTBEAT_INTERVAL_S, RESPONSE_TIMEOUT_S, WATCH_TIMEOUT_S
from honeybarrow.node.endpoint_list import (
    MAX_ITEM_BYTES,
    EndpointList,
    EndpointListError,
    EndpointTable,
    WatchReader,
    parse_item,
)
from honeybarrow.node.process import FIRST_LIST_TIMEOUT_S, ForwarderProcess
from honeybarrow.node.write_ahead_log import WriteAheadLog
from honeybarrow.policy.membership import POLL_BACKOFF_US
from honeybarrow.recovery import MessageAccepted
from tests.helpers import SECOND, make_clocks, make_settings
from tests.platform_bench import (
    ENTRY,
    WATCH_HEAD,
    DiscoveryBench,
    MemoryReactorClock,
    MemoryTransport,
    encode_chunk,
    encode_item,
)


def test_the_list_is_parsed_and_an_invalid_entry_is_skipped() -> None:
    update = parse_item(encode_item())
    assert update.endpoints == (Endpoint("s1", 3, EndpointState.READY, "m", "", 2.5),)
    assert update.addresses == {"s1": ("10.0.0.1", 9)}
    invalid = ({"status": "?"}, {"group": "3"}, {"address": "x"}, {"name": ""}, {"weight": "1"})
    # Host names are not supported, and the weight is too large for a float.
    for changes in (*invalid, {"address": "name.example:9"}, {"weight": 10**400}):
        assert parse_item(encode_item(**changes)).endpoints == ()
    for bad in (b"", b"[]", b'{"endpoints":[]}', b'{"index":1}', b"[" * 5000):
        with pytest.raises(EndpointListError):
            parse_item(bad)


def test_endpoints_that_leave_or_move_lose_their_connections() -> None:
    table = EndpointTable()
    assert table.apply_update(parse_item(encode_item())) == [] and table.addresses_of("s1") == [
        ("10.0.0.1", 9)
    ]
    assert table.accepts_calls_at("s1", ("10.0.0.1", 9))
    assert table.apply_update(parse_item(encode_item(address="10.0.0.2:9"))) == ["s1"]
    assert not table.accepts_calls_at("s1", ("10.0.0.1", 9)) and table.accepts_calls_at("s1", ("10.0.0.2", 9))
    table.apply_update(parse_item(encode_item(status="leaving")))
    assert table.addresses_of("s1") == [] and not table.accepts_calls("s1")
    assert table.apply_update(parse_item(encode_item(status="left"))) == ["s1"] and table.addresses == {}
    table.apply_update(parse_item(encode_item()))
    assert table.apply_update(EndpointList(9, True, (), {})) == ["s1"] and table.addresses == {}
    assert table.is_destination_listed(3) and not table.is_destination_listed(4)


def test_a_watch_continues_from_the_version_held_and_reports_each_item() -> None:
    bench = DiscoveryBench()
    watch, transport = bench.connect()
    assert transport.value().startswith(b"GET /discovery/hosts?stream=1&index=41 HTTP/1.1\r\n")
    data = encode_item() + b"\n\n"
    watch.dataReceived(WATCH_HEAD + encode_chunk(data[:30]))
    watch.dataReceived(encode_chunk(data[30:]))
    assert [update.version for update in bench.updates] == [4] and bench.discovery.version == 4


def test_items_may_be_indented_and_several_may_come_at_once() -> None:
    entry = {**ENTRY, "name": 'a}{ ["\\'}  # brackets and quotes in a string must be ignored
    item = {"index": 5, "snapshot": True, "endpoints": [entry, ENTRY]}
    data = json.dumps(item, indent=2).encode() + b"\n\n" + encode_item() + b"\n"
    updates = WatchReader().receive(data + data)
    assert [each.version for each in updates] == [5, 4, 5, 4] and len(updates[0].endpoints) == 2
    reader = WatchReader()
    bytewise = [each for index in range(len(data)) for each in reader.receive(data[index : index + 1])]
    assert bytewise == updates[:2]


@pytest.mark.parametrize("data", [b"no list\n", b'{"index": 5,\n\n', b"}\n", b" " * (MAX_ITEM_BYTES + 1)])
def test_a_watch_that_can_not_be_parsed_fails(data: bytes) -> None:
    with pytest.raises(EndpointListError):
        WatchReader().receive(data)
    bench = DiscoveryBench()
    bench.connect()[0].dataReceived(WATCH_HEAD + encode_chunk(data))
    assert [failure.kind for failure in bench.failures] == [UpdateKind.FAILED]


def test_a_silent_watch_is_reopened_before_a_missed_change_counts_as_known() -> None:
    bench = DiscoveryBench()
    watch, _ = bench.connect()
    watch.dataReceived(WATCH_HEAD + encode_chunk(encode_item() + b"\n"))
    for _ in range(5):
        bench.clock.advance(HEARTBEAT_INTERVAL_S)
        watch.dataReceived(encode_chunk(b"\n"))
    assert len(bench.clock.tcpClients) == 1
    # The watch is silent from here on. The first attempt to reopen it times out, the policy makes the next.
    bench.clock.pump([0.1] * int((WATCH_TIMEOUT_S + 0.1) * 10))
    assert len(bench.clock.tcpClients) == 2 and bench.failures == []
    bench.clock.pump([0.1] * int((RESPONSE_TIMEOUT_S + 0.1) * 10))
    assert [failure.kind for failure in bench.failures] == [UpdateKind.FAILED]
    first_backoff_s = POLL_BACKOFF_US[0] * 2 / 1e6
    assert WATCH_TIMEOUT_S + RESPONSE_TIMEOUT_S + first_backoff_s < 6
    watch.dataReceived(encode_chunk(encode_item() + b"\n"))  # input of the closed watch must be ignored
    bench.discovery.subscribe()
    reopened, transport = bench.connect()
    assert b"index=4 " in transport.value()
    reopened.dataReceived(WATCH_HEAD + encode_chunk(encode_item() + b"\n"))
    assert len(bench.updates) == 2 and len(bench.failures) == 1


def test_a_watch_that_breaks_or_is_refused_fails_once() -> None:
    bench = DiscoveryBench()
    watch, _ = bench.connect()
    watch.dataReceived(WATCH_HEAD)
    watch.connectionLost()
    bench.discovery.subscribe()
    bench.connect()[0].dataReceived(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
    assert [failure.kind for failure in bench.failures] == [UpdateKind.FAILED] * 2


@pytest.mark.parametrize("how", ["updated", "rejected", "silent"])
def test_where_lists_are_pushed_nothing_is_sent_by_the_saved_list(tmp_path: Path, how: str) -> None:
    clock = MemoryReactorClock()
    reactor: Any = clock
    now = lambda: int(clock.seconds() * 1e6)  # noqa: E731
    write_ahead_log = WriteAheadLog(str(tmp_path), 1_000_000, make_clocks(now))
    write_ahead_log.append(MessageAccepted("m1", "note", 3, 9 * SECOND, "", "key", b"hi"))
    write_ahead_log.close()
    config = ForwarderConfig(
        "n0", ("127.0.0.1", 9), ("127.0.0.2", 8500), str(tmp_path), 1, ResourceLimits(256, 3_000_000),
        parse_item(encode_item(status="active")), make_settings(),
    )  # fmt: skip
    process = ForwarderProcess(config, reactor, make_clocks(now), lambda error: None)
    process.start()
    clock.advance(0.01)
    assert [each[0] for each in clock.tcpClients] == ["127.0.0.2"]  # only discovery is connected
    assert not process.submissions.is_ready
    watch, transport = clock.tcpClients[0][2].buildProtocol(None), MemoryTransport()
    watch.makeConnection(transport)
    if how == "updated":
        watch.dataReceived(WATCH_HEAD + encode_chunk(encode_item(status="leaving") + b"\n"))
    elif how == "rejected":
        watch.dataReceived(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
    else:
        clock.pump([0.1] * int((FIRST_LIST_TIMEOUT_S + 0.1) * 10))
        # Ready, and still without a call: discovery may be about to answer.
        assert process.submissions.is_ready
        assert [each[0] for each in clock.tcpClients] == ["127.0.0.2"]
        clock.pump([0.1] * int((RESPONSE_TIMEOUT_S - FIRST_LIST_TIMEOUT_S) * 10))
    clock.pump([0.01] * 5)
    assert process.submissions.is_ready

    def endpoints_called() -> list[str]:
        return [each[0] for each in clock.tcpClients if each[0] == "10.0.0.1"]

    assert endpoints_called() == (["10.0.0.1"] if how == "silent" else [])
    if how == "rejected":
        # What discovery has counts from the first moment, and a rejection does not tell that it is down.
        clock.pump([0.1] * 11)
        assert endpoints_called() == [] and len(clock.tcpClients) == 2
        watch = clock.tcpClients[-1][2].buildProtocol(None)
        watch.makeConnection(MemoryTransport())
        watch.dataReceived(WATCH_HEAD + encode_chunk(b"\n"))
        clock.pump([0.01] * 5)
        assert endpoints_called() == ["10.0.0.1"]


def test_a_new_address_is_watched_at_once_from_the_version_held() -> None:
    bench = DiscoveryBench()
    watch, _ = bench.connect()
    watch.dataReceived(WATCH_HEAD + encode_chunk(encode_item() + b"\n"))
    bench.discovery.change_address(("127.0.0.9", 8500))
    assert bench.clock.tcpClients[-1][0] == "127.0.0.9"
    assert b"index=4 " in bench.connect()[1].value() and bench.failures == []


# Guards against incident 67, picture (d): a new process at the address of one before was taken for it.
def test_connections_to_the_process_before_are_closed_when_another_one_has_started() -> None:
    table = EndpointTable()
    first, again = parse_item(encode_item(since_ms=0)), parse_item(encode_item(since_ms=0))
    assert table.apply_update(first) == [] and table.apply_update(again) == []
    assert table.apply_update(parse_item(encode_item(since_ms=1_700_000_000_000))) == ["s1"]
    assert table.accepts_calls("s1")
    assert table.apply_update(parse_item(encode_item(since_ms=1_700_000_000_000))) == []
    for unreadable in (None, "soon", True, 1.5):
        table.apply_update(parse_item(encode_item(since_ms=unreadable)))
        assert table.accepts_calls("s1")

"""Tests of the partner directory and of the register client."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from honeybarrow.events import MembershipUpdate, UpdateKind
from honeybarrow.register import (
    EndpointAddress,
    EndpointEntry,
    ListError,
    ListUpdate,
    Partner,
    PartnerDirectory,
    RegisterClient,
)
from tests.live import BlockingConnection, RecordingLog, ScriptedPartner, call_in_reactor, reactor, wait_until

ONE, TWO = Partner(number=1, name="one.example", kind="shop"), Partner(number=2, name="two.example")


def make_entry(target: str, destination: int = 1, state: Any = "ready", port: int = 25) -> EndpointEntry:
    addresses = () if state == "gone" else (EndpointAddress(host="127.0.0.1", port=port),)
    return EndpointEntry(target=target, destination=destination, state=state, addresses=addresses)


def full_update(
    version: int, *entries: EndpointEntry, partners: tuple[Partner, ...] = (ONE, TWO)
) -> ListUpdate:
    return ListUpdate(kind="full", version=version, partners=partners, endpoints=entries)


def changes_update(version: int, *entries: EndpointEntry) -> ListUpdate:
    return ListUpdate(kind="changes", version=version, endpoints=entries)


def test_full_lists_and_changes_are_applied() -> None:
    directory = PartnerDirectory()
    update = directory.apply(full_update(5, make_entry("a"), make_entry("b", 2)))
    assert (update.kind, update.version, [endpoint.kind for endpoint in update.endpoints]) == (
        UpdateKind.FULL,
        5,
        ["shop", ""],
    )
    assert directory.find_partner("two.example") == 2 and directory.find_partner("x") is None
    update = directory.apply(changes_update(6, make_entry("a", state="draining"), make_entry("b", 2, "gone")))
    assert [endpoint.state.value for endpoint in update.endpoints] == ["draining", "gone"]
    assert directory.addresses("a") and not directory.addresses("b")
    restored = PartnerDirectory()
    saved = restored.apply_line(directory.encode(), is_saved=True)
    assert (
        saved.kind is UpdateKind.SAVED and restored.endpoints == directory.endpoints and restored.version == 6
    )


INVALID_LINES: list[bytes] = [
    b"",
    b"\xff\xfe",
    b"[]",
    b'{"kind":"full"}',
    b'{"kind":"full","version":-1}',
    b'{"kind":"full","version":9,"what":1}',
    b'{"kind":"full","version":9,"endpoints":[{"target":7}]}',
    msgspec.json.encode(full_update(4, make_entry("a"))),
    msgspec.json.encode(full_update(9, make_entry("a"), make_entry("a"))),
    msgspec.json.encode(full_update(9, make_entry("a", 3))),
    msgspec.json.encode(full_update(9, make_entry("a", 2))),
    msgspec.json.encode(full_update(9, EndpointEntry(target="c", destination=1, state="ready"))),
    msgspec.json.encode(
        full_update(9, make_entry("a"), partners=(ONE, Partner(number=2, name="one.example")))
    ),
    b'{"kind":"full","version":9,"partners":[{"number":1,"name":"a b"}]}',
]


@pytest.mark.parametrize("line", INVALID_LINES)
def test_invalid_update_is_rejected_and_the_list_is_unchanged(line: bytes) -> None:
    directory = PartnerDirectory()
    directory.apply(full_update(5, make_entry("a"), make_entry("b", 2)))
    before = directory.encode()
    with pytest.raises(ListError):
        directory.apply_line(line)
    assert directory.encode() == before


def test_corrupted_bytes_are_applied_or_raise_list_error() -> None:
    rng = random.Random(3)
    valid_line = msgspec.json.encode(full_update(5, make_entry("a"), make_entry("b", 2)))
    for _ in range(500):
        line = bytearray(valid_line)
        line[rng.randrange(len(line))] = rng.randrange(256)
        directory = PartnerDirectory()
        try:
            directory.apply_line(bytes(line))
        except ListError:
            assert directory.version == 0


def start_client(
    *scripts: Any, timeout: float = 5.0
) -> tuple[RegisterClient, ScriptedPartner, list[MembershipUpdate]]:
    updates: list[MembershipUpdate] = []
    register = ScriptedPartner(*scripts)
    client = RegisterClient(
        reactor,
        reactor,
        ("127.0.0.1", register.port),
        timeout,
        PartnerDirectory(),
        updates.append,
        lambda _: None,
        RecordingLog(),
    )
    call_in_reactor(client.subscribe)
    return client, register, updates


def send_update(connection: BlockingConnection, update: ListUpdate) -> None:
    connection.sock.sendall(msgspec.json.encode(update) + b"\n")


def test_client_applies_pushed_changes_and_reports_a_closed_connection() -> None:
    def script(connection: BlockingConnection) -> None:
        assert connection.read_line() == '{"since":0}'
        send_update(connection, full_update(5, make_entry("a")))
        send_update(connection, changes_update(6, make_entry("a", state="draining")))
        connection.sock.close()

    client, register, updates = start_client(script)
    wait_until(lambda: len(updates) == 3)
    assert [update.kind for update in updates] == [UpdateKind.FULL, UpdateKind.CHANGES, UpdateKind.FAILED]
    call_in_reactor(client.stop)
    register.close()


def test_client_recovers_after_an_invalid_answer_and_after_a_timeout() -> None:
    def invalid_answer(connection: BlockingConnection) -> None:
        connection.read_line()
        connection.write_lines('{"kind":"full"}')
        connection.read_line()

    def no_answer(connection: BlockingConnection) -> None:
        connection.read_line()
        connection.read_line()

    def valid_answer(connection: BlockingConnection) -> None:
        connection.read_line()
        send_update(connection, full_update(5, make_entry("a")))
        connection.read_line()

    client, register, updates = start_client(invalid_answer, no_answer, valid_answer, timeout=0.3)
    for count in (1, 2, 3):
        wait_until(lambda count=count: len(updates) == count)  # type: ignore[misc]
        call_in_reactor(client.subscribe)
    assert [update.kind for update in updates[:3]] == [UpdateKind.FAILED, UpdateKind.FAILED, UpdateKind.FULL]
    call_in_reactor(client.stop)
    register.close()


def test_unreachable_register_is_reported_as_failure() -> None:
    class Network:
        def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> Any:
            factory.clientConnectionFailed(None, Failure(OSError("refused")))  # type: ignore[no-untyped-call]
            return type("Connector", (), {"state": "disconnected"})()

        def connectUNIX(self, address: str, factory: Any, timeout: float = 30) -> Any: ...

        def listenTCP(self, *args: Any, **more: Any) -> Any: ...

    updates: list[MembershipUpdate] = []
    client = RegisterClient(
        Network(),
        Clock(),
        ("127.0.0.1", 1),
        1.0,
        PartnerDirectory(),
        updates.append,
        lambda _: None,
        RecordingLog(),
    )
    for _ in range(3):
        client.subscribe()
    assert [update.kind for update in updates] == [UpdateKind.FAILED] * 3

"""Golden tests of the register's wire format and of the saved list, as written by version 0.2.0.

``lines.jsonl`` has a line of each kind, ``meanings.json`` its decoded form and the resulting membership
update, ``saved-lists.jsonl`` the list saved after each line, ``asked.jsonl`` the requests of the forwarder.
"""

from __future__ import annotations

import dataclasses
import enum
import json
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from honeybarrow.register import (
    EndpointAddress,
    EndpointEntry,
    ListRequest,
    ListUpdate,
    Partner,
    PartnerDirectory,
    RegisterClient,
    to_address,
)
from tests.live import RecordingLog

GOLDEN = Path(__file__).parent / "golden" / "register"
LINES = (GOLDEN / "lines.jsonl").read_bytes().splitlines()
SAVED = (GOLDEN / "saved-lists.jsonl").read_bytes().splitlines()
REQUESTS = (GOLDEN / "asked.jsonl").read_bytes()


def to_plain(value: Any) -> Any:
    """Convert structs to dicts with the wire names, and dataclasses to lists of their values."""
    if isinstance(value, msgspec.Struct):
        return {f.encode_name: to_plain(getattr(value, f.name)) for f in msgspec.structs.fields(value)}
    if dataclasses.is_dataclass(value):
        return [to_plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, enum.Enum):
        return value.value
    return [to_plain(each) for each in value] if isinstance(value, list | tuple) else value


def decode_lines() -> list[dict[str, Any]]:
    """Return the decoded form of each line and the result of applying it to the directory."""
    directory, decoded = PartnerDirectory(), []
    for line in LINES:
        update = msgspec.json.decode(line, type=ListUpdate)
        membership_update = directory.apply_line(line)
        addresses = [
            [str(to_address(each)) for each in directory.addresses(entry.target)]
            for entry in update.endpoints
        ]
        numbers = [directory.find_partner(partner.name) for partner in update.partners]
        decoded.append(
            {
                "news": to_plain(update),
                "told": to_plain(membership_update),
                "places": addresses,
                "numbers": numbers,
            }
        )
    return decoded


def test_lines_are_decoded_as_in_the_golden_file() -> None:
    assert decode_lines() == json.loads((GOLDEN / "meanings.json").read_text())


def test_lines_are_encoded_to_the_same_bytes() -> None:
    for line in LINES:
        assert msgspec.json.encode(msgspec.json.decode(line, type=ListUpdate)) == line


def saved_lists() -> list[bytes]:
    """Return the saved list after each line."""
    directory, saved = PartnerDirectory(), []
    for line in LINES:
        directory.apply_line(line)
        saved.append(directory.encode())
    return saved


def test_saved_lists_match_the_golden_file_and_can_be_loaded() -> None:
    assert saved_lists() == SAVED
    for saved in SAVED:
        directory = PartnerDirectory()
        membership_update = directory.apply_line(saved, is_saved=True)
        assert to_plain(membership_update)[:2] == ["saved", directory.version] and directory.encode() == saved


def test_golden_lines_contain_every_wire_field() -> None:
    text = b"\n".join((*LINES, REQUESTS))
    for record in (EndpointAddress, Partner, EndpointEntry, ListUpdate, ListRequest):
        for field in msgspec.structs.fields(record):
            assert f'"{field.encode_name}":'.encode() in text, field.encode_name


class RegisterNetwork:
    """Network whose connections write to one in-memory transport."""

    def __init__(self) -> None:
        self.transport = StringTransport()  # type: ignore[no-untyped-call]

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> Any:
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)
        return None

    def connectUNIX(self, address: str, factory: Any, timeout: float = 30) -> Any: ...

    def listenTCP(self, *args: Any, **more: Any) -> Any: ...


def record_requests() -> bytes:
    """Return the requests of a forwarder at its start and at each list version, with and without a name."""
    register, saved = RegisterNetwork(), list[bytes]()
    for name in ("forwarder-1", ""):
        client = RegisterClient(
            register,
            Clock(),
            ("127.0.0.1", 1),
            1.0,
            PartnerDirectory(),
            lambda update: None,
            saved.append,
            RecordingLog(),
            name,
        )
        client.subscribe()
        for line in LINES:
            register.protocol.dataReceived(line + b"\n")
            client.subscribe()
    assert saved == SAVED * 2
    written: bytes = register.transport.value()  # type: ignore[no-untyped-call]
    return written


def test_requests_match_the_golden_file() -> None:
    assert record_requests() == REQUESTS

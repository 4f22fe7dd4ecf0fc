"""Tests of the wire format between fleet members: messages, frames and size limits."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeybarrow.fleet import membership_messages as swim
from honeybarrow.fleet import wire
from honeybarrow.fleet.wire import (
    Datagram,
    Frame,
    PushPullState,
    StatusQuery,
    WireError,
)
from honeybarrow.fleet.zone_messages import (
    AgedVerdict,
    BucketResults,
    DestinationLoad,
    EvidenceCell,
    EvidenceReport,
    EvidenceRequest,
    OperatorOverride,
    PartialEjection,
    StateDigest,
    TimedOverride,
    VerdictSync,
    ZoneVerdict,
)

SAMPLES: list[wire.DatagramMessage] = [
    swim.Ping(1, (swim.MemberUpdate("m", swim.MemberState.SUSPECT, 2, 3, "r/a", "127.0.0.1:1", "n"),)),
    swim.Ack(2),
    swim.IndirectPing(3, "m"),
    swim.Nack(4),
    EvidenceReport(
        "a", 1, 2, (EvidenceCell(1, "a", 2, 3, 4, 5),), (DestinationLoad(1, 2),), (BucketResults(3, 4),), 5, 6
    ),
    EvidenceRequest("a", 1),
    VerdictSync(
        (AgedVerdict(ZoneVerdict("a", "", 1, "m", 1, 0, ("b",), (PartialEjection(1, 500),)), 7),),
        (TimedOverride(OperatorOverride("a", None, 1, "m"), 8),),
    ),
    StateDigest(1 << 63, True),
]


@pytest.mark.parametrize("message", SAMPLES, ids=lambda each: type(each).__name__)
def test_messages_survive_a_round_trip(message: wire.DatagramMessage) -> None:
    datagram = Datagram(wire.WIRE_VERSION, "f", "m", 1, message)
    assert wire.decode(wire.encode(datagram), Datagram, "f") == datagram


@given(st.binary(max_size=200))
def test_garbage_is_rejected_with_its_reason(data: bytes) -> None:
    with pytest.raises(WireError, match=r"unreadable|other version|other fleet"):
        wire.decode(data, Datagram, "f")


@given(st.integers(0, 7), st.data())
def test_messages_with_flipped_bytes_are_decoded_or_rejected(sample_index: int, data: st.DataObject) -> None:
    encoded = bytearray(wire.encode(Datagram(wire.WIRE_VERSION, "f", "m", 1, SAMPLES[sample_index])))
    position = data.draw(st.integers(0, len(encoded) - 1))
    encoded[position] ^= data.draw(st.integers(1, 255))
    with contextlib.suppress(WireError):
        wire.decode(bytes(encoded), Datagram, "f")


def test_messages_of_other_versions_or_fleets_and_oversized_messages_are_rejected() -> None:
    datagram = Datagram(wire.WIRE_VERSION + 1, "f", "m", 1, SAMPLES[1])
    with pytest.raises(WireError, match="other version"):
        wire.decode(wire.encode(datagram), Datagram, "f")
    with pytest.raises(WireError, match="other fleet"):
        wire.decode(wire.encode(Datagram(wire.WIRE_VERSION, "g", "m", 1, SAMPLES[1])), Datagram, "f")
    updates = tuple(swim.MemberUpdate(f"m{n}" * 10, swim.MemberState.ALIVE, 1, 1) for n in range(200))
    with pytest.raises(WireError, match="too long"):
        wire.encode(Datagram(wire.WIRE_VERSION, "f", "m", 1, swim.Ping(1, updates)))
    with pytest.raises(WireError, match="too long"):
        wire.FrameReader().feed(b"\xff\xff\xff\xff")


def test_frame_reader_accepts_a_stream_split_at_any_byte() -> None:
    frame = wire.encode(Frame(wire.WIRE_VERSION, "f", "m", 1, StatusQuery("members")))
    reader, frames = wire.FrameReader(), []
    for byte in frame * 3:
        frames += reader.feed(bytes([byte]))
    assert [wire.decode(each, Frame, "f").body for each in frames] == [StatusQuery("members")] * 3


def test_push_pull_state_with_too_many_updates_is_rejected() -> None:
    updates = tuple(swim.MemberUpdate(f"m{n}", swim.MemberState.ALIVE, 1, 1) for n in range(5000))
    data = wire.encode(Frame(wire.WIRE_VERSION, "f", "m", 1, PushPullState(updates, VerdictSync())))
    with pytest.raises(WireError):
        wire.decode(data[4:], Frame, "f")

"""Wire format between fleet members: bounded msgpack messages that start with a version and the fleet name.

A datagram holds one message. A frame on a stream is a four-byte big-endian length followed by the content; a
connection carries one request and one reply. The structs are encoded as arrays: field order and ``tag``
numbers are the format, field names are not. Data that can't be decoded raises :class:`WireError`; its text is
the drop reason, which is also a metric label.
"""

from __future__ import annotations

import enum
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

from honeybarrow.errors import HoneybarrowError
from honeybarrow.fleet import membership_messages as swim
from honeybarrow.fleet.membership_messages import MemberName, MemberUpdate, WireInteger, ZonePath
from honeybarrow.fleet.zone_messages import EvidenceReport, EvidenceRequest, StateDigest, VerdictSync

WIRE_VERSION = 1
MAX_DATAGRAM_BYTES = 4096
MAX_FRAME_BYTES = 1 << 20
FRAME_HEADER_BYTES = 4  # big-endian content length
MAX_MEMBER_UPDATES = 4096


class DropReason(enum.StrEnum):
    """Reason for dropping a message. The values are metric labels and must not change."""

    UNREADABLE = "unreadable"
    OTHER_VERSION = "other version"
    OTHER_FLEET = "other fleet"
    TOO_LONG = "too long"
    OWN_NAME = "own name"
    EARLIER_INCARNATION = "earlier life"
    NO_ADDRESS = "no address"
    REFUSED = "refused"
    STREAM_TIMEOUT = "stream late"
    TOO_MANY_STREAMS = "too many streams"
    STREAM_FAILED = "no stream"


class WireError(HoneybarrowError, ValueError):
    """Data that is not a valid message of this fleet."""

    code = "HB401"
    remedy = (
        "compare fleet name and program version on both sides; if they are equal, another program sends to "
        "this port"
    )


class PushPullState(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Full state of a member: one side of a push-pull exchange."""

    updates: Annotated[tuple[MemberUpdate, ...], Meta(max_length=MAX_MEMBER_UPDATES)]
    verdicts: VerdictSync


class StatusQuery(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Operator request for the status of members or zones."""

    topic: Literal["members", "zones"]


class SetOverride(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Operator request to override a zone; ``eject`` is ``None`` to withdraw an override."""

    path: ZonePath
    eject: bool | None
    duration_us: WireInteger


class OperatorReply(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Reply to an operator: JSON in ``text``, or the reason for rejection in ``error``."""

    text: str = ""
    error: str = ""


DatagramMessage = (
    swim.Ping
    | swim.Ack
    | swim.IndirectPing
    | swim.Nack
    | EvidenceReport
    | EvidenceRequest
    | VerdictSync
    | StateDigest
)
FrameBody = PushPullState | StatusQuery | SetOverride | OperatorReply


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """One message; ``incarnation`` is the sender's."""

    version: int
    fleet_name: MemberName
    sender: MemberName
    incarnation: WireInteger
    message: DatagramMessage


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One request or reply on a stream. Operators send an empty ``sender`` and incarnation 0."""

    version: int
    fleet_name: MemberName
    sender: MemberName
    incarnation: WireInteger
    body: FrameBody


class _EnvelopeHeader(msgspec.Struct, frozen=True, array_like=True):
    """The leading fields, common to all versions."""

    version: int
    fleet_name: str


Envelope = TypeVar("Envelope", Datagram, Frame)
_encoder = msgspec.msgpack.Encoder()


def encode(envelope: Datagram | Frame) -> bytes:
    """Return the bytes to send. Raises :class:`WireError` if they exceed the size limit."""
    data = _encoder.encode(envelope)
    if len(data) > (MAX_DATAGRAM_BYTES if isinstance(envelope, Datagram) else MAX_FRAME_BYTES):
        raise WireError(DropReason.TOO_LONG)
    return data if isinstance(envelope, Datagram) else len(data).to_bytes(FRAME_HEADER_BYTES, "big") + data


def decode(data: bytes, envelope_type: type[Envelope], fleet_name: str) -> Envelope:
    """Return the decoded datagram or frame. Raises :class:`WireError` with the drop reason."""
    try:
        header = msgspec.msgpack.decode(data, type=_EnvelopeHeader)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise WireError(DropReason.UNREADABLE) from None
    if header.version != WIRE_VERSION:
        raise WireError(DropReason.OTHER_VERSION)
    if header.fleet_name != fleet_name:
        raise WireError(DropReason.OTHER_FLEET)
    try:
        return msgspec.msgpack.decode(data, type=envelope_type)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise WireError(DropReason.UNREADABLE) from None


class FrameReader:
    """Incremental parser that splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add data and return the completed frames. Raises :class:`WireError` for a frame over the limit."""
        self._buffer += data
        frames = []
        while len(self._buffer) >= FRAME_HEADER_BYTES:
            size = int.from_bytes(self._buffer[:FRAME_HEADER_BYTES], "big")
            if size > MAX_FRAME_BYTES:
                raise WireError(DropReason.TOO_LONG)
            if len(self._buffer) < FRAME_HEADER_BYTES + size:
                break
            frames.append(self._buffer[FRAME_HEADER_BYTES : FRAME_HEADER_BYTES + size])
            self._buffer = self._buffer[FRAME_HEADER_BYTES + size :]
        return frames

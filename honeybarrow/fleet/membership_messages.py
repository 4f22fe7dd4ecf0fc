"""Messages between fleet members, and the actions that membership returns to its caller.

The structs are encoded as arrays: field order and ``tag`` numbers are the wire format, field names are not.
Decoding enforces bounds on the length of names, the size of integers and the number of updates.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta


class MemberState(enum.IntEnum):
    """State of a member. For equal incarnation and refutations, the update with the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # announced by the member itself; final for its incarnation


MemberName = Annotated[str, Meta(max_length=64)]
ZonePath = Annotated[str, Meta(max_length=128)]
WireInteger = Annotated[int, Meta(ge=0, le=1 << 62)]


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Gossiped state of one member.

    ``incarnation`` identifies the process under this name; ``refutations`` counts the suspicions that this
    process has refuted. ``suspected_by`` is the name of the suspecting member, or empty.
    """

    name: MemberName
    state: MemberState
    incarnation: WireInteger
    refutations: WireInteger
    zone: ZonePath = ""
    address: Annotated[str, Meta(max_length=80)] = ""
    suspected_by: MemberName = ""

    def supersedes(self, other: MemberUpdate) -> bool:
        """Return whether this replaces ``other``, comparing incarnation, departure, refutations and state."""
        return self._precedence() > other._precedence()

    def _precedence(self) -> tuple[int, bool, int, int]:
        return self.incarnation, self.state is MemberState.LEFT, self.refutations, self.state

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or suspected, and so is still probed and receives messages."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


MemberUpdates = Annotated[tuple[MemberUpdate, ...], Meta(max_length=64)]

# --- messages, each with piggybacked updates -------------------------------------------------------


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Direct probe; the receiver answers with an :class:`Ack` with the same sequence number."""

    sequence_number: WireInteger
    updates: MemberUpdates = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to a probe, sent by the probed member or relayed by a helper."""

    sequence_number: WireInteger
    updates: MemberUpdates = ()


class IndirectPing(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request to probe ``target`` for the sender; answered by an ack, or by a nack after a timeout."""

    sequence_number: WireInteger
    target: MemberName
    updates: MemberUpdates = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answer to an indirect ping: the helper is alive but has no answer from the target."""

    sequence_number: WireInteger
    updates: MemberUpdates = ()


SwimMessage = Ping | Ack | IndirectPing | Nack

# --- actions ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member as a datagram, without delivery guarantee."""

    to: str
    message: SwimMessage


@dataclass(frozen=True, slots=True)
class PushPull:
    """Exchange full member lists with a peer over a stream (anti-entropy).

    Send :meth:`Membership.member_list` and pass the reply to :meth:`Membership.merge_member_list`.
    """

    peer: str


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """The known state of a member has changed; ``previous`` is ``None`` for a new member."""

    update: MemberUpdate
    previous: MemberUpdate | None


@dataclass(frozen=True, slots=True)
class NameConflict:
    """Another process uses this member's name: updates with later incarnations keep arriving."""

    incarnation: int


MembershipAction = SendMessage | PushPull | MemberChanged | NameConflict

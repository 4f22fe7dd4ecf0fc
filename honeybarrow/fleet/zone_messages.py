"""Messages between members about zones, and the actions that a member carries out.

The structs are encoded as msgpack arrays: the order of their fields and the ``tag`` numbers are part of the
wire format, the names are not. Saved verdicts are a :class:`VerdictSync` encoded as JSON. Messages carry ages
and remaining times, never clock times.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from honeybarrow.fleet.membership_messages import MemberName, WireInteger, ZonePath
from honeybarrow.fleet.zone_paths import is_within

CallCount = Annotated[int, Meta(ge=0, le=1_000_000)]  # calls of one member in one bucket


# --- parts of messages


class EvidenceCell(msgspec.Struct, frozen=True, array_like=True):
    """Results of one member's calls to one destination in one zone, sent ``age`` buckets ago."""

    age: Annotated[int, Meta(ge=0, le=1000)]
    zone: ZonePath
    destination: WireInteger
    successes: CallCount
    failures: CallCount
    pending: CallCount = 0


class DestinationLoad(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Number of one member's calls to a destination in the evidence window, over all zones."""

    destination: WireInteger
    calls: WireInteger


class BucketResults(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Results of one member's calls in one bucket to all zones outside of the reported path."""

    successes: WireInteger
    failures: WireInteger


class PartialEjection(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A destination that lacks capacity elsewhere, and how many of 1000 members avoid the zone for it."""

    destination: WireInteger
    per_mille: WireInteger


class ZoneVerdict(msgspec.Struct, frozen=True, array_like=True):
    """A decision of the fleet on a zone or region.

    ``epoch`` numbers the verdicts on a path: odd epochs eject it, even epochs restore it. ``source_zone`` is
    the zone to whose members alone the verdict applies, because the network path from there fails; it is
    empty if the verdict applies to all members. ``spared_zones`` are zones whose members can still reach the
    path. ``decided_by`` and ``incarnation`` name the member that made the verdict. ``relapses`` counts
    successive ejections that followed soon after a return. The last four fields are the evidence: results of
    calls, members that answered, and members that were entitled to answer.
    """

    path: ZonePath
    source_zone: ZonePath
    epoch: WireInteger
    decided_by: MemberName
    incarnation: WireInteger
    relapses: WireInteger = 0
    spared_zones: Annotated[tuple[ZonePath, ...], Meta(max_length=64)] = ()
    partial_ejections: Annotated[tuple[PartialEjection, ...], Meta(max_length=64)] = ()
    successes: WireInteger = 0
    failures: WireInteger = 0
    votes: WireInteger = 0
    voter_count: WireInteger = 0

    @property
    def is_ejected(self) -> bool:
        """Whether the verdict ejects the path."""
        return self.epoch % 2 == 1

    @property
    def precedence(self) -> tuple[int, str, int]:
        """Sort key: of two verdicts on the same path and source zone, the greater one is in force."""
        return self.epoch, self.decided_by, self.incarnation

    def spares(self, zone: str) -> bool:
        """Return whether members of ``zone`` keep using the path, because they can still reach it."""
        return any(is_within(zone, each) for each in self.spared_zones)

    def applies_to(self, zone: str) -> bool:
        """Return whether members of ``zone`` have to follow the verdict."""
        return not self.spares(zone) and (not self.source_zone or zone == self.source_zone)


class OperatorOverride(msgspec.Struct, frozen=True, array_like=True):
    """An operator's decision on a path, which takes precedence over all verdicts until it expires.

    ``eject`` tells whether the path is avoided or used; ``None`` withdraws an earlier override. ``revision``
    numbers the overrides of a path, and ``set_by`` names the member that created this one.
    """

    path: ZonePath
    eject: bool | None
    revision: WireInteger
    set_by: MemberName

    @property
    def precedence(self) -> tuple[int, str]:
        """Sort key: of two overrides of the same path, the greater one is in force."""
        return self.revision, self.set_by


class AgedVerdict(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A verdict and its age in microseconds."""

    verdict: ZoneVerdict
    age_us: WireInteger


class TimedOverride(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An override and its remaining time in microseconds."""

    override: OperatorOverride
    remaining_us: WireInteger


# --- messages


class EvidenceReport(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Results of a member's calls into a zone or region.

    ``sequence`` numbers the member's reports within its ``incarnation``. ``other_zones`` are the results
    outside of ``path``, one item per bucket, newest first. ``request_id`` is the answered request, or 0 for
    an unsolicited report. ``verdict_epoch`` is the epoch of the verdict on ``path`` for all members that the
    reporter has, or 0 without one.
    """

    path: ZonePath
    incarnation: WireInteger
    sequence: WireInteger
    cells: Annotated[tuple[EvidenceCell, ...], Meta(max_length=256)] = ()
    loads: Annotated[tuple[DestinationLoad, ...], Meta(max_length=64)] = ()
    other_zones: Annotated[tuple[BucketResults, ...], Meta(max_length=64)] = ()
    request_id: WireInteger = 0
    verdict_epoch: WireInteger = 0


class EvidenceRequest(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Request for a report on a zone or region."""

    path: ZonePath
    request_id: WireInteger


class VerdictSync(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Verdicts and overrides of the sender."""

    verdicts: Annotated[tuple[AgedVerdict, ...], Meta(max_length=64)] = ()
    overrides: Annotated[tuple[TimedOverride, ...], Meta(max_length=64)] = ()


class StateDigest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """A hash of the sender's verdicts and overrides.

    A receiver whose hash differs answers with its verdicts and overrides. Unless ``is_reply`` is set, it also
    sends its own digest, so that the sender does the same.
    """

    value: int
    is_reply: bool = False


Message = EvidenceReport | EvidenceRequest | VerdictSync | StateDigest


# --- actions


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member, without a guarantee of delivery."""

    recipient: str
    message: Message


@dataclass(frozen=True, slots=True)
class ZoneUsageChanged:
    """The results of :meth:`ZoneCoordinator.get_usage` may have changed."""


@dataclass(frozen=True, slots=True)
class ZoneLogEvent:
    """A log event on a zone or region."""

    event: str
    path: str
    fields: tuple[tuple[str, str | int], ...] = ()


Action = SendMessage | ZoneUsageChanged | ZoneLogEvent


class ActionQueue:
    """Queue of actions, in order, that the coordinator returns to its caller."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self._actions: list[Action] = []

    def send(self, recipient: str, message: Message) -> None:
        """Queue a message to another member; ignore a message to this member."""
        if recipient != self.own_name:
            self._actions.append(SendMessage(recipient, message))

    def log(self, event: str, path: str, **fields: str | int) -> None:
        """Queue a log event."""
        self._actions.append(ZoneLogEvent(event, path, tuple(fields.items())))

    def notify_usage_changed(self) -> None:
        """Queue a notification that the usage of zones may have changed."""
        self._actions.append(ZoneUsageChanged())

    def drain(self) -> list[Action]:
        """Return all queued actions and empty the queue."""
        actions, self._actions = self._actions, []
        return actions

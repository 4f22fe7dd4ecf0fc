"""Wire format of the register: JSON Lines over TCP, validated against a schema (``docs/register.md``).

A forwarder sends a request such as ``{"since": 41}``; the register answers with one update and then pushes
changes. A line that does not match the schema is rejected as a whole.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from honeybarrow.addressing.address import Address

MAX_LINE_BYTES = 1 << 22  # fits a list of about 20,000 endpoints


class StrictRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Base of records that reject unknown fields."""


class EndpointAddress(StrictRecord, frozen=True):
    """Address of an endpoint: IP address and port, or the path of a Unix socket.

    All addresses of an endpoint lead to the same partner. Lower priorities are tried first; within a
    priority, addresses in the forwarder's ``zone`` come first, and ``weight`` distributes the attempts over
    the others if weights differ (RFC 2782). Addresses on the same ``machine`` fail together.
    """

    host: Annotated[str, Meta(max_length=255)] = ""
    port: Annotated[int, Meta(ge=0, le=65535)] = 0
    path: Annotated[str, Meta(max_length=100)] = ""
    protocol: Literal["smtp", "lmtp"] = "smtp"
    priority: Annotated[int, Meta(ge=0, le=65535)] = 0
    weight: Annotated[int, Meta(ge=0, le=65535)] = 1
    zone: Annotated[str, Meta(max_length=64)] = ""
    machine: Annotated[str, Meta(max_length=64)] = ""

    def __post_init__(self) -> None:
        if bool(self.path) == bool(self.host) or bool(self.host) != bool(self.port):
            raise ValueError("an address must have either a host and a port, or a path")


def to_address(entry: EndpointAddress) -> Address:
    """Return the address in the form that the delivery core uses."""
    lmtp = entry.protocol == "lmtp"
    return Address(
        entry.host, entry.port, lmtp, entry.path, entry.priority, entry.weight, entry.zone, entry.machine
    )


class Partner(StrictRecord, frozen=True):
    """A destination: its number, the domain name used in recipients, and its kind.

    ``networks``, if given, are reserved for this partner: its endpoints must be inside them, and endpoints of
    other partners must not.
    """

    number: Annotated[int, Meta(ge=0)]
    name: Annotated[str, Meta(min_length=1, max_length=255, pattern=r"^[a-z0-9.-]+$")]
    kind: str = ""
    networks: Annotated[tuple[str, ...], Meta(max_length=64)] = ()


class EndpointEntry(StrictRecord, frozen=True):
    """One endpoint. ``weight``: attempts per second that it accepts from all forwarders together."""

    target: Annotated[str, Meta(min_length=1, max_length=128, pattern=r"^[!-~]+$")]
    destination: int
    state: Literal["ready", "draining", "gone"]
    zone: str = ""
    weight: Annotated[float, Meta(ge=0.0, le=1e9)] = 1.0
    addresses: tuple[EndpointAddress, ...] = ()


class ListUpdate(StrictRecord, frozen=True):
    """A full list, or the changes since the requested version."""

    kind: Literal["full", "changes"]
    version: Annotated[int, Meta(ge=0)]
    partners: tuple[Partner, ...] = ()
    endpoints: tuple[EndpointEntry, ...] = ()


class ListRequest(StrictRecord, frozen=True):
    """Request of a forwarder: the version that it has (0 for none) and its name."""

    since: Annotated[int, Meta(ge=0)]
    forwarder: str = ""

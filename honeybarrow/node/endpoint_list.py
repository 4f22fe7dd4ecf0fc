"""Parsing of discovery's endpoint list, and the table of listed endpoints."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from honeybarrow.errors import HoneybarrowError
from honeybarrow.events import Endpoint, EndpointState, MembershipUpdate, UpdateKind

MAX_ENTRIES = 10_000  # of one item
MAX_ITEM_BYTES = 4 << 20
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"')
# Matches whole strings to skip brackets in them, and one that isn't closed to the end of the line: otherwise
# each escaped quote in it would be tried as the start of another string.
_STRING_OR_BRACKET = re.compile(_STRING.pattern + rb'|".*|[{}\[\]]')
STATE_BY_STATUS = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
SocketAddress = tuple[str, int]
log = logging.getLogger("honeybarrow.node")


def parse_address(text: str, label: str = "address") -> SocketAddress:
    """Parse ``host:port`` with a numeric IPv4 host; host names are not supported.

    :raises ValueError: if the text is not such an address; the message begins with ``label``.
    """
    host, colon, port = text.rpartition(":")
    parts = host.split(".")
    is_ipv4 = len(parts) == 4 and all(p.isdigit() and len(p) <= 3 and int(p) < 256 for p in parts)
    if not colon or not is_ipv4 or not port.isdigit() or len(port) > 5 or not 0 < int(port) < 65536:
        raise ValueError(f"{label} {text[:60]!r} is not address:port")
    return host, int(port)


class EndpointListError(HoneybarrowError, ValueError):
    """An item of the endpoint list is invalid."""

    code = "HB301"
    remedy = "the current list stays in use and is requested again; if this continues, check discovery"


@dataclass(frozen=True, slots=True)
class EndpointList:
    """An item of a watch: the whole list (a snapshot) or the changed endpoints, with their addresses.

    ``started_ms`` is when the process of an endpoint started. It is only compared with earlier values:
    another one means another process, which knows nothing of the connections of the one before.
    """

    version: int
    is_snapshot: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[str, SocketAddress]
    started_ms: dict[str, int] = field(default_factory=dict)

    def to_membership_update(self, kind: UpdateKind | None = None) -> MembershipUpdate:
        """Return the event for the policy; ``kind`` overrides the kind of the item."""
        own = UpdateKind.FULL if self.is_snapshot else UpdateKind.CHANGES
        return MembershipUpdate(kind or own, self.version, self.endpoints)


def parse_item(line: bytes) -> EndpointList:
    """Parse an item of a watch, or a whole response.

    :raises EndpointListError: if it is not JSON or not an endpoint list.
    """
    try:
        value = json.loads(line)
    except (ValueError, RecursionError):
        raise EndpointListError("an item of the list is not JSON") from None
    return parse_endpoint_list(value)


class WatchReader:
    """Incremental parser of the items of a watch.

    An item takes one line, or several if its JSON is indented, and has at most ``max_item_bytes``. An empty
    line is a heartbeat; within an item it is an error.
    """

    def __init__(self, max_item_bytes: int = MAX_ITEM_BYTES) -> None:
        self._max_item_bytes = max_item_bytes
        self._partial_line = bytearray()
        self._partial_item = bytearray()  # complete lines of an incomplete item
        self._open_brackets = 0  # in ``_partial_item``
        self.heartbeat_count = 0  # empty lines received

    def receive(self, data: bytes) -> list[EndpointList]:
        """Add received bytes; return the items that they complete.

        :raises EndpointListError: if the watch can't be parsed; no more bytes may be added then.
        """
        if len(self._partial_line) + len(data) + len(self._partial_item) > self._max_item_bytes:
            raise EndpointListError(f"an item of the list has more than {self._max_item_bytes} bytes")
        # Only the new bytes are searched, so that an item costs the same in any number of pieces.
        *line_ends, rest = data.split(b"\n")
        items = []
        for line_end in line_ends:
            line = bytes(self._partial_line) + line_end
            self._partial_line.clear()
            if (item := self._receive_line(line)) is not None:
                items.append(item)
        self._partial_line += rest
        return items

    def _receive_line(self, line: bytes) -> EndpointList | None:
        if not line.strip():
            if self._partial_item:
                raise EndpointListError("an item of the list is interrupted by an empty line")
            self.heartbeat_count += 1
            return None
        tokens = _STRING_OR_BRACKET.findall(line)
        if tokens and tokens[-1].startswith(b'"') and _STRING.fullmatch(tokens[-1]) is None:
            raise EndpointListError("a string in an item of the list does not end on its line")
        for token in tokens:
            self._open_brackets += (token in (b"{", b"[")) - (token in (b"}", b"]"))
        self._partial_item += line + b"\n"
        if self._open_brackets > 0:
            return None
        item, self._partial_item, self._open_brackets = bytes(self._partial_item), bytearray(), 0
        return parse_item(item)


def parse_endpoint_list(value: Any) -> EndpointList:
    """Convert a parsed JSON item. Invalid entries are skipped and logged.

    :raises EndpointListError: if the value is not an endpoint list.
    """
    if not isinstance(value, dict) or not isinstance(value.get("endpoints"), list):
        raise EndpointListError("an item of the list has no array 'endpoints'")
    version, rows = value.get("index"), value["endpoints"]
    if isinstance(version, bool) or not isinstance(version, int):
        raise EndpointListError("an item of the list has no integer 'index'")
    if len(rows) > MAX_ENTRIES:
        raise EndpointListError(f"an item of the list has more than {MAX_ENTRIES} entries")
    endpoints: list[Endpoint] = []
    addresses: dict[str, SocketAddress] = {}
    started_ms: dict[str, int] = {}
    skipped = 0
    for row in rows:
        try:
            endpoint, address = _parse_entry(row)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            skipped += 1
            if skipped == 1:  # only the first is logged in full; a damaged list may have thousands
                remedy = "correct this entry in discovery"
                log.warning("list_entry_skipped reason=%s entry=%.200r remedy=%r", error, row, remedy)
            continue
        endpoints.append(endpoint)
        if address is not None:
            addresses[endpoint.target] = address
            started_ms[endpoint.target] = _parse_start_ms(row)
    if skipped > 1:
        log.warning("list_entries_skipped skipped=%d entries=%d", skipped, len(rows))
    return EndpointList(version, value.get("snapshot") is True, tuple(endpoints), addresses, started_ms)


def _parse_start_ms(row: Mapping[str, Any]) -> int:
    """Return when the process of an entry started; 0 if that is unknown."""
    value = row.get("since_ms", 0)
    return value if isinstance(value, int) and not isinstance(value, bool) else 0


def _parse_entry(row: Any) -> tuple[Endpoint, SocketAddress | None]:
    name, group, state = row["name"], row["group"], STATE_BY_STATUS[row["status"]]
    if not isinstance(name, str) or not name:
        raise ValueError("'name' is not a non-empty string")
    if isinstance(group, bool) or not isinstance(group, int):
        raise ValueError("'group' is not an integer")
    weight = row.get("weight", 1.0)
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        raise ValueError("'weight' is not a number")
    address = None
    if state is not EndpointState.GONE or "address" in row:
        address = parse_address(str(row.get("address", "")))
    kind, zone = str(row.get("type", "")), str(row.get("zone", ""))
    return Endpoint(name, group, state, kind, zone, float(weight)), address


class EndpointTable:
    """Table of the listed endpoints: their addresses, and which of them accept new calls."""

    def __init__(self) -> None:
        self.addresses: dict[str, SocketAddress] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.accepting: dict[str, None] = {}
        self._started_ms: dict[str, int] = {}
        self.listed_destinations: dict[int, None] = {}  # all that were listed since the start of the process

    def apply_update(self, update: EndpointList) -> list[str]:
        """Apply an item of the list; return the endpoints whose idle connections must be closed."""
        listed = {endpoint.target: None for endpoint in update.endpoints}
        unusable = [target for target in self.addresses if update.is_snapshot and target not in listed]
        for endpoint in update.endpoints:
            target, address = endpoint.target, update.addresses.get(endpoint.target)
            if endpoint.state is EndpointState.GONE or address is None:
                unusable.append(target)
                self._remove(target)
                continue
            self.listed_destinations[endpoint.destination] = None
            start_ms = update.started_ms.get(target, 0)
            is_other_process = self._started_ms.get(target, start_ms) != start_ms
            if is_other_process or self.addresses.get(target, address) != address:
                unusable.append(target)
            self.addresses[target], self._started_ms[target] = address, start_ms
            self.endpoints[target] = endpoint
            if endpoint.state is EndpointState.READY:
                self.accepting[target] = None
            else:
                self.accepting.pop(target, None)
        for target in unusable:
            if target not in listed:
                self._remove(target)
        return unusable

    def _remove(self, target: str) -> None:
        self.addresses.pop(target, None)
        self._started_ms.pop(target, None)
        self.endpoints.pop(target, None)
        self.accepting.pop(target, None)

    def to_membership_update(self, version: int, is_outdated: bool) -> MembershipUpdate:
        """Return the whole table as an event for the policy; endpoints of an outdated list are draining."""
        endpoints = tuple(self.endpoints.values())
        if is_outdated:
            endpoints = tuple(replace(each, state=EndpointState.DRAINING) for each in endpoints)
        return MembershipUpdate(UpdateKind.CHANGES, version, endpoints)

    def addresses_of(self, target: str) -> list[SocketAddress]:
        """Return the address of an endpoint that accepts new calls, otherwise an empty list."""
        return [self.addresses[target]] if target in self.accepting else []

    def accepts_calls(self, target: str) -> bool:
        """Return whether an endpoint accepts new calls."""
        return target in self.accepting

    def accepts_calls_at(self, target: str, address: SocketAddress) -> bool:
        """Return whether an endpoint accepts new calls and has this address."""
        return target in self.accepting and self.addresses[target] == address

    def is_destination_listed(self, destination: int) -> bool:
        """Return whether a destination has been listed since the start of the process."""
        return destination in self.listed_destinations

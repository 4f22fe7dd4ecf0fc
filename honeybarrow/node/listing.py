"""Discovery's list as text, and the news it makes for the module."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from typing import Any

from honeybarrow import interface as hb

ENTRIES_MOST = 10_000  # of one list
STATES = {
    "active": hb.EndpointState.READY,
    "leaving": hb.EndpointState.DRAINING,
    "left": hb.EndpointState.GONE,
}
log = logging.getLogger("honeybarrow.node")


class ListError(ValueError):
    """An item of the list can't be read at all."""


@dataclass(frozen=True, slots=True)
class Listing:
    """One item of discovery: the whole list, or what changed; and where each endpoint listens."""

    version: int
    whole: bool
    endpoints: tuple[hb.Endpoint, ...]
    addresses: dict[str, tuple[str, int]]

    def news(self, kind: hb.ListKind | None = None) -> hb.MembershipNews:
        """As the module is told."""
        own = hb.ListKind.FULL if self.whole else hb.ListKind.CHANGES
        return hb.MembershipNews(kind or own, self.version, self.endpoints)


def parse_line(line: bytes) -> Listing:
    """One line of a watch, or a whole answer."""
    try:
        value = json.loads(line)
    except (ValueError, RecursionError):
        raise ListError("an item of the list is not JSON") from None
    return parse_listing(value)


def parse_listing(value: Any) -> Listing:
    """An item that was read as JSON. An entry that can't be read is skipped and logged.

    :raises ListError: if nothing of it can be used.
    """
    if not isinstance(value, dict) or not isinstance(value.get("endpoints"), list):
        raise ListError("an item of the list has no endpoints")
    version, rows = value.get("index"), value["endpoints"]
    if isinstance(version, bool) or not isinstance(version, int):
        raise ListError("an item of the list has no index")
    if len(rows) > ENTRIES_MOST:
        raise ListError(f"an item of the list has more than {ENTRIES_MOST} entries")
    endpoints: list[hb.Endpoint] = []
    addresses: dict[str, tuple[str, int]] = {}
    for row in rows:
        try:
            endpoint, place = _entry(row)
        except (KeyError, TypeError, ValueError) as error:
            log.warning("an entry of the list is skipped: %s: %.200r", error, row)
            continue
        endpoints.append(endpoint)
        if place is not None:
            addresses[endpoint.target] = place
    return Listing(version, value.get("snapshot") is True, tuple(endpoints), addresses)


def _entry(row: Any) -> tuple[hb.Endpoint, tuple[str, int] | None]:
    name, group, state = row["name"], row["group"], STATES[row["status"]]
    if not isinstance(name, str) or not name or isinstance(group, bool) or not isinstance(group, int):
        raise ValueError("name or group")
    weight = row.get("weight", 1.0)
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        raise ValueError("weight")
    place = None
    if state is not hb.EndpointState.GONE or "address" in row:
        host, _, port = str(row.get("address", "")).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError("address")
        place = (host, int(port))
    kind, zone = str(row.get("type", "")), str(row.get("zone", ""))
    return hb.Endpoint(name, group, state, kind, zone, float(weight)), place

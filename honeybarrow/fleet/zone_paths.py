"""Paths of zones and regions: the name of a zone may contain its regions, as in ``region/zone``."""

from __future__ import annotations


def is_within(zone: str, path: str) -> bool:
    """Return whether ``path`` names the zone or a region of it."""
    return zone == path or zone.startswith(path + "/")


def expand_path(zone: str) -> list[str]:
    """Return the regions of a zone, outermost first, then the zone: ``r1/a`` gives ``["r1", "r1/a"]``."""
    parts = zone.split("/")
    return ["/".join(parts[: i + 1]) for i in range(len(parts))] if zone else []

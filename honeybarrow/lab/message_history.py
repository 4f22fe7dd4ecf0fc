"""Extracts the history of one message from the trace of a run."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

SECOND_US = 1_000_000
OMITTED_FIELDS = frozenset({"at", "who", "what", "message"})


def describe_message(trace: Sequence[dict[str, Any]], message: str) -> list[str]:
    """Return the formatted trace lines of a message.

    Lines of the same period about its endpoints are included and marked with ``|``.

    :param message: the client's Message-ID or a forwarder's id; lines with either are included.
    """
    known_ids = {message}
    for row in trace:  # a forwarder logs both ids of a submitted message
        ids = {str(row.get(name)) for name in ("message", "ident", "message_id") if row.get(name)}
        if ids & known_ids:
            known_ids |= ids
    rows = [row for row in trace if row.get("message") in known_ids or row.get("ident") in known_ids]
    if not rows:
        return []
    first, last = rows[0]["at"], rows[-1]["at"]
    sources = {row["who"] for row in rows}
    targets = {row["target"] for row in rows if row.get("target")}
    related = [
        row
        for row in trace
        if first <= row["at"] <= last
        and row not in rows
        and not row.get("message")
        and (row.get("target") in targets or (row["who"] in sources and mentions_endpoint(row, targets)))
    ]
    lines = []
    for row in sorted(rows + related, key=lambda row: row["at"]):
        fields = ", ".join(
            f"{name} {value}" for name, value in row.items() if name not in OMITTED_FIELDS and value != ""
        )
        mark = " " if row in rows else "|"
        lines.append(
            f"{(row['at'] - SECOND_US) / SECOND_US:9.3f} s {mark} {row['who']}: {row['what']} ({fields})"
        )
    return lines


def mentions_endpoint(row: dict[str, Any], targets: set[Any]) -> bool:
    """Return whether the text of a log line contains the name of one of these endpoints."""
    text = str(row.get("text", ""))
    return any(str(target) in text for target in targets)

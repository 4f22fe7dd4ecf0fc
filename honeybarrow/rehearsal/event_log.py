"""Event log of the stand-ins: what they read and wrote on their sockets, with times.

The rule checker uses no other input.
"""

from __future__ import annotations

import enum
import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

MAX_ENTRIES = 2_000_000  # bounds the memory that a run can use


class EventKind(enum.StrEnum):
    """Kind of an event. The values are part of the file format."""

    RUN_STARTED = "began"
    # Recorded by clients.
    MESSAGE_CREATED = "asked"
    MESSAGE_SUBMITTED = "handed"
    FINAL_REPLY = "answered"
    SUBMISSION_REJECTED = "not taken"
    SUBMISSION_LOST = "lost"
    # Recorded by stand-in servers.
    FAULT = "trouble"
    ADDRESS_FAULT = "spot"
    COLLAPSED = "fell"
    CONNECTION_REFUSED = "connection refused"
    CONNECTION_ABANDONED = "connection given up"
    TOO_MANY_CONNECTIONS = "table full"
    CALL_STARTED = "call"
    CALL_MESSAGE = "message"
    CALL_REPLIED = "replied"
    CALL_LOST = "call lost"
    CALL_IGNORED = "call unheard"
    MESSAGE_EXECUTED = "ran"
    DUPLICATE_DROPPED = "dropped"
    # Recorded by the register.
    REGISTER_DOWN = "down"
    UPDATE_SENT = "told"
    MALFORMED_UPDATE_SENT = "told badly"
    STALE_UPDATE_SENT = "told stale"
    # Recorded by the scenario runner and the stand-in environment.
    ZONE_FAULT = "zone"
    LINK_FAULT = "links"
    FORWARDER_KILLED = "killed"
    FORWARDER_PAUSED = "stalled"
    FORWARDER_RESTARTED = "restarted"


@dataclass(frozen=True, slots=True)
class EventLogEntry:
    """Recorded event: time in microseconds on the rehearsal's clock, source, kind and fields."""

    at_us: int
    source: str
    kind: EventKind
    fields: dict[str, Any]

    def __getitem__(self, name: str) -> Any:
        """Return the value of a field, or ``None`` if the entry does not have it."""
        return self.fields.get(name)

    def as_row(self) -> dict[str, Any]:
        """Return the entry as the JSON object that is written to a log file."""
        return {"at": self.at_us, "who": self.source, "what": self.kind, **self.fields}


class EventLog:
    """Entries in the order in which they were recorded. ``on_entry`` is called with each new entry.

    With ``keep_entries`` false, entries are only passed to ``on_entry``.
    """

    def __init__(
        self,
        now_us: Callable[[], int],
        keep_entries: bool = True,
        on_entry: Callable[[EventLogEntry], None] | None = None,
    ) -> None:
        self.now_us, self.keep_entries, self.on_entry = now_us, keep_entries, on_entry
        self.entries: list[EventLogEntry] = []

    def record(self, source: str, event_kind: EventKind, **fields: Any) -> None:
        """Record an event at the current time.

        Raises ``RuntimeError`` if the log is full.
        """
        if len(self.entries) >= MAX_ENTRIES:
            raise RuntimeError("the event log is full")
        entry = EventLogEntry(self.now_us(), source, event_kind, fields)
        if self.keep_entries:
            self.entries.append(entry)
        if self.on_entry is not None:
            self.on_entry(entry)

    def write(self, path: Path) -> None:
        """Write the entries as JSON Lines."""
        with path.open("w", encoding="utf-8") as file:
            for entry in self.entries:
                file.write(json.dumps(entry.as_row()) + "\n")


def read_event_log(path: Path) -> list[EventLogEntry]:
    """Return the entries of a file written by :meth:`EventLog.write`."""
    entries = []
    for line in path.read_text(encoding="utf-8").splitlines():
        row = json.loads(line)
        entries.append(EventLogEntry(row.pop("at"), row.pop("who"), EventKind(row.pop("what")), row))
    return entries

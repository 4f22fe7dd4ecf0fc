"""The states of a message from its acceptance to its end."""

from __future__ import annotations

import enum


class MessageState(enum.Enum):
    """State of an accepted message."""

    ACCEPTED = "accepted"  # no attempt has started
    WAITING = "waiting"  # for another attempt; no earlier one can have run
    IN_FLIGHT = "in_flight"
    AMBIGUOUS = "ambiguous"  # no attempt is in flight, and an earlier one may have run
    ENDING = "ending"  # its final result is decided, and not yet acknowledged
    ENDED = "ended"

"""States of a message between acceptance and completion."""

from __future__ import annotations

import enum


class MessageState(enum.Enum):
    """State of an accepted message."""

    ACCEPTED = "accepted"  # no attempt has started
    WAITING = "waiting"  # between attempts, none of which can have run
    IN_FLIGHT = "in_flight"
    AMBIGUOUS = "ambiguous"  # no attempt is in flight, an earlier one may have run
    ENDING = "ending"  # the final result is decided but not yet acknowledged
    ENDED = "ended"

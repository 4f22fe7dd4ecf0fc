"""What becomes of a message whose outcome is refuted. Pure functions without I/O.

A refuted outcome may belong to another request, but in most cases it is true: connections end for many
reasons. So the decision has to be right in both cases.

=================  ============================  ==========================  ================================
outcome            if it is true                 if it is another request's  decision
=================  ============================  ==========================  ================================
delivered          a call is answered the same   a result is owed            a call on the strongest evidence,
                                                                             inside its time; else a
                                                                             notification
not run            it may be sent again          it may have run             as after an ambiguous attempt
over (410)         no call, ever                 a result is owed            notified when it is read, never
                                                                             refuted
no attempt (504)   a call can't succeed          a result is owed            the same
=================  ============================  ==========================  ================================

A notification for a message that is over has no effect. Messages that must not run twice, and ordered ones,
use connections on which each response is certain.
"""

from __future__ import annotations

import enum

from honeybarrow.delivery.outcome import Evidence
from honeybarrow.message_guard import Refusal


class Decision(enum.Enum):
    """What is done after a refutation."""

    RESUME = "resumed"  # the message is sent again
    NOTIFY = "notified"  # the platform is notified that the message has failed
    AMBIGUOUS = "ambiguous"  # the attempt counts as one that may have run


def decide(evidence: Evidence, ends_message: bool, refusal: Refusal | None) -> Decision:
    """Return what to do about a refuted outcome.

    ``ends_message`` tells whether the message was completed by it, as delivered. ``refusal`` is why the
    message may not be resumed, or ``None``.
    """
    if not ends_message:
        return Decision.AMBIGUOUS
    # Only a surplus response shows that one of the outcomes of its connection is wrong. If it says that a
    # message is over, that may be this one.
    if evidence is Evidence.SURPLUS_RESPONSE and refusal is None:
        return Decision.RESUME
    return Decision.NOTIFY

"""What becomes of a message whose outcome is refuted. Pure functions without I/O.

A refuted outcome may belong to another request, but in most cases it is true: connections end for many
reasons. So the decision has to be right in both cases.

=================  ============================  ==========================  ================================
outcome            if it is true                 if it is another request's  decision
=================  ============================  ==========================  ================================
delivered          nothing is owed               a result is owed            a notification
not run            it may be sent again          it may have run             as after an ambiguous attempt
over (410)         no call, ever                 a result is owed            notified when it is read, never
                                                                             refuted
no attempt (504)   a call can't succeed          a result is owed            the same
=================  ============================  ==========================  ================================

A notification for a message that is over has no effect. A delivery is not sent again even if its response was
certainly a copy: the true response, still to come or lost with the connection, may say that the message is
over. Messages that must not run twice, and ordered ones, use connections on which each response is certain.
"""

from __future__ import annotations

import enum


class Decision(enum.Enum):
    """What is done after a refutation."""

    NOTIFY = "notified"  # the platform is notified that the message has failed
    AMBIGUOUS = "ambiguous"  # the attempt counts as one that may have run


def decide(ends_message: bool) -> Decision:
    """Return what to do about a refuted outcome, by which the message was completed if ``ends_message``."""
    return Decision.NOTIFY if ends_message else Decision.AMBIGUOUS

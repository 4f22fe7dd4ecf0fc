"""The delivery core: messages in flight, attempts and their outcomes, SMTP and LMTP connections.

Fronts submit messages with :meth:`Forwarder.submit`.
"""

from honeybarrow.delivery.connection_pool import MailConnectionPool, PoolLimits
from honeybarrow.delivery.connector import Connector
from honeybarrow.delivery.forwarder import Forwarder, ignore_cancelled
from honeybarrow.delivery.mail_call import MailPayload
from honeybarrow.delivery.outcome import (
    AttemptOutcome,
    classify_connection_loss,
    classify_reply,
    classify_session_refusal,
    classify_timeout,
)
from honeybarrow.delivery.results import Delivered, DeliveryResult, Failed, NotRecorded, Refused
from honeybarrow.delivery.submission import DeliveryCounters, Submission

__all__ = [
    "AttemptOutcome",
    "Connector",
    "Delivered",
    "DeliveryCounters",
    "DeliveryResult",
    "Failed",
    "Forwarder",
    "MailConnectionPool",
    "MailPayload",
    "NotRecorded",
    "PoolLimits",
    "Refused",
    "Submission",
    "classify_connection_loss",
    "classify_reply",
    "classify_session_refusal",
    "classify_timeout",
    "ignore_cancelled",
]

"""The delivery core: messages in flight, attempts and their outcomes, SMTP and LMTP connections.

Fronts submit messages with :meth:`Forwarder.submit`. The modules for mail are loaded when a name of theirs is
used first, because the platform's process does without them.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from honeybarrow.delivery.connector import Connector
from honeybarrow.delivery.forwarder import Forwarder, ignore_cancelled
from honeybarrow.delivery.outcome import AttemptOutcome, classify_connection_loss, classify_timeout
from honeybarrow.delivery.results import (
    Delivered,
    DeliveryResult,
    Failed,
    NoTimeLeft,
    NotRecorded,
    Refused,
)
from honeybarrow.delivery.submission import DeliveryCounters, Submission

if TYPE_CHECKING:
    from honeybarrow.delivery.connection_pool import MailConnectionPool, PoolLimits
    from honeybarrow.delivery.mail_call import MailPayload
    from honeybarrow.delivery.mail_outcome import classify_reply, classify_session_refusal

_MAIL_MODULES = {
    "MailConnectionPool": "connection_pool",
    "MailPayload": "mail_call",
    "PoolLimits": "connection_pool",
    "classify_reply": "mail_outcome",
    "classify_session_refusal": "mail_outcome",
}

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
    "NoTimeLeft",
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


def __getattr__(name: str) -> Any:
    if name not in _MAIL_MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MAIL_MODULES[name]}"), name)

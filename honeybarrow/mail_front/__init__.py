"""The mail fronts: clients submit messages over SMTP and LMTP, which are routed by rules and delivered."""

from honeybarrow.mail_front.connection_registry import ConnectionRegistry, MailFrontLimits
from honeybarrow.mail_front.protocol import MailServerFactory, MailServerProtocol
from honeybarrow.mail_front.replies import reply_for_result
from honeybarrow.mail_front.routing import (
    MessageProperties,
    MessageRouter,
    Route,
    RoutingRules,
    UnroutableError,
)
from honeybarrow.mail_front.submission import MailSubmissionService

__all__ = [
    "ConnectionRegistry",
    "MailFrontLimits",
    "MailServerFactory",
    "MailServerProtocol",
    "MailSubmissionService",
    "MessageProperties",
    "MessageRouter",
    "Route",
    "RoutingRules",
    "UnroutableError",
    "reply_for_result",
]

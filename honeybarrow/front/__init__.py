"""The fronts: what clients talk to. They map a message by rules and enter the core at one place."""

from honeybarrow.front.mapping import Mapper, Properties, Route, Rules, Unmapped, key_number
from honeybarrow.front.protocol import FrontFactory, FrontLimits, MailFront, reply_of

__all__ = [
    "FrontFactory",
    "FrontLimits",
    "MailFront",
    "Mapper",
    "Properties",
    "Route",
    "Rules",
    "Unmapped",
    "key_number",
    "reply_of",
]

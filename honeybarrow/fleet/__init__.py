"""Coordination between the forwarders of a fleet: membership, evidence, zone verdicts and replication.

See docs/fleet.md. The platform's ``run`` command does not import this package.
"""

from honeybarrow.fleet.membership import Membership
from honeybarrow.fleet.membership_messages import (
    MemberChanged,
    MembershipAction,
    MemberState,
    MemberUpdate,
    NameConflict,
    PushPull,
    SendMessage,
    SwimMessage,
)
from honeybarrow.fleet.swim_config import SwimConfig

__all__ = [
    "MemberChanged",
    "MemberState",
    "MemberUpdate",
    "Membership",
    "MembershipAction",
    "NameConflict",
    "PushPull",
    "SendMessage",
    "SwimConfig",
    "SwimMessage",
]

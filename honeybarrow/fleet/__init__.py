"""What forwarders of one fleet tell each other. Never imported by the platform's ``run`` (docs/fleet.md)."""

from honeybarrow.fleet.membership import (
    Changed,
    Membership,
    Message,
    Replaced,
    Rules,
    Say,
    State,
    Swap,
    Word,
)

__all__ = ["Changed", "Membership", "Message", "Replaced", "Rules", "Say", "State", "Swap", "Word"]

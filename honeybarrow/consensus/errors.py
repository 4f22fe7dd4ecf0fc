"""Errors of the replicated log that are shown to operators."""

from __future__ import annotations

from honeybarrow.errors import HoneybarrowError


class DivergedError(HoneybarrowError):
    """A member's log conflicts with the committed log of the fleet; the member stops voting and acting."""

    code = "HB501"
    remedy = "stop this member, keep its consensus folder for analysis, and add it again with an empty folder"


class NotLeaderError(HoneybarrowError):
    """The member is not the leader of the fleet's log, or can't reach a majority of the voters."""

    code = "HB502"
    remedy = (
        "ask the leader ('honeybarrow fleet agreement'); if there is none, start a majority of the voters"
    )

    def __init__(self, what: str, leader: str = "") -> None:
        super().__init__(what, f"the leader is {leader!r}" if leader else "no leader is known")
        self.leader = leader


class VoterChangeError(HoneybarrowError):
    """The voters can't be changed as proposed, or not at this time."""

    code = "HB503"
    remedy = "wait until the previous change is committed and the member has caught up, and propose it again"

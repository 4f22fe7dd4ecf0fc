"""Detection of voters whose disk was restored from an old copy.

A voter that loses its disk counts as a different voter (Liskov and Cowling 2012).
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from honeybarrow.consensus.log_entries import Voter
from honeybarrow.consensus.messages import INCARNATION_NONCE_BITS, VoterIdentity


class IdentityCheck(enum.Enum):
    """The result of checking the voter identity in a message."""

    TRUSTED = "trusted"
    OUTDATED = "outdated"  # sent by an earlier incarnation of the voter
    ROLLED_BACK = "rolled back"  # the disk has lost updates that the voter had acknowledged


class IncarnationTracker:
    """Checks whether a voter's disk still holds the updates that it acknowledged to this process.

    A folder restored from an old copy has lost votes and entries, which its content alone does not reveal.
    However, the disk counts each start and each update, so a count lower than one received before shows that
    the disk was rolled back. Two different incarnations with the same start number show it as well: the disk
    was started twice from the same state.
    """

    def __init__(self) -> None:
        # The newest incarnation and its persisted count, by voter name and disk id.
        self._newest: dict[tuple[str, int], tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._newest)

    def check_identity(self, name: str, identity: VoterIdentity) -> IdentityCheck:
        """Check an identity against the newest one of the same voter and disk, and record it if newer."""
        incarnation, persisted_count = self._newest.get((name, identity.disk_id), (0, 0))
        is_same_start = (
            identity.incarnation >> INCARNATION_NONCE_BITS == incarnation >> INCARNATION_NONCE_BITS
        )
        if identity.incarnation == incarnation or not incarnation:
            newest_count = max(persisted_count, identity.persisted_count)
            self._newest[name, identity.disk_id] = (identity.incarnation, newest_count)
            return IdentityCheck.TRUSTED
        is_later = identity.incarnation > incarnation
        if is_same_start or (is_later and identity.persisted_count < persisted_count):
            return IdentityCheck.ROLLED_BACK
        if not is_later:
            return IdentityCheck.OUTDATED
        self._newest[name, identity.disk_id] = (identity.incarnation, identity.persisted_count)
        return IdentityCheck.TRUSTED

    def retain_only(self, voters: Sequence[Voter]) -> None:
        """Drop the records of all other voters and disks."""
        retained = {(voter.name, voter.disk_id): None for voter in voters}
        self._newest = {key: newest for key, newest in self._newest.items() if key in retained}

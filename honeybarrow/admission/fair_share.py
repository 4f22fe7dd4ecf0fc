"""Max-min fairness with a reserve: one scarce resource divided among its users by weight.

While more than the reserve is free, anybody acquires what it asks for; of the reserve a user acquires only up
to its share, which is its weight over that of all who use or have lately asked. So a client that floods fills
what nobody else wants, and one that keeps to its share finds capacity the moment it comes.

No I/O and no clock: times are arguments, in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping

from honeybarrow.errors import InvalidValueError

SECOND_US = 1_000_000
RESERVE_FRACTION = 0.25  # of the capacity, that only users under their share may acquire
DEMAND_WINDOW_US = 5 * SECOND_US  # a user that asked this lately counts, also while it has nothing
WEIGHT_UPDATE_INTERVAL_US = SECOND_US // 10  # between two sums of the weights
MAX_TRACKED_USERS = 4096  # one that has nothing and asks no more is forgotten first


class FairShare:
    """One scarce resource and who has how much of it."""

    def __init__(
        self,
        capacity: int,
        weights: Mapping[str, float] | None = None,
        reserve_fraction: float = RESERVE_FRACTION,
    ) -> None:
        self.capacity, self.reserve_fraction = capacity, reserve_fraction
        self.weights = dict(weights or {})
        self.used = 0
        self.used_by: dict[str, int] = {}
        self._last_request_us_by_user: dict[str, int] = {}
        self._total_weight = 0.0
        self._weights_updated_us = -1

    def compute_share(self, now: int, user: str) -> float:
        """What this user may count on: its weight's part of the whole, among those that want any."""
        self._record_request(now, user)
        return self.capacity * self._get_weight(user) / max(self._total_weight, self._get_weight(user))

    def can_acquire(self, now: int, user: str, amount: int = 1) -> bool:
        """Whether a user may acquire so much more."""
        share = self.compute_share(now, user)
        if self.used + amount > self.capacity:
            return False
        if self.used + amount <= self.capacity * (1.0 - self.reserve_fraction):
            return True
        return self.used_by.get(user, 0) + amount <= max(1.0, share)

    def acquire(self, user: str, amount: int = 1) -> None:
        """Give so much more to a user, whatever :meth:`can_acquire` says."""
        if not amount:
            return
        self.used += amount
        self.used_by[user] = self.used_by.get(user, 0) + amount

    def release(self, user: str, amount: int = 1) -> None:
        """Take so much back. Raises :class:`InvalidValueError` for more than the user has."""
        left = self.used_by.get(user, 0) - amount
        if left < 0:
            raise InvalidValueError(f"{user!r} releases more than it has")
        self.used -= amount
        if left:
            self.used_by[user] = left
        else:
            del self.used_by[user]

    def _get_weight(self, user: str) -> float:
        return self.weights.get(user, 1.0)

    def _record_request(self, now: int, user: str) -> None:
        is_new = user not in self._last_request_us_by_user
        self._last_request_us_by_user[user] = now
        if not is_new and now - self._weights_updated_us < WEIGHT_UPDATE_INTERVAL_US:
            return
        self._weights_updated_us = now
        stale_users = [
            name
            for name, at in self._last_request_us_by_user.items()
            if at < now - DEMAND_WINDOW_US and name not in self.used_by
        ]
        for name in stale_users:
            del self._last_request_us_by_user[name]
        # Danger: names that a client can make up at will would fill the table; the oldest go first.
        while len(self._last_request_us_by_user) > MAX_TRACKED_USERS:
            del self._last_request_us_by_user[
                min(self._last_request_us_by_user, key=self._last_request_us_by_user.__getitem__)
            ]
        # in the order of asking, so that the same events give the same sum to the last bit
        self._total_weight = sum(self._get_weight(name) for name in self._last_request_us_by_user)

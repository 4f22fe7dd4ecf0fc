"""Weighted fair sharing of a resource, with a reserve for users below their share.

Outside the reserve, any user may acquire capacity. The reserve is available only to users that stay within
their share: the capacity times the user's weight, divided by the weights of all users that hold or recently
requested capacity. A user that floods the service can therefore fill idle capacity, while a user within its
share is admitted at once.

Performs no I/O and reads no clock: times are passed as arguments, in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping

from honeybarrow.errors import InvalidValueError

SECOND_US = 1_000_000
RESERVE_FRACTION = 0.25  # part of the capacity reserved for users below their share
DEMAND_WINDOW_US = 5 * SECOND_US  # how long a request counts as demand
WEIGHT_UPDATE_INTERVAL_US = SECOND_US // 10  # minimum time between updates of the total weight
MAX_TRACKED_USERS = 4096


class FairShare:
    """A resource of limited capacity and the amount that each user holds.

    ``weights`` maps a user to its weight; users that are not listed have weight 1.
    """

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
        """Record a request by ``user`` and return its share of the capacity among the active users."""
        self._record_request(now, user)
        return self.capacity * self._get_weight(user) / max(self._total_weight, self._get_weight(user))

    def can_acquire(self, now: int, user: str, amount: int = 1) -> bool:
        """Return whether ``user`` may acquire ``amount`` more."""
        share = self.compute_share(now, user)
        if self.used + amount > self.capacity:
            return False
        if self.used + amount <= self.capacity * (1.0 - self.reserve_fraction):
            return True
        return self.used_by.get(user, 0) + amount <= max(1.0, share)

    def acquire(self, user: str, amount: int = 1) -> None:
        """Assign ``amount`` more to ``user`` without checking :meth:`can_acquire`."""
        if not amount:
            return
        self.used += amount
        self.used_by[user] = self.used_by.get(user, 0) + amount

    def release(self, user: str, amount: int = 1) -> None:
        """Take ``amount`` back from ``user``. Raises :class:`InvalidValueError` if it holds less."""
        remaining = self.used_by.get(user, 0) - amount
        if remaining < 0:
            raise InvalidValueError(f"{user!r} releases {amount}, but holds {self.used_by.get(user, 0)}")
        self.used -= amount
        if remaining:
            self.used_by[user] = remaining
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
            for name, requested_us in self._last_request_us_by_user.items()
            if requested_us < now - DEMAND_WINDOW_US and name not in self.used_by
        ]
        for name in stale_users:
            del self._last_request_us_by_user[name]
        # User names can be chosen freely by clients, so the size of the table is bounded.
        while len(self._last_request_us_by_user) > MAX_TRACKED_USERS:
            del self._last_request_us_by_user[
                min(self._last_request_us_by_user, key=self._last_request_us_by_user.__getitem__)
            ]
        # Summed in dict order, so that the floating-point result is reproducible.
        self._total_weight = sum(self._get_weight(name) for name in self._last_request_us_by_user)

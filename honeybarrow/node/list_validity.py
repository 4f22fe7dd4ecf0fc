"""Whether calls may follow the endpoint list that the process has. Does no I/O and reads no clock.

A list tells the past; what discovery has had to tell since the last item or heartbeat is unknown. "Slow" is
not "down": a call that waits for its answer may bring a change that counts already. For a pushed list:

| what happened | calls by the list |
| --- | --- |
| start with the saved list, first call to discovery unanswered | none, for as long as a call may take |
| an item or a heartbeat | allowed, with the item applied |
| the first call was refused, reset, ended or rejected | allowed: discovery is down, and silent |
| the first call or its watch timed out | allowed: discovery can't be reached |
| a call was rejected soon after its request, and nothing came since | until the list has its maximum age |
| discovery has another address, by a reload | the same, with the shorter age after a reload |
| a later call fails or times out | allowed: it is repeated in time for the limit of 6 s |

The table holds for all messages. A message that must take effect once loses more by a wrong endpoint than by
waiting, but an endpoint of another destination is the worse end for any message, and the wait is short.
"""

from __future__ import annotations

MAX_LIST_AGE_S = 5.9  # since the last item or heartbeat; below the required 6 s
MAX_LIST_AGE_AFTER_START_S = 3.9  # since the start or a change of address; below the required 4 s
MAX_FIRST_CALL_S = 4.8  # until a call has timed out, or a watch that falls silent after its response head


class ListValidity:
    """Decides whether calls may follow the current list. All times are seconds of one monotonic clock."""

    def __init__(self, now_s: float) -> None:
        self._first_call_until_s: float | None = None  # set until a call to discovery has ended
        self._is_age_limited = False  # discovery has rejected a call since the last item or heartbeat
        self._outdated_at_s = now_s + MAX_LIST_AGE_AFTER_START_S

    def await_first_call(self, now_s: float) -> None:
        """Allow no calls until the first call to discovery has ended or told something.

        Changes of the address begin that call anew, so the wait has a limit of its own.
        """
        self._first_call_until_s = now_s + MAX_FIRST_CALL_S

    def on_confirmed(self, now_s: float) -> None:
        """Record an item or a heartbeat, after which the list is current."""
        self._first_call_until_s, self._is_age_limited = None, False
        self._outdated_at_s = now_s + MAX_LIST_AGE_S

    def on_call_rejected(self) -> None:
        """Record an error response that arrived soon, as from a discovery that works and is overloaded."""
        self._is_age_limited = True

    def on_call_ended(self) -> None:
        """Record that a call has failed, has had no answer in its time, or that its watch fell silent."""
        self._first_call_until_s = None

    def on_address_changed(self, now_s: float) -> None:
        """Record that discovery has another address."""
        self._outdated_at_s = min(self._outdated_at_s, now_s + MAX_LIST_AGE_AFTER_START_S)

    def allows_calls(self, now_s: float) -> bool:
        """Return whether calls may follow the current list."""
        awaits_first_call = self._first_call_until_s is not None and now_s < self._first_call_until_s
        is_outdated = self._is_age_limited and now_s >= self._outdated_at_s
        return not (awaits_first_call or is_outdated)

    def next_change_s(self, now_s: float) -> float | None:
        """Return when the answer of :meth:`allows_calls` may change without an event, or ``None``."""
        outdated_at_s = self._outdated_at_s if self._is_age_limited else None
        times = [each for each in (self._first_call_until_s, outdated_at_s) if each is not None]
        return min((each for each in times if each > now_s), default=None)

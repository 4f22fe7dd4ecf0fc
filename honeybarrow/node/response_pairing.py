"""Whether the responses on a connection belong to the requests they were paired with.

An HTTP/1.1 response carries no id of its request; a response is paired by order alone. If a response arrives
twice, its copy is taken for the response to the next request, and each true response for that to the request
after it. So only the first response on a connection is certain. An outcome read from a later one is
unconfirmed: it is confirmed once the connection has been silent for longer than a true response would take,
and refuted if more responses than requests arrive, or if the connection ends before.

Endpoints on whose connections a copy has been seen get a new connection for each call for a while. The module
does no I/O and reads no clock; all times are arguments in microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.events import AttemptStatus
from honeybarrow.settings import Idempotency

MIN_SILENCE_US, MAX_SILENCE_US = 300_000, 5_000_000  # that confirms the outcomes of a connection
RESPONSE_TIME_DECAY = 0.95  # of the longest response time, at each shorter one
MIN_RETRY_HOLD_US, MAX_RETRY_HOLD_US = 200_000, 1_000_000
MAX_UNCONFIRMED_OUTCOMES = 8  # of one connection; it carries no further request until they are confirmed
MAX_UNCONFIRMED_US = 3_000_000  # for which a connection carries requests without a confirmation
FIRST_SUSPENSION_US, MAX_SUSPENSION_US = 5_000_000, 600_000_000  # of reuse, after a copy; doubled each time
MAX_SUSPENDED_ENDPOINTS = 3  # from this number on, the network copies: no connection is reused
MAX_TRACKED_ENDPOINTS = 10_000

Outcome = TypeVar("Outcome")


def needs_confirmation(outcome: AttemptOutcome, idempotency: Idempotency) -> bool:
    """Return whether acting on an outcome that belongs to another request would break a guarantee.

    A wrong delivery loses the message. A wrong claim that it did not run lets it run twice, which matters
    unless it is idempotent. A message that is reported as over is never sent again, and the platform is
    notified, which is right whether or not the report concerns this message.
    """
    if outcome.is_over:
        return False
    if outcome.status is AttemptStatus.OK:
        return True
    return outcome.not_run and idempotency is not Idempotency.IDEMPOTENT


class ResponsePairing(Generic[Outcome]):
    """Responses of one connection, and the outcomes read from them that are unconfirmed."""

    def __init__(self) -> None:
        self.responses = 0
        self.unconfirmed: list[Outcome] = []
        self._unconfirmed_since_us = 0
        self._last_input_us = 0
        self.is_failure_uncertain = False  # the last response may be that of an earlier request

    @property
    def is_next_certain(self) -> bool:
        """Whether the next response certainly belongs to the request that is out."""
        return self.responses == 0

    def record_input(self, now_us: int) -> None:
        """Record that bytes have arrived."""
        self._last_input_us = now_us

    def record_response(self, now_us: int, outcome: Outcome | None, is_final: bool) -> None:
        """Record the response to a request.

        ``outcome`` is given if it needs a confirmation; ``is_final`` if its message is not sent again for it.
        """
        self.is_failure_uncertain = self.responses > 0 and not is_final
        self.responses += 1
        self._last_input_us = now_us
        if outcome is None:
            return
        if not self.unconfirmed:
            self._unconfirmed_since_us = now_us
        self.unconfirmed.append(outcome)

    def take_confirmed(self, now_us: int, silence_us: int) -> list[Outcome]:
        """Return and forget the outcomes that a silence of ``silence_us`` up to now has confirmed."""
        if now_us - self._last_input_us < silence_us:
            return []
        return self.take_unconfirmed()

    def take_unconfirmed(self) -> list[Outcome]:
        """Return and forget all unconfirmed outcomes."""
        outcomes, self.unconfirmed = self.unconfirmed, []
        return outcomes

    def may_carry_request(self, now_us: int) -> bool:
        """Return whether the connection may carry another request.

        Doubts stay few and short. A connection on which a call has failed carries no more: the call may still
        be out, and the connection is closed before it is repeated.
        """
        if self.is_failure_uncertain:
            return False
        if not self.unconfirmed:
            return True
        is_recent = now_us - self._unconfirmed_since_us < MAX_UNCONFIRMED_US
        return is_recent and len(self.unconfirmed) < MAX_UNCONFIRMED_OUTCOMES


@dataclass(slots=True)
class _EndpointEvidence:
    """What is known of the responses of one endpoint."""

    longest_response_us: float = 0.0
    copies: int = 0  # seen since the last time without any for long
    suspended_until_us: int = 0


class ReusePolicy:
    """Decides whether connections to an endpoint are reused, from the copies seen and the response times."""

    def __init__(self) -> None:
        self._endpoints: OrderedDict[str, _EndpointEvidence] = OrderedDict()
        self._suspended: dict[str, int] = {}  # end of the suspension by endpoint

    def record_response_time(self, target: str, response_us: int) -> None:
        """Record how long a response has taken, or how long none has come."""
        evidence = self._get(target)
        evidence.longest_response_us = max(
            float(response_us), evidence.longest_response_us * RESPONSE_TIME_DECAY
        )

    def silence_us(self, target: str) -> int:
        """Return the silence after which no response of this endpoint is still expected."""
        evidence = self._endpoints.get(target)
        longest_us = evidence.longest_response_us if evidence is not None else 0.0
        return int(min(MAX_SILENCE_US, max(MIN_SILENCE_US, longest_us)))

    def silence_before_end_us(self, target: str) -> int:
        """Return the silence before the end of a connection that confirms its outcomes.

        Endpoints end idle connections for reasons of their own, so this is shorter than the silence that
        confirms the outcomes of an open connection.
        """
        return self.retry_hold_us(target)

    def retry_hold_us(self, target: str) -> int:
        """Return how long a call that failed on a reused connection is not repeated.

        If its response was a copy, its true response comes meanwhile; then the connection is closed.
        """
        evidence = self._endpoints.get(target)
        longest_us = evidence.longest_response_us if evidence is not None else 0.0
        return int(min(MAX_RETRY_HOLD_US, max(MIN_RETRY_HOLD_US, longest_us)))

    def record_copy(self, target: str, now_us: int) -> None:
        """Record a response that no request accounts for: connections are not reused for a while."""
        evidence = self._get(target)
        if now_us > evidence.suspended_until_us + MAX_SUSPENSION_US:
            evidence.copies = 0
        suspension_us = min(MAX_SUSPENSION_US, FIRST_SUSPENSION_US << min(evidence.copies, 10))
        evidence.suspended_until_us = max(evidence.suspended_until_us, now_us + suspension_us)
        evidence.copies += 1
        self._suspended[target] = evidence.suspended_until_us

    def may_reuse(self, target: str, now_us: int) -> bool:
        """Return whether a call to this endpoint may use a connection that has carried another."""
        if not self._suspended:
            return True
        self._suspended = {name: end for name, end in self._suspended.items() if end > now_us}
        return target not in self._suspended and len(self._suspended) < MAX_SUSPENDED_ENDPOINTS

    def _get(self, target: str) -> _EndpointEvidence:
        evidence = self._endpoints.get(target)
        if evidence is None:
            evidence = self._endpoints[target] = _EndpointEvidence()
            if len(self._endpoints) > MAX_TRACKED_ENDPOINTS:
                self._endpoints.popitem(last=False)
        return evidence

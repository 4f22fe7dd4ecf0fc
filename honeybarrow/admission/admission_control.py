"""Admission control of all mail fronts: which sessions, recipients and messages are admitted or deferred.

No I/O and no clock: times are arguments, in microseconds. One :class:`FairShare` each divides sessions,
places for messages, bytes of messages being read, and places among tenants.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from honeybarrow.admission.fair_share import RESERVE_FRACTION, SECOND_US, FairShare
from honeybarrow.admission.retry_after import MIN_RETRY_AFTER_US, compute_retry_after_us

RESERVATION_TIMEOUT_US = 10 * SECOND_US  # a place reserved at RCPT expires then; the end of data asks anew
COMPLETION_WINDOW_US = 5 * SECOND_US  # over how long the rate of completed messages is measured
TRANSACTION_GRACE_US = 15 * SECOND_US  # a transaction may take so long, and
MIN_TRANSFER_BYTES_PER_S = 512  # a second more for each so many bytes read: a trickle holds nothing for long


@dataclass(frozen=True, slots=True)
class AdmissionConfig:
    """Bounds: sessions, messages held, bytes of messages being read; the longest retry wait."""

    max_sessions: int = 500
    max_messages: int = 250
    max_buffered_bytes: int = 64 << 20
    max_retry_after_us: int = 3 * SECOND_US


@dataclass(frozen=True, slots=True)
class Admit:
    """Admitted."""


@dataclass(frozen=True, slots=True)
class Defer:
    """Not now, and harmless to retry after ``retry_after_us``."""

    retry_after_us: int
    reason: str


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Not in this session: reply 421 and close."""

    retry_after_us: int
    reason: str


ADMIT = Admit()
AdmissionDecision = Admit | Defer | CloseSession


@dataclass(slots=True)
class _Session:
    client: str
    reservations: list[int] = field(default_factory=list)  # when each place was reserved
    buffered_bytes: int = 0
    transaction_started_us: int = -1  # negative: none is open
    transaction_bytes: int = 0  # read of it, whether kept or not


class AdmissionController:
    """The decisions of all fronts of one forwarder together. Sessions are known by number, messages by id."""

    def __init__(self, config: AdmissionConfig, weights: Mapping[str, float], rng: random.Random) -> None:
        self.config, self.rng = config, rng
        self.session_share = FairShare(config.max_sessions, weights)
        self.message_share = FairShare(config.max_messages, weights)
        self.buffer_share = FairShare(config.max_buffered_bytes, weights)
        self.tenant_share = FairShare(config.max_messages)
        self.sessions: dict[int, _Session] = {}
        self.admitted: dict[str, tuple[str, str]] = {}  # message to its client and tenant
        self.is_stopping = False
        self.deferred_count = 0  # since a message was last admitted
        self._completions = 0.0  # a decaying count, for the rate
        self._completions_decayed_us = 0

    # sessions

    def open_session(self, now: int, session: int, client: str) -> AdmissionDecision:
        """A connection is made."""
        if self.is_stopping:
            return CloseSession(0, "shutting down")
        if not self.session_share.can_acquire(now, client):
            return CloseSession(self._compute_retry_after_us(now), "too many connections")
        self.session_share.acquire(client)
        self.sessions[session] = _Session(client)
        return ADMIT

    def identify_session(self, now: int, session: int, client: str) -> AdmissionDecision:
        """The session proved who it is: from now on it counts as that client's."""
        state = self.sessions[session]
        if client == state.client:
            return ADMIT
        # the session itself is in already; what it acquires counts for its new name
        self._release_transaction(state)
        self.session_share.release(state.client)
        self.session_share.acquire(client)
        state.client = client
        return ADMIT

    def close_session(self, now: int, session: int) -> None:
        """The connection is gone, and with it its reservations."""
        state = self.sessions.pop(session, None)
        if state is not None:
            self._release_transaction(state)
            self.session_share.release(state.client)

    # transactions

    def begin_transaction(self, now: int, session: int) -> AdmissionDecision:
        """A transaction begins (MAIL)."""
        state = self.sessions[session]
        self._release_transaction(state)
        if self.is_stopping:
            return CloseSession(0, "shutting down")
        state.transaction_started_us, state.transaction_bytes = now, 0
        return ADMIT

    def reserve_recipient(self, now: int, session: int) -> AdmissionDecision:
        """A recipient: a place for it is reserved, or it is told when to retry (452 at RCPT).

        Refused here nothing of the message has been carried over the wire, and the recipients that were
        accepted go on.
        """
        state = self.sessions[session]
        self._expire_reservations(now, state)
        if not self.message_share.can_acquire(now, state.client):
            return self._defer(now, "no room")
        self.message_share.acquire(state.client)
        state.reservations.append(now)
        return ADMIT

    def record_bytes_read(self, now: int, session: int, byte_count: int) -> None:
        """Bytes of a message were read into memory."""
        state = self.sessions[session]
        state.transaction_bytes += byte_count
        state.buffered_bytes += byte_count
        self.buffer_share.compute_share(now, state.client)  # it counts among those that want some
        self.buffer_share.acquire(state.client, byte_count)

    def can_read(self, now: int, session: int) -> bool:
        """Back-pressure: whether to read on from a session that is in the midst of a message."""
        state, share = self.sessions[session], self.buffer_share
        if share.used < self.config.max_buffered_bytes * (1.0 - RESERVE_FRACTION):
            return True
        if share.used_by.get(state.client, 0) < share.compute_share(now, state.client):
            return share.used < self.config.max_buffered_bytes
        # Danger: with all memory in half-read messages nobody would go on; so the oldest always may.
        oldest_us = min(
            (s.transaction_started_us for s in self.sessions.values() if s.buffered_bytes),
            default=state.transaction_started_us,
        )
        return state.transaction_started_us <= oldest_us

    def admit_message(self, now: int, session: int, message: str, tenant: str) -> AdmissionDecision:
        """The end of data, for each recipient in order: its reservation is used, or it is deferred."""
        state = self.sessions[session]
        self._expire_reservations(now, state)
        if state.reservations:
            state.reservations.pop(0)
        elif self.message_share.can_acquire(now, state.client):
            self.message_share.acquire(state.client)
        else:
            return self._defer(now, "no room")
        if tenant and not self.tenant_share.can_acquire(now, tenant):
            self.message_share.release(state.client)
            return self._defer(now, "no room for this tenant")
        if tenant:
            self.tenant_share.acquire(tenant)
        self.admitted[message] = (state.client, tenant)
        self.deferred_count = 0
        return ADMIT

    def end_transaction(self, now: int, session: int) -> None:
        """The transaction has ended or was reset: unused reservations and its bytes are free again."""
        state = self.sessions.get(session)
        if state is not None:
            self._release_transaction(state)

    def release_message(self, now: int, message: str) -> None:
        """A message that was admitted has its result, or was withdrawn."""
        client, tenant = self.admitted.pop(message)
        self.message_share.release(client)
        if tenant:
            self.tenant_share.release(tenant)
        self._decay_completions(now)
        self._completions += 1.0

    def find_slow_sessions(self, now: int) -> list[int]:
        """Sessions whose transaction takes longer than what has been read of it allows."""
        found = []
        for session, state in self.sessions.items():
            allowed_us = (
                TRANSACTION_GRACE_US + state.transaction_bytes * SECOND_US // MIN_TRANSFER_BYTES_PER_S
            )
            if state.transaction_started_us >= 0 and now - state.transaction_started_us > allowed_us:
                found.append(session)
        return found

    # inner

    def _release_transaction(self, state: _Session) -> None:
        if state.reservations:
            self.message_share.release(state.client, len(state.reservations))
            state.reservations.clear()
        if state.buffered_bytes:
            self.buffer_share.release(state.client, state.buffered_bytes)
            state.buffered_bytes = 0
        state.transaction_started_us = -1

    def _expire_reservations(self, now: int, state: _Session) -> None:
        # Danger: RCPT costs a client nothing; reservations that are never used would fill the capacity.
        valid = [at for at in state.reservations if at > now - RESERVATION_TIMEOUT_US]
        if len(valid) < len(state.reservations):
            self.message_share.release(state.client, len(state.reservations) - len(valid))
            state.reservations = valid

    def _defer(self, now: int, reason: str) -> Defer:
        self.deferred_count += 1
        return Defer(self._compute_retry_after_us(now), reason)

    def _decay_completions(self, now: int) -> None:
        passed = max(0, now - self._completions_decayed_us)
        self._completions *= max(0.0, 1.0 - passed / COMPLETION_WINDOW_US)
        self._completions_decayed_us = now

    def _compute_retry_after_us(self, now: int) -> int:
        """When to retry: after as long as the messages need that go before, at their present rate."""
        self._decay_completions(now)
        rate = self._completions / (COMPLETION_WINDOW_US / SECOND_US / 2)  # of a count that decays evenly
        if rate > 0:
            expected_wait_us = self.deferred_count / rate * SECOND_US
        else:
            expected_wait_us = MIN_RETRY_AFTER_US * (1.0 + self.deferred_count / 8)
        return compute_retry_after_us(int(expected_wait_us), self.config.max_retry_after_us, self.rng)

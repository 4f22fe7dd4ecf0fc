"""Admission control of all mail fronts: which sessions, recipients and messages are admitted or deferred.

Performs no I/O and reads no clock: times are passed as arguments, in microseconds. Four :class:`FairShare`
instances divide capacity: sessions, messages and buffered bytes among clients, and messages among tenants.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from honeybarrow.admission.fair_share import RESERVE_FRACTION, SECOND_US, FairShare
from honeybarrow.admission.retry_after import MIN_RETRY_AFTER_US, compute_retry_after_us

RESERVATION_TIMEOUT_US = 10 * SECOND_US  # lifetime of a reservation made at RCPT
COMPLETION_WINDOW_US = 5 * SECOND_US  # window over which the rate of completed messages is measured
# A client may take the grace period, plus the time that its bytes so far take at the minimum rate, to send a
# message. The time until its result is limited by the message's deadline.
SENDING_GRACE_US = 15 * SECOND_US
MIN_TRANSFER_BYTES_PER_S = 512


@dataclass(frozen=True, slots=True)
class AdmissionConfig:
    """Limits on open sessions, admitted messages, buffered message bytes and the retry delay."""

    max_sessions: int = 500
    max_messages: int = 250
    max_buffered_bytes: int = 64 << 20
    max_retry_after_us: int = 3 * SECOND_US


@dataclass(frozen=True, slots=True)
class Admit:
    """The session, recipient or message is admitted."""


@dataclass(frozen=True, slots=True)
class Defer:
    """The request is refused for now; the client may safely retry after ``retry_after_us``."""

    retry_after_us: int
    reason: str


@dataclass(frozen=True, slots=True)
class CloseSession:
    """The session must be closed with reply 421."""

    retry_after_us: int
    reason: str


ADMIT = Admit()
AdmissionDecision = Admit | Defer | CloseSession


@dataclass(slots=True)
class _Session:
    client: str
    reservations: list[int] = field(default_factory=list)  # time of each reservation
    buffered_bytes: int = 0
    sending_started_us: int | None = None  # start of the transaction, until its content is complete
    transaction_bytes: int = 0  # bytes read in this transaction, including discarded ones


class AdmissionController:
    """Decides on admission for all fronts of one forwarder.

    Sessions are identified by number, messages by id. ``weights`` maps a client to its weight (default 1).
    """

    def __init__(self, config: AdmissionConfig, weights: Mapping[str, float], rng: random.Random) -> None:
        self.config, self.rng = config, rng
        self.session_share = FairShare(config.max_sessions, weights)
        self.message_share = FairShare(config.max_messages, weights)
        self.buffer_share = FairShare(config.max_buffered_bytes, weights)
        self.tenant_share = FairShare(config.max_messages)
        self.sessions: dict[int, _Session] = {}
        self.admitted: dict[str, tuple[str, str]] = {}  # message id to client and tenant
        self.is_stopping = False
        self.deferred_count = 0  # deferrals since the last admitted message
        self._completions = 0.0  # decaying count of completed messages
        self._completions_decayed_us = 0

    def open_session(self, now: int, session: int, client: str) -> AdmissionDecision:
        """Admit a new connection, or reject it while stopping or when its client has no session left."""
        if self.is_stopping:
            return CloseSession(0, "shutting down")
        if not self.session_share.can_acquire(now, client):
            return CloseSession(self._compute_retry_after_us(now), "too many connections")
        self.session_share.acquire(client)
        self.sessions[session] = _Session(client)
        return ADMIT

    def identify_session(self, now: int, session: int, client: str) -> AdmissionDecision:
        """Charge an authenticated session to ``client`` from now on."""
        state = self.sessions[session]
        if client == state.client:
            return ADMIT
        # The session is already admitted, so it moves to its new client without another check.
        self._release_transaction(state)
        self.session_share.release(state.client)
        self.session_share.acquire(client)
        state.client = client
        return ADMIT

    def close_session(self, now: int, session: int) -> None:
        """Release everything that a closed connection held."""
        state = self.sessions.pop(session, None)
        if state is not None:
            self._release_transaction(state)
            self.session_share.release(state.client)

    def begin_transaction(self, now: int, session: int) -> AdmissionDecision:
        """Begin a transaction (MAIL), ending any previous one."""
        state = self.sessions[session]
        self._release_transaction(state)
        if self.is_stopping:
            return CloseSession(0, "shutting down")
        state.sending_started_us, state.transaction_bytes = now, 0
        return ADMIT

    def reserve_recipient(self, now: int, session: int) -> AdmissionDecision:
        """Reserve capacity for a recipient, or defer it (452 at RCPT).

        Deferring at RCPT saves the transfer of the content and leaves the accepted recipients unaffected.
        """
        state = self.sessions[session]
        self._expire_reservations(now, state)
        if not self.message_share.can_acquire(now, state.client):
            return self._defer(now, "no room")
        self.message_share.acquire(state.client)
        state.reservations.append(now)
        return ADMIT

    def record_bytes_read(self, now: int, session: int, byte_count: int) -> None:
        """Record that bytes of a message were read into memory."""
        state = self.sessions[session]
        state.transaction_bytes += byte_count
        state.buffered_bytes += byte_count
        self.buffer_share.compute_share(now, state.client)  # records the client's demand
        self.buffer_share.acquire(state.client, byte_count)

    def can_read(self, now: int, session: int) -> bool:
        """Return whether to continue reading from a session that is transferring a message."""
        state, share = self.sessions[session], self.buffer_share
        if share.used < self.config.max_buffered_bytes * (1.0 - RESERVE_FRACTION):
            return True
        if share.used_by.get(state.client, 0) < share.compute_share(now, state.client):
            return share.used < self.config.max_buffered_bytes
        if state.sending_started_us is None:
            return True
        # The oldest transaction may always continue: otherwise partly read messages that fill the memory
        # would block each other forever.
        started_us = (s.sending_started_us for s in self.sessions.values() if s.buffered_bytes)
        oldest_us = min((each for each in started_us if each is not None), default=state.sending_started_us)
        return state.sending_started_us <= oldest_us

    def complete_content(self, session: int) -> None:
        """Record that the client has sent its message; from now on it waits for the result."""
        self.sessions[session].sending_started_us = None

    def admit_message(self, now: int, session: int, message: str, tenant: str) -> AdmissionDecision:
        """Admit a message at the end of data, once for each recipient, or defer it.

        Uses up a reservation of the session if one is left; otherwise acquires capacity anew.
        """
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
        """Release the unused reservations and the buffered bytes of a transaction that ended or was reset."""
        state = self.sessions.get(session)
        if state is not None:
            self._release_transaction(state)

    def release_message(self, now: int, message: str) -> None:
        """Release the capacity of an admitted message that has its result or was withdrawn."""
        client, tenant = self.admitted.pop(message)
        self.message_share.release(client)
        if tenant:
            self.tenant_share.release(tenant)
        self._decay_completions(now)
        self._completions += 1.0

    def find_slow_sessions(self, now: int) -> list[int]:
        """Return the sessions that have been sending a message for longer than its bytes so far allow."""
        slow_sessions = []
        for session, state in self.sessions.items():
            allowed_us = SENDING_GRACE_US + state.transaction_bytes * SECOND_US // MIN_TRANSFER_BYTES_PER_S
            if state.sending_started_us is not None and now - state.sending_started_us > allowed_us:
                slow_sessions.append(session)
        return slow_sessions

    def _release_transaction(self, state: _Session) -> None:
        if state.reservations:
            self.message_share.release(state.client, len(state.reservations))
            state.reservations.clear()
        if state.buffered_bytes:
            self.buffer_share.release(state.client, state.buffered_bytes)
            state.buffered_bytes = 0
        state.sending_started_us = None

    def _expire_reservations(self, now: int, state: _Session) -> None:
        # RCPT costs a client nothing, so unused reservations would otherwise exhaust the capacity.
        valid = [
            reserved_us for reserved_us in state.reservations if reserved_us > now - RESERVATION_TIMEOUT_US
        ]
        if len(valid) < len(state.reservations):
            self.message_share.release(state.client, len(state.reservations) - len(valid))
            state.reservations = valid

    def _defer(self, now: int, reason: str) -> Defer:
        self.deferred_count += 1
        return Defer(self._compute_retry_after_us(now), reason)

    def _decay_completions(self, now: int) -> None:
        elapsed_us = max(0, now - self._completions_decayed_us)
        self._completions *= max(0.0, 1.0 - elapsed_us / COMPLETION_WINDOW_US)
        self._completions_decayed_us = now

    def _compute_retry_after_us(self, now: int) -> int:
        """Return a retry delay: the time to complete the deferred requests at the current rate."""
        self._decay_completions(now)
        # The count decays linearly over the window, so it holds half a window's completions on average.
        rate = self._completions / (COMPLETION_WINDOW_US / SECOND_US / 2)
        if rate > 0:
            expected_wait_us = self.deferred_count / rate * SECOND_US
        else:
            expected_wait_us = MIN_RETRY_AFTER_US * (1.0 + self.deferred_count / 8)
        return compute_retry_after_us(int(expected_wait_us), self.config.max_retry_after_us, self.rng)

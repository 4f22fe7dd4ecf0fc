"""A model of leases and a strict switch, which runs ``MemberLease`` and ``LeaseIssuer`` in the model checker.

The fleet has two members and two successive leaders. The first leader may consider itself confirmed for
``confirmed_ticks``. Real time advances in ticks; each process's clock runs fast or slow by the maximum drift.
Messages may be lost, repeated and reordered. The property checked: once a member has accepted a message under
the new version, no member accepts one under the old version.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace

from honeybarrow.consensus.leases import (
    LeaseConfig,
    LeaseDenied,
    LeaseGranted,
    LeaseIssuer,
    MemberLease,
    RenewLease,
)

CONFIG = LeaseConfig(
    lease_duration_us=300, renew_interval_us=100, pause_threshold_us=1000, max_clock_drift=0.1
)
FAST_US_PER_TICK, SLOW_US_PER_TICK = 110, 90
OLD_VERSION, NEW_VERSION = 1, 2
Packet = tuple[str, int, RenewLease | LeaseGranted | LeaseDenied]  # "ask" or "answer", member index, message


@dataclass(frozen=True)
class State:
    """The state of the fleet. Its objects are never modified, only replaced."""

    leases: tuple[MemberLease, ...]
    applied: tuple[int, ...]
    issuers: tuple[LeaseIssuer, ...]  # of the first leader and, once elected, the second
    commits: tuple[int, ...]
    network: frozenset[Packet] = frozenset()
    tick: int = 0
    request_counts: tuple[int, ...] = (0, 0)
    newest_version_used: int = 0  # newest version under which a message was accepted
    violation: str = ""


@dataclass
class LeaseModel:
    """The bounds of the explored states, and the classes under test."""

    lease_type: type[MemberLease] = MemberLease
    issuer_type: type[LeaseIssuer] = LeaseIssuer
    max_ticks: int = 9
    max_requests: int = 2
    confirmed_ticks: int = 3  # tick until which the first leader is confirmed
    has_second_leader: bool = True
    checks_confirmation: bool = True
    leader_us_per_tick: int = FAST_US_PER_TICK
    member_us_per_tick: int = SLOW_US_PER_TICK

    def initial_state(self) -> State:
        """Return the initial state, in which the first leader has outwaited all earlier leases."""
        first = self.issuer_type(CONFIG, 1, -10_000)
        return State(
            (self.lease_type(CONFIG), self.lease_type(CONFIG)),
            (OLD_VERSION, OLD_VERSION),
            (first,),
            (OLD_VERSION,),
        )

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield each possible next event and the state after it."""
        if state.tick < self.max_ticks:
            yield "tick", replace(state, tick=state.tick + 1)
        if self.has_second_leader and len(state.issuers) == 1 and state.tick >= self.confirmed_ticks:
            issuer = self.issuer_type(CONFIG, 2, self._leader_now_us(state))
            commits = (*state.commits, max(state.commits))
            yield "second leads", replace(state, issuers=(*state.issuers, issuer), commits=commits)
        for member_index in range(len(state.leases)):
            yield from self._member_transitions(state, member_index)
        for leader_index in range(len(state.issuers)):
            yield from self._leader_transitions(state, leader_index)
        for kind, member_index, message in sorted(state.network, key=repr):
            if kind == "ask" and isinstance(message, RenewLease):
                yield from self._request_deliveries(state, member_index, message)
            elif isinstance(message, LeaseGranted | LeaseDenied):
                new_lease = _copy_lease(state.leases[member_index])
                new_lease.on_reply(self._member_now_us(state), message)
                after = replace(state, leases=_replace_at(state.leases, member_index, new_lease))
                yield f"{member_index} hears {message}", replace(after, network=_prune_network(after))

    def _leader_now_us(self, state: State) -> int:
        return state.tick * self.leader_us_per_tick

    def _member_now_us(self, state: State) -> int:
        return state.tick * self.member_us_per_tick

    def _member_transitions(self, state: State, member_index: int) -> Iterator[tuple[str, State]]:
        lease, applied, now_us = (
            state.leases[member_index],
            state.applied[member_index],
            self._member_now_us(state),
        )
        request_count = state.request_counts[member_index]
        if request_count < self.max_requests:
            new_lease = _copy_lease(lease)
            request = new_lease.request_renewal(now_us, applied)
            yield (
                f"{member_index} asks",
                replace(
                    state,
                    leases=_replace_at(state.leases, member_index, new_lease),
                    request_counts=_replace_at(state.request_counts, member_index, request_count + 1),
                    network=state.network | {("ask", member_index, request)},
                ),
            )
        if applied < max(state.commits):
            new_applied = _replace_at(state.applied, member_index, max(state.commits))
            yield f"{member_index} learns", replace(state, applied=new_applied)
        if lease.is_valid(now_us, applied):
            violation = ""
            if applied < state.newest_version_used:
                violation = "a message is accepted under the old version after the new"
            if applied > state.newest_version_used or violation:
                yield (
                    f"{member_index} accepts under {applied}",
                    replace(state, newest_version_used=applied, violation=violation),
                )

    def _leader_transitions(self, state: State, leader_index: int) -> Iterator[tuple[str, State]]:
        issuer, now_us = state.issuers[leader_index], self._leader_now_us(state)
        if not issuer.barrier and state.commits[leader_index] == OLD_VERSION:
            new_issuer = _copy_issuer(issuer)
            new_issuer.start_switch()
            issuers = _replace_at(state.issuers, leader_index, new_issuer)
            yield f"leader {leader_index} stops renewing", replace(state, issuers=issuers)
        # Only the newest leader can commit, though its predecessor may still consider itself leader.
        if issuer.barrier and leader_index == len(state.issuers) - 1 and issuer.are_all_expired(now_us):
            new_issuer = _copy_issuer(issuer)
            new_issuer.finish_switch(now_us)
            issuers = _replace_at(state.issuers, leader_index, new_issuer)
            commits = _replace_at(state.commits, leader_index, NEW_VERSION)
            yield f"leader {leader_index} commits", replace(state, issuers=issuers, commits=commits)

    def _request_deliveries(
        self, state: State, member_index: int, request: RenewLease
    ) -> Iterator[tuple[str, State]]:
        for leader_index, issuer in enumerate(state.issuers):
            is_confirmed = (
                leader_index == 1 or state.tick < self.confirmed_ticks or not self.checks_confirmation
            )
            new_issuer = _copy_issuer(issuer)
            reply = new_issuer.handle_renewal(
                self._leader_now_us(state),
                f"m{member_index}",
                request,
                is_confirmed,
                state.commits[leader_index],
            )
            if reply is not None:
                yield (
                    f"leader {leader_index} answers {member_index}: {reply}",
                    replace(
                        state,
                        issuers=_replace_at(state.issuers, leader_index, new_issuer),
                        network=state.network | {("answer", member_index, reply)},
                    ),
                )

    def state_key(self, state: State) -> Hashable:
        """Return a key that is equal for equivalent states."""
        leases = tuple(
            (
                lease.expires_us,
                lease.required_index,
                lease.term,
                lease.released_barrier,
                lease._last_request_id,
                tuple(lease._pending_requests.items()),
            )
            for lease in state.leases
        )
        issuers = tuple(
            (
                issuer.barrier,
                issuer.switch_count,
                tuple(sorted(issuer.expiries_us.items())),
                issuer.leading_since_us,
            )
            for issuer in state.issuers
        )
        return (
            leases,
            state.applied,
            issuers,
            state.commits,
            state.network,
            state.tick,
            state.request_counts,
            state.newest_version_used,
        )

    def find_violation(self, state: State) -> str:
        """Return a description of the violation, or an empty string."""
        return state.violation


def _prune_network(state: State) -> frozenset[Packet]:
    """Return the network without messages that can have no effect.

    These are replies to requests that are no longer pending, and such requests unless they release a barrier.
    """
    pending = [lease._pending_requests for lease in state.leases]
    return frozenset(
        (kind, member_index, message)
        for kind, member_index, message in state.network
        if message.request_id in pending[member_index]
        or (isinstance(message, RenewLease) and message.released_barrier)
    )


def _copy_lease(lease: MemberLease) -> MemberLease:
    return replace(lease, _pending_requests=dict(lease._pending_requests))


def _copy_issuer(issuer: LeaseIssuer) -> LeaseIssuer:
    return replace(issuer, expiries_us=dict(issuer.expiries_us))


def _replace_at(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return (*values[:index], value, *values[index + 1 :])

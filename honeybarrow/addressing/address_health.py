"""Tracks the health of endpoint addresses and ranks the addresses of an endpoint.

Performs no I/O and reads no clock; the caller passes the current time in microseconds.

The policy chooses the endpoint. This module only orders the addresses of that endpoint within one attempt; it
never delays or overrides a retry delay, a drain or a slow start. The connection race
(``honeybarrow/addressing/connection_race.py``) applies the order.

Sources: RFC 6724 sections 5 and 6 (the rules that apply to literal addresses), RFC 8305 sections 4
(interleaving of address families) and 5 (connection attempt delay), RFC 2782 (priority and weight).
"""

from __future__ import annotations

import enum
import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from honeybarrow.addressing.address import Address

SECOND = 1_000_000
DEFAULT_CONNECT_DELAY_US = 250_000  # connection attempt delay without measurements (RFC 8305 section 5)
MIN_CONNECT_DELAY_US, MAX_CONNECT_DELAY_US = 100_000, 2 * SECOND  # RFC 8305 section 8
CONNECT_DELAY_FACTOR = 3.0  # multiple of the average connect time
LATENCY_WEIGHT = 0.2  # weight of the newest measurement in the moving average
SIMILAR_LATENCY_FACTOR = 2.0  # ratio of adjacent latency steps; addresses in one step rank equal
MIN_BACKOFF_US, BACKOFF_FACTOR, MAX_BACKOFF_US = 500_000, 2.0, 60 * SECOND
NO_FINAL_REPLY_BACKOFF_US = 5 * SECOND  # first backoff of an address that accepts messages without a reply
BACKOFF_JITTER = 0.25
MAX_RECORD_AGE_US = 300 * SECOND  # records that are not updated for this long are dropped
MAX_RECORDS = 10_000
MAX_PENDING_CONNECTS = 2  # per call
REPLY_TIMEOUT_FACTOR = 5.0  # multiple of the average reply time
MIN_REPLY_TIMEOUT_US, DEFAULT_REPLY_TIMEOUT_US = 300_000, SECOND
KEEP_ALIVE_FRACTION = 0.8  # fraction of the partner's observed idle timeout
KEEP_ALIVE_GROWTH = 1.25  # factor on the idle timeout estimate when a connection survives its keep-alive time
MIN_KEEP_ALIVE_US = 100_000
MAX_BACKOFF_DOUBLINGS = 20  # bounds the exponent; the backoff reaches its maximum well before
FAMILIES = ("unix", "ipv6", "ipv4")  # in order of preference (RFC 6724 section 2.1 for IPv6 over IPv4)


class AddressFailure(enum.Enum):
    """The way in which an address failed."""

    UNREACHABLE = "no connection"
    NO_GREETING = "accepted, not greeted"
    SESSION_REFUSED = "session refused"
    CONNECTION_LOST = "closed before the end of data"
    NO_REPLY = "no reply before the end of data"
    NO_FINAL_REPLY = "no answer after the end of data"

    @property
    def concerns_machine(self) -> bool:
        """Whether the failure affects the machine behind the address, and not only the path to it."""
        return self is not AddressFailure.UNREACHABLE


@dataclass(frozen=True, slots=True)
class RankedAddress:
    """An address and the reason for its position in the ranking."""

    address: Address
    reason: str


@dataclass(slots=True)
class _AddressRecord:
    """Measurements and backoff of an address or a machine."""

    connect_time_us: float = 0.0  # average time from connect to the accepted EHLO or LHLO; 0 if unknown
    reply_time_us: float = 0.0  # average time from the end of data to the final reply; 0 if unknown
    failure_count: int = 0
    backoff_until_us: int = 0
    updated_us: int = 0
    machine: str = ""  # machine name taken from a greeting
    idle_timeout_us: int = 0  # estimated idle timeout of the partner; 0 if unknown


class AddressHealth:
    """Health records of partners' addresses, kept by one forwarder.

    ``zone`` is the zone of the forwarder. For ``cold_period_us`` after a failed call an endpoint may still be
    warming up and gets no concurrent second connect. ``on_result`` is called after every connect and failure
    with the address, the result, and the connect time in microseconds (0 for a failure).
    """

    def __init__(
        self,
        rng: random.Random,
        zone: str = "",
        cold_period_us: int = 10 * SECOND,
        on_result: Callable[[Address, str, int], None] = lambda address, result, elapsed_us: None,
    ) -> None:
        self.rng, self.zone, self.cold_period_us, self.on_result = rng, zone, cold_period_us, on_result
        self._records: OrderedDict[object, _AddressRecord] = OrderedDict()  # by socket key, and by machine
        self._last_failed_call_us: OrderedDict[str, int] = OrderedDict()  # by target

    def rank_addresses(self, now: int, addresses: Sequence[Address]) -> list[RankedAddress]:
        """Return every address exactly once, in the order in which to try them."""
        unique = {a.socket_key: a for a in reversed(addresses)}
        ranked = sorted(
            reversed(unique.values()), key=lambda a: (*self._get_rank(a), FAMILIES.index(a.family))
        )
        ready = [a for a in ranked if self.get_backoff_until_us(now, a) <= now]
        in_backoff = [a for a in ranked if self.get_backoff_until_us(now, a) > now]
        # If all addresses of a machine are in backoff, the one that failed itself comes last.
        in_backoff.sort(key=lambda a: (self.get_backoff_until_us(now, a), self._get_failure_count(a)))
        ordered: list[Address] = []
        for rank in sorted({self._get_rank(a) for a in ready}):
            ordered += self._interleave([a for a in ready if self._get_rank(a) == rank])
        return [RankedAddress(a, self._explain_rank(a)) for a in ordered] + [
            RankedAddress(a, self._explain_backoff(now, a)) for a in in_backoff
        ]

    def get_backoff_until_us(self, now: int, address: Address) -> int:
        """Return the end of the backoff of an address and its machine; 0 if there is none."""
        record = self._find(now, address.socket_key)
        machine = self._find(now, self.get_machine(address)) if self.get_machine(address) else None
        return max(record.backoff_until_us if record else 0, machine.backoff_until_us if machine else 0)

    def get_machine(self, address: Address) -> str:
        """Return the machine name from the endpoint list, else from the greeting, else an empty string."""
        record = self._records.get(address.socket_key)
        return address.machine or (record.machine if record else "")

    def compute_connect_delay_us(self, now: int, address: Address) -> int:
        """Return the delay after which another address is tried concurrently (RFC 8305 section 5)."""
        record = self._find(now, address.socket_key)
        if record is None or not record.connect_time_us:
            return DEFAULT_CONNECT_DELAY_US
        delay_us = max(MIN_CONNECT_DELAY_US, CONNECT_DELAY_FACTOR * record.connect_time_us)
        return int(min(MAX_CONNECT_DELAY_US, delay_us))

    def get_connect_time_us(self, now: int, address: Address) -> float:
        """Return the average time from connect to the accepted EHLO or LHLO; 0 if unknown."""
        record = self._find(now, address.socket_key)
        return record.connect_time_us if record else 0.0

    def can_race(self, now: int, target: str) -> bool:
        """Return whether the endpoint may get a second connect concurrently with the first.

        It may not within the cold period after a failed call: extra connects would overload a partner that is
        warming up or whose connection table is full. A successful call does not end the period, because the
        partner is not yet at full capacity.
        """
        return self._last_failed_call_us.get(target, -self.cold_period_us) <= now - self.cold_period_us

    def record_call_result(self, now: int, target: str, is_answered: bool) -> None:
        """Record whether a call to an endpoint ended with an answer to its message."""
        if not is_answered:
            self._last_failed_call_us[target] = now
            self._last_failed_call_us.move_to_end(target)
            if len(self._last_failed_call_us) > MAX_RECORDS:
                self._last_failed_call_us.popitem(last=False)
        elif self._last_failed_call_us and self.can_race(now, target):
            self._last_failed_call_us.pop(target, None)

    def record_connected(self, now: int, address: Address, elapsed_us: int) -> None:
        """Record that a server accepted EHLO or LHLO, ``elapsed_us`` after the start of the connect."""
        record = self._get_or_create(now, address.socket_key)
        record.failure_count, record.backoff_until_us = 0, 0
        weight = LATENCY_WEIGHT if record.connect_time_us else 1.0
        record.connect_time_us += weight * (elapsed_us - record.connect_time_us)
        if machine := self.get_machine(address):
            self._records.pop(machine, None)
        self.on_result(address, "connected", elapsed_us)

    def record_greeting(self, now: int, address: Address, target: str, server_name: str) -> None:
        """Record the server name from a greeting (RFC 5321 section 4.2), the machine name if none is listed.

        The name is scoped to the endpoint, since servers of different partners may share a name such as
        localhost.
        """
        record = self._get_or_create(now, address.socket_key)
        record.machine = f"{target} {server_name}" if server_name else ""

    def record_failure(
        self, now: int, address: Address, failure: AddressFailure = AddressFailure.UNREACHABLE
    ) -> None:
        """Record a failure and start a growing backoff of the address, and of its machine if affected."""
        keys: list[object] = [address.socket_key]
        if failure.concerns_machine and (machine := self.get_machine(address)):
            keys.append(machine)
        jitter = 1.0 + self.rng.uniform(-BACKOFF_JITTER, BACKOFF_JITTER)
        for key in keys:
            record = self._get_or_create(now, key)
            record.failure_count += 1
            is_final = failure is AddressFailure.NO_FINAL_REPLY
            first_us = NO_FINAL_REPLY_BACKOFF_US if is_final else MIN_BACKOFF_US
            doublings = min(record.failure_count - 1, MAX_BACKOFF_DOUBLINGS)
            backoff_us = min(MAX_BACKOFF_US, first_us * BACKOFF_FACTOR**doublings)
            record.backoff_until_us = now + int(backoff_us * jitter)
        self.on_result(address, failure.value, 0)

    def record_reply(self, now: int, address: Address, elapsed_us: int) -> None:
        """Record the final reply to a message, ``elapsed_us`` after the end of data."""
        record = self._get_or_create(now, address.socket_key)
        record.failure_count, record.backoff_until_us = 0, 0
        weight = LATENCY_WEIGHT if record.reply_time_us else 1.0
        record.reply_time_us += weight * (elapsed_us - record.reply_time_us)
        if machine := self.get_machine(address):
            self._records.pop(machine, None)

    def compute_reply_timeout_us(self, now: int, address: Address) -> int:
        """Return how long after the end of data an address counts as healthy without a reply.

        A non-idempotent message waits for its reply until its timeout. Without this earlier limit, many more
        messages would be sent to an address that accepts messages and never replies.
        """
        record = self._find(now, address.socket_key)
        if record is None or not record.reply_time_us:
            return DEFAULT_REPLY_TIMEOUT_US
        return int(max(MIN_REPLY_TIMEOUT_US, REPLY_TIMEOUT_FACTOR * record.reply_time_us))

    def forget(self, address: Address) -> None:
        """Drop the record of an address that now belongs to another endpoint."""
        self._records.pop(address.socket_key, None)

    # Keep-alive of idle connections.

    def compute_keep_alive_us(self, address: Address, max_us: int) -> int:
        """Return how long to keep an idle connection: less than its partner's observed idle timeout."""
        record = self._records.get(address.socket_key)
        if record is None or not record.idle_timeout_us:
            return max_us
        return min(max_us, max(MIN_KEEP_ALIVE_US, int(record.idle_timeout_us * KEEP_ALIVE_FRACTION)))

    def record_idle_close(self, now: int, address: Address, idle_us: int) -> None:
        """Record that the partner closed a connection that had been idle for ``idle_us``."""
        record = self._get_or_create(now, address.socket_key)
        record.idle_timeout_us = min(record.idle_timeout_us or idle_us, max(1, idle_us))

    def record_idle_survival(self, now: int, address: Address, idle_us: int) -> None:
        """Raise the idle timeout estimate if an idle connection stayed open for about its keep-alive time."""
        record = self._records.get(address.socket_key)
        if record is None or not record.idle_timeout_us:
            return
        if idle_us >= record.idle_timeout_us * KEEP_ALIVE_FRACTION * 0.99:
            record.idle_timeout_us = int(record.idle_timeout_us * KEEP_ALIVE_GROWTH)

    # Ranking.

    def _get_rank(self, address: Address) -> tuple[int, bool]:
        is_foreign = bool(self.zone and address.zone and address.zone != self.zone)
        return address.priority, is_foreign

    def _get_failure_count(self, address: Address) -> int:
        record = self._records.get(address.socket_key)
        return record.failure_count if record else 0

    def _interleave(self, ranked: list[Address]) -> list[Address]:
        """Alternate between address families (RFC 8305 section 4), or draw by weight if weights differ.

        The family with the fastest address comes first. All addresses must have the same rank.
        """
        if len({a.weight for a in ranked}) > 1:
            # Weighted random order (RFC 2782): sort by exponential variates with the weights as rates.
            drawn = {a.socket_key: self.rng.expovariate(1.0) / (a.weight or 1e-3) for a in ranked}
            return sorted(ranked, key=lambda a: drawn[a.socket_key])
        families: dict[str, list[Address]] = {}
        for address in ranked:
            families.setdefault(address.family, []).append(address)
        for members in families.values():
            members.sort(key=self._get_latency_step)
        ordered_families = sorted(families.values(), key=lambda members: self._get_latency_step(members[0]))
        return [
            family[i]
            for i in range(max(map(len, ordered_families)))
            for family in ordered_families
            if i < len(family)
        ]

    def _get_latency_step(self, address: Address) -> int:
        """Return the connect time on a logarithmic scale, so that noise does not change the order.

        Addresses with an unknown connect time are in step 0.
        """
        record = self._records.get(address.socket_key)
        connect_time_us, step = record.connect_time_us if record is not None else 0.0, 0
        while connect_time_us > MIN_CONNECT_DELAY_US / 10 * SIMILAR_LATENCY_FACTOR**step:
            step += 1
        return step

    def _explain_rank(self, address: Address) -> str:
        parts = [address.family, f"priority {address.priority}"]
        parts += [f"zone {address.zone}"] if address.zone else []
        parts += [f"weight {address.weight}"] if address.weight != 1 else []
        parts += [f"machine {address.machine}"] if address.machine else []
        record = self._records.get(address.socket_key)
        if record is None or not record.connect_time_us:
            parts.append("not tried yet")
        else:
            parts.append(f"connects in {record.connect_time_us / 1000:.1f} ms")
        return ", ".join(parts)

    def _explain_backoff(self, now: int, address: Address) -> str:
        backoff_s = (self.get_backoff_until_us(now, address) - now) / 1e6
        failures = self._get_failure_count(address)
        machine = self.get_machine(address)
        cause = f"failed {failures} times" if failures else f"its machine {machine} failed"
        return f"{cause}, in backoff for {backoff_s:.1f} s"

    def _find(self, now: int, key: object) -> _AddressRecord | None:
        record = self._records.get(key)
        if record is not None and record.updated_us < now - MAX_RECORD_AGE_US:
            del self._records[key]
            return None
        return record

    def _get_or_create(self, now: int, key: object) -> _AddressRecord:
        record = self._find(now, key) or _AddressRecord()
        record.updated_us = now
        self._records[key] = record
        self._records.move_to_end(key)
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
        return record

"""Decisions on how to reach an endpoint that has several addresses. No I/O, no clock: times are arguments.

The module chooses the endpoint; this chooses among its addresses within one attempt and one slot, and never
delays or overrides a wait, a drain or a ramp. Sources: RFC 6724 5 and 6 (what of the order applies between
literal addresses), RFC 8305 4 (interleaving of families) and 5 (the delay before a further connect).
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

SECOND = 1_000_000
DELAY_US = 250_000  # before a second connect is begun (RFC 8305 5), till connects have been measured
DELAY_LEAST_US, DELAY_MOST_US = 100_000, 2 * SECOND  # RFC 8305 8
DELAY_TIMES = 3.0  # of the usual connect: one that takes longer is likely not to come
USUAL_WEIGHT = 0.2  # weight of the newest connect time
CLOSE_TIMES = 2.0  # connect times within such a factor are alike, or the order would flap with noise
REST_US, REST_FACTOR, REST_MOST_US = 500_000, 2.0, 60 * SECOND  # after a failed connect, growing
REST_JITTER = 0.25
FORGET_US = 300 * SECOND  # what was learned of an address and not renewed
KNOWN_MOST = 10_000
PENDING_MOST = 2  # connects at once for one call


@dataclass(frozen=True, slots=True)
class Address:
    """Where an endpoint listens: host and port, or the path of a Unix socket. Lower priorities come first."""

    host: str = ""
    port: int = 0
    lmtp: bool = False
    path: str = ""
    priority: int = 0

    @property
    def family(self) -> str:
        if self.path:
            return "unix"
        return "ipv6" if ":" in self.host else "ipv4"

    def __str__(self) -> str:
        if self.path:
            return f"unix:{self.path}"
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Choice:
    """An address in the order in which it is tried, and why it stands there."""

    address: Address
    why: str


@dataclass(slots=True)
class _Known:
    """What is remembered of an address."""

    usual_us: float = 0.0
    failures: int = 0
    rest_us: int = 0
    seen_us: int = 0


class Addresses:
    """What one forwarder has learned of its partners' addresses."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self._known: OrderedDict[Address, _Known] = OrderedDict()

    def order(self, now: int, addresses: Sequence[Address]) -> list[Choice]:
        """All addresses, each once, in the order in which to try them: none is ever left out."""
        ranked = sorted(dict.fromkeys(addresses), key=lambda a: (a.priority, FAMILIES.index(a.family)))
        able: list[Address] = []
        resting: list[Address] = []
        for address in ranked:
            known = self._look(now, address)
            (resting if known is not None and known.rest_us > now else able).append(address)
        resting.sort(key=lambda a: self._known[a].rest_us)
        found = []
        for priority in sorted({a.priority for a in able}):
            found += self._interleave([a for a in able if a.priority == priority])
        choices = [Choice(a, self._why(a)) for a in found]
        return choices + [
            Choice(
                a,
                f"failed {self._known[a].failures} times, rests {(self._known[a].rest_us - now) / 1e6:.1f} s",
            )
            for a in resting
        ]

    def delay_us(self, now: int, address: Address) -> int:
        """How long its connect may take before another address is tried beside it."""
        known = self._look(now, address)
        if known is None or not known.usual_us:
            return DELAY_US
        return int(min(DELAY_MOST_US, max(DELAY_LEAST_US, DELAY_TIMES * known.usual_us)))

    def may_race(self, last_call_ok: bool, pending: int) -> bool:
        """Whether a further connect may be begun beside one that is pending.

        Danger: a connect to a partner that returns cold or has a full table is load that it can't bear; so
        only where the last call got its answer. After a failed connect the next one replaces it.
        """
        return pending == 0 or (last_call_ok and pending < PENDING_MOST)

    def connected(self, now: int, address: Address, took_us: int) -> None:
        """A server greeted us there."""
        known = self._touch(now, address)
        known.failures, known.rest_us = 0, 0
        known.usual_us += (USUAL_WEIGHT if known.usual_us else 1.0) * (took_us - known.usual_us)

    def failed(self, now: int, address: Address) -> None:
        """A connect failed, or nobody greeted: the address rests, the longer the more often it failed."""
        known = self._touch(now, address)
        known.failures += 1
        rest = min(REST_MOST_US, REST_US * REST_FACTOR ** min(known.failures - 1, 20))
        known.rest_us = now + int(rest * (1.0 + self.rng.uniform(-REST_JITTER, REST_JITTER)))

    def _interleave(self, ranked: list[Address]) -> list[Address]:
        """The quickest family first, then one of each in turn (RFC 8305 4)."""
        families: dict[str, list[Address]] = {}
        for address in ranked:
            families.setdefault(address.family, []).append(address)
        for members in families.values():
            members.sort(key=self._step)
        lines = sorted(families.values(), key=lambda members: self._step(members[0]))
        return [line[i] for i in range(max(map(len, lines))) for line in lines if i < len(line)]

    def _step(self, address: Address) -> int:
        """Connect times in steps, so that noise does not change the order; unknown ones come first."""
        known = self._known.get(address)
        usual, step = known.usual_us if known is not None else 0.0, 0
        while usual > DELAY_LEAST_US / 10 * CLOSE_TIMES**step:
            step += 1
        return step

    def _why(self, address: Address) -> str:
        known = self._known.get(address)
        if known is None or not known.usual_us:
            return f"{address.family}, priority {address.priority}, not tried yet"
        return f"{address.family}, priority {address.priority}, connects in {known.usual_us / 1000:.1f} ms"

    def _look(self, now: int, address: Address) -> _Known | None:
        known = self._known.get(address)
        if known is not None and known.seen_us < now - FORGET_US:
            del self._known[address]
            return None
        return known

    def _touch(self, now: int, address: Address) -> _Known:
        known = self._look(now, address) or _Known()
        known.seen_us = now
        self._known[address] = known
        self._known.move_to_end(address)
        if len(self._known) > KNOWN_MOST:
            self._known.popitem(last=False)
        return known


FAMILIES = ("unix", "ipv6", "ipv4")  # RFC 6724 2.1 prefers IPv6; a Unix socket has no network in between

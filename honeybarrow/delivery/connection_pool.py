"""A pool of SMTP and LMTP connections to partners' endpoints.

A call reuses the most recently used idle connection of its endpoint, or opens new ones in the order given by
``honeybarrow.addressing.connection_race``. It ends exactly once: with a reply, with the loss of its
connection, or with a timeout.

A call tries no address twice, even if a reused connection turns out to be closed. Its outcome then states
that the message was not executed, and the policy decides whether to retry: a retry inside the pool could
violate a retry delay received in the meantime.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from honeybarrow import mail
from honeybarrow.addressing.address import Address
from honeybarrow.addressing.address_health import AddressHealth
from honeybarrow.delivery.connector import Connector
from honeybarrow.delivery.mail_call import MailCall, MailPayload
from honeybarrow.delivery.mail_connection import MailConnection
from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.ports import AttemptPermit, Clock, Network


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of a connection pool.

    ``connect_timeout_s`` covers the connect and the greeting; an unused connection is closed after
    ``idle_timeout_s``.
    """

    max_idle_per_endpoint: int = 8
    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 10.0


class MailConnectionPool:
    """Opens, reuses and closes the connections to all endpoints.

    ``client_name`` is sent with EHLO or LHLO. ``on_connect_started`` is called with the target of each new
    connection.
    """

    def __init__(
        self,
        reactor: Network,
        clock: Clock,
        client_name: str,
        limits: PoolLimits,
        on_connect_started: Callable[[str], None] = lambda target: None,
        address_health: AddressHealth | None = None,
    ) -> None:
        self.reactor, self.clock, self.client_name, self.limits = reactor, clock, client_name, limits
        self.connect_timeout_s = limits.connect_timeout_s
        self.on_connect_started = on_connect_started
        self.address_health = address_health or AddressHealth(random.Random(1))
        self.calls_by_target: dict[str, list[MailCall]] = {}
        self.idle_by_target: dict[str, list[MailConnection]] = {}

    def now_us(self) -> int:
        """Return the time of the pool's clock in microseconds."""
        return int(self.clock.seconds() * 1e6)

    def call(
        self,
        target: str,
        addresses: Sequence[Address],
        payload: MailPayload,
        timeout_us: int,
        permit: AttemptPermit,
    ) -> Deferred[AttemptOutcome]:
        """Send a payload to an endpoint; the result fires with its outcome within the timeout."""
        call = MailCall(self, target, addresses, payload, timeout_us, permit)
        self.calls_by_target.setdefault(target, []).append(call)
        call.start(self._take_idle(target, addresses))
        return call.result

    def on_call_finished(self, call: MailCall) -> None:
        """Remove a call that has its outcome."""
        calls = self.calls_by_target[call.target]
        calls.remove(call)
        if not calls:
            del self.calls_by_target[call.target]

    def update_addresses(self, addresses_by_target: Mapping[str, Sequence[Address]]) -> None:
        """Apply the current addresses of some endpoints; a removed endpoint has an empty sequence.

        Idle connections to other addresses of these endpoints are closed. Calls leave these addresses unless
        the end of data has been written.
        """
        for target, addresses in addresses_by_target.items():
            keys = {address.socket_key: None for address in addresses}
            for connection in list(self.idle_by_target.get(target, ())):
                if connection.address.socket_key not in keys:
                    connection.close()
            for call in list(self.calls_by_target.get(target, ())):
                call.on_addresses_changed(addresses)

    def _take_idle(self, target: str, addresses: Sequence[Address]) -> MailConnection | None:
        """Return the most recently used idle connection, preferring addresses that are not in backoff."""
        now, found = self.now_us(), None
        keys = {(address.socket_key, address.is_lmtp): None for address in addresses}
        for connection in reversed(self.idle_by_target.get(target, [])):
            address = connection.address
            is_listed = (address.socket_key, address.is_lmtp) in keys
            if is_listed and connection.session.phase is mail.Phase.IDLE:
                found = found or connection
                if self.address_health.get_backoff_until_us(now, address) <= now:
                    found = connection
                    break
        if found is not None:
            self.remove_idle(found)
        return found

    def open_connection(self, connection: MailConnection) -> None:
        """Start connecting on behalf of a call."""
        address = connection.address
        self.on_connect_started(connection.target)
        timeout_s = self.connect_timeout_s + 1  # a fallback; the call's own timeout comes first
        if address.path:
            self.reactor.connectUNIX(address.path, Connector(connection), timeout=timeout_s)
        else:
            self.reactor.connectTCP(address.host, address.port, Connector(connection), timeout=timeout_s)

    def add_idle(self, connection: MailConnection) -> None:
        """Keep a connection for the next call, for less time than its partner keeps it open.

        If the endpoint now has too many idle connections, one is closed, preferably to an address in backoff.
        """
        idle = self.idle_by_target.setdefault(connection.target, [])
        idle.append(connection)
        connection.idle_since_us = self.now_us()
        max_idle_us = int(self.limits.idle_timeout_s * 1e6)
        idle_s = self.address_health.compute_keep_alive_us(connection.address, max_idle_us) / 1e6
        connection.idle_timer = self.clock.callLater(idle_s, self._on_idle_timeout, connection)
        if len(idle) > self.limits.max_idle_per_endpoint:
            now, health = self.now_us(), self.address_health
            in_backoff = [each for each in idle if health.get_backoff_until_us(now, each.address) > now]
            (in_backoff or idle)[0].close()

    def _on_idle_timeout(self, connection: MailConnection) -> None:
        now = self.now_us()
        self.address_health.record_idle_survival(now, connection.address, now - connection.idle_since_us)
        connection.close()

    def on_closed_by_partner(self, connection: MailConnection) -> None:
        """Record after which idle time a partner closed the connection, if it was idle."""
        if connection in self.idle_by_target.get(connection.target, ()):
            now = self.now_us()
            self.address_health.record_idle_close(now, connection.address, now - connection.idle_since_us)

    def remove_idle(self, connection: MailConnection) -> None:
        """Remove a connection from the idle ones and cancel its idle timer."""
        if connection.idle_timer is not None and connection.idle_timer.active():
            connection.idle_timer.cancel()
        connection.idle_timer = None
        idle = self.idle_by_target.get(connection.target)
        if idle and connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle_by_target[connection.target]

    def close_idle(self, target: str) -> None:
        """Close the idle connections to an endpoint; calls in flight continue."""
        for connection in list(self.idle_by_target.get(target, ())):
            connection.close()

    def close_all_idle(self) -> None:
        """Close the idle connections to all endpoints."""
        for target in list(self.idle_by_target):
            self.close_idle(target)

"""The service of one forwarder: its register client, connection pool, delivery core and mail fronts.

The reactor, the clocks, the state storage and the log are parameters, so the same service runs on real
sockets and in simulated time. :mod:`honeybarrow.service_parts` builds the subsystems; this module connects
them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.web.server import Site

from honeybarrow import service_parts as parts
from honeybarrow.addressing.address import Address
from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.delivery import Forwarder
from honeybarrow.endpoint_addresses import EndpointAddresses
from honeybarrow.errors import error_log_fields
from honeybarrow.events import MembershipUpdate
from honeybarrow.metrics import Metrics
from honeybarrow.metrics_endpoint import MetricsResource
from honeybarrow.observer_fanout import ObserverFanout
from honeybarrow.ports import Logger, NullObserver, Observer, Reactor
from honeybarrow.register import ListError, ListUpdate, PartnerDirectory

EMPTY_LIST = ListUpdate(kind="full", version=0)
LAST_WRITE_DELAY_S = 0.05  # lets the reactor write the last replies


class StateStorage(NamedTuple):
    """Storage for state that survives a restart. ``load`` returns ``None`` if nothing is stored."""

    load: Callable[[], bytes | None]
    save: Callable[[bytes], None]


NO_STORAGE = StateStorage(lambda: None, lambda data: None)


class FrontAddress(NamedTuple):
    """The address that a mail front listens on. ``protocol`` is ``smtp`` or ``lmtp``."""

    protocol: str
    host: str
    port: int


class Service:
    """The subsystems of one forwarder, connected and run from :meth:`start` to :meth:`stop`.

    Args:
        settings: the checked settings of the forwarder.
        reactor: the network and the timers.
        now_us, format_date, incarnation, seed, log: see :class:`honeybarrow.service_parts.Environment`.
        load_saved_list: returns the last saved list of partners, or ``None``.
        save_list: saves the list of partners for the next start.
        on_crash: called after an internal error, once all messages have their final results.
        tls_context: the context for STARTTLS, or ``None`` without TLS.
        check_password: checks the name and password of an account, or ``None`` without AUTH.
        tracer: an additional observer of messages.
        zone_verdict_storage: keeps the fleet's verdicts on zones between starts.
    """

    def __init__(
        self,
        settings: ForwarderConfig,
        reactor: Reactor,
        now_us: Callable[[], int],
        format_date: Callable[[], str],
        incarnation: str,
        seed: int,
        load_saved_list: Callable[[], bytes | None],
        save_list: Callable[[bytes], None],
        log: Logger,
        on_crash: Callable[[Exception], None],
        tls_context: Any = None,
        check_password: Callable[[str, bytes], Deferred[bool]] | None = None,
        tracer: Observer | None = None,
        zone_verdict_storage: StateStorage = NO_STORAGE,
    ) -> None:
        self.settings, self.reactor, self.log = settings, reactor, log
        self.incarnation, self.load_saved_list = incarnation, load_saved_list
        self._message_count = 0
        self.ports: list[Any] = []
        environment = parts.Environment(settings, reactor, now_us, format_date, incarnation, seed, log)
        self.directory = PartnerDirectory()
        self.address_health = parts.build_address_health(environment, self._on_connect_finished)
        self.pool = parts.build_pool(environment, self.address_health)
        self.addresses = EndpointAddresses(
            self.directory, parts.build_egress_policy(settings), self.address_health, log
        )
        self.fleet_agent = parts.build_fleet_agent(
            environment,
            lambda update: self.forwarder.apply_membership_update(update),
            zone_verdict_storage.load,
            zone_verdict_storage.save,
        )
        self.metrics = self._build_metrics()
        self.forwarder = self._build_forwarder(environment, on_crash, tracer)
        self.register = parts.build_register_client(
            environment, self.directory, self.handle_list_update, save_list
        )
        router = parts.build_router(settings, self.directory)
        self.admission = parts.build_admission_control(settings, seed)
        self.submissions = parts.build_submission_service(environment, self.forwarder, self.admission)
        self.mail_connections = parts.build_connection_registry(
            environment, self.admission, self.submissions, router, self._new_id, tls_context, check_password
        )
        self.mail_factories = parts.build_mail_factories(settings, self.mail_connections)

    def start(self) -> list[FrontAddress]:
        """Start listening and return the address of each mail front.

        Raises ``CannotListenError`` if an address is not available.
        """
        saved_list = self.load_saved_list()
        update = None
        if saved_list is not None:
            try:
                update = self.directory.apply_line(saved_list, is_saved=True)
            except ListError as error:
                self.log.warning("saved_list_invalid", **error_log_fields(error))
        for listener, factory in zip(self.settings.listeners, self.mail_factories, strict=True):
            self.ports.append(self.reactor.listenTCP(listener.port, factory, interface=listener.host))
        if self.fleet_agent is not None:
            host, port = self.fleet_agent.start()
            self.log.info("listening", fleet=self.fleet_agent.config.fleet_name, host=host, port=port)
        if update is None:
            update = self.directory.apply(EMPTY_LIST, is_saved=True)
        self.handle_list_update(update)
        if self.metrics is not None:
            site = Site(MetricsResource(self.metrics))  # type: ignore[no-untyped-call]
            port = self.settings.observability.metrics_port
            self.ports.append(self.reactor.listenTCP(port, site, interface="127.0.0.1"))
        fronts = [
            (mail_factory, listening_port.getHost())
            for mail_factory, listening_port in zip(self.mail_factories, self.ports, strict=False)
        ]
        return [
            FrontAddress("lmtp" if mail_factory.lmtp else "smtp", address.host, address.port)
            for mail_factory, address in fronts
        ]

    def stop(self) -> Deferred[None]:
        """Stop accepting messages and complete the open ones within ``drain_timeout_us``.

        The returned Deferred fires when everything is closed.
        """
        closing_ports = [maybeDeferred(port.stopListening) for port in self.ports]
        self.mail_connections.start_drain()
        done: Deferred[None] = Deferred()
        timer = self.reactor.callLater(self.settings.drain_timeout_us / 1e6, self._on_drain_timeout)

        def close_all(_: Any) -> None:
            if timer.active():
                timer.cancel()
            self.register.stop()
            if self.fleet_agent is not None:
                self.fleet_agent.stop()
            self.pool.close_all_idle()
            self.reactor.callLater(LAST_WRITE_DELAY_S, lambda: None if done.called else done.callback(None))

        drained = self.forwarder.wait_until_drained()
        DeferredList([drained, *closing_ports], consumeErrors=True).addCallback(close_all)
        return done

    def _on_drain_timeout(self) -> None:
        """Fail the messages that are still open after ``drain_timeout_us``."""
        self.log.warning("drain_timeout", open=self.forwarder.open_count)
        self.forwarder.fail_all("shutting down")

    def _build_metrics(self) -> Metrics | None:
        """Return the metrics, whose gauges are read at each scrape, or ``None`` if metrics are off."""
        if not self.settings.observability.metrics_port:
            return None
        metrics = Metrics(
            {
                "open": (
                    "Accepted messages without a final result",
                    lambda: float(self.forwarder.open_count),
                ),
                "calls": ("Attempts in flight", lambda: float(self.forwarder.calls_in_flight)),
                "sessions": ("Connected clients", lambda: float(len(self.mail_connections.connections))),
                "list_version": ("Version of the endpoint list", lambda: float(self.directory.version)),
            }
        )
        if self.fleet_agent is not None:
            metrics.register_fleet(self.fleet_agent.collect_metrics)
        return metrics

    def _build_forwarder(
        self, environment: parts.Environment, on_crash: Callable[[Exception], None], tracer: Observer | None
    ) -> Forwarder:
        """Return the delivery core, which decides about messages and runs the attempts."""
        observers = [candidate for candidate in (self.metrics, tracer) if candidate is not None]
        observer: Observer = (
            ObserverFanout(*observers) if len(observers) > 1 else [*observers, NullObserver()][0]
        )
        return Forwarder(
            self.settings.policy_settings(),
            environment.seed,
            self.reactor,
            environment.now_us,
            self.pool,
            self._find_addresses,
            self._subscribe,
            self.log,
            on_crash,
            observer,
            self._partner_name,
            call_observer=self.fleet_agent,
        )

    def _partner_name(self, number: int) -> str:
        """Return a destination's name for metrics and logs, or its number if it is not listed."""
        partner = self.directory.partners.get(number)
        return partner.name if partner else str(number)

    def _subscribe(self) -> None:
        """Request the list of partners from the register."""
        self.register.subscribe()

    def handle_list_update(self, update: MembershipUpdate) -> None:
        """Apply a change of the endpoint list.

        Connections to addresses that are no longer listed are closed before any further attempt starts.
        """
        for target, addresses in self.addresses.refresh(
            [*self.pool.idle_by_target, *self.pool.calls_by_target]
        ):
            self.pool.update_addresses({target: addresses})
        self.forwarder.apply_membership_update(
            self.fleet_agent.filter_endpoint_update(update) if self.fleet_agent is not None else update
        )

    def _find_addresses(self, target: str) -> list[Address]:
        """Return the addresses of an endpoint that may be called."""
        return self.addresses.find(target)

    def _on_connect_finished(self, address: Address, outcome: str, duration_us: int) -> None:
        """Record the end of a connection attempt. ``outcome`` is ``connected`` or the kind of failure."""
        if outcome != "connected":
            self.log.info("address_failed", address=str(address), outcome=outcome)
        if self.metrics is not None:
            self.metrics.connect_finished(str(address), outcome, duration_us)

    def _new_id(self) -> str:
        """Return a message id that is unique in the fleet, also across restarts."""
        self._message_count += 1
        return f"{self.settings.name}-{self.incarnation}-{self._message_count}"

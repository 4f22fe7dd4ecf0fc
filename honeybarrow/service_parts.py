"""Functions that build the subsystems of a service from checked settings, without starting them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from honeybarrow import mail
from honeybarrow.addressing.address import parse_host_port
from honeybarrow.addressing.address_health import AddressHealth
from honeybarrow.addressing.egress_policy import EgressPolicy
from honeybarrow.admission.admission_control import AdmissionConfig, AdmissionController
from honeybarrow.admission.duplicate_detection import DuplicateDetector
from honeybarrow.admission.identity import ClientConfig, ClientIdentifier
from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.delivery import Forwarder, MailConnectionPool, PoolLimits
from honeybarrow.events import MembershipUpdate
from honeybarrow.fleet.agent import FleetAgent, FleetConfig
from honeybarrow.fleet.swim_config import SwimConfig
from honeybarrow.fleet.zone_config import ZoneConfig
from honeybarrow.mail_front import (
    ConnectionRegistry,
    MailFrontLimits,
    MailServerFactory,
    MailSubmissionService,
    MessageRouter,
    RoutingRules,
)
from honeybarrow.ports import Logger, Reactor
from honeybarrow.register import PartnerDirectory, RegisterClient

MAX_PING_TIMEOUT_US = 150_000  # after it, a member without an answer is probed indirectly


@dataclass(frozen=True, slots=True)
class Environment:
    """The dependencies that a process, or a simulation of one, provides to its service.

    Attributes:
        settings: the checked settings of the forwarder.
        reactor: the network and the timers.
        now_us: returns the time of a monotonic clock in microseconds.
        format_date: returns the current date for trace lines (RFC 5322 section 3.3).
        incarnation: a string that differs at each start; hexadecimal if the forwarder belongs to a fleet.
        seed: the seed of all random numbers.
        log: the structured log.
    """

    settings: ForwarderConfig
    reactor: Reactor
    now_us: Callable[[], int]
    format_date: Callable[[], str]
    incarnation: str
    seed: int
    log: Logger


def build_egress_policy(settings: ForwarderConfig) -> EgressPolicy:
    """Return the policy on partners' addresses. Raises ``ValueError`` for an invalid network."""
    return EgressPolicy(
        settings.allowed_networks,
        settings.denied_networks,
        settings.socket_directories,
        settings.allows_shared_networks,
    )


def build_address_health(environment: Environment, on_connect_finished: Callable[..., None]) -> AddressHealth:
    """Return the health records of partners' addresses.

    ``on_connect_finished`` is called with address, outcome and duration in microseconds.
    """
    return AddressHealth(
        random.Random(environment.seed),
        environment.settings.zone,
        environment.settings.policy.warm_up_us,
        on_connect_finished,
    )


def build_pool(environment: Environment, health: AddressHealth) -> MailConnectionPool:
    """Return the pool of connections to partners."""
    pool = environment.settings.pool
    limits = PoolLimits(pool.max_idle_per_endpoint, pool.connect_timeout_us / 1e6, pool.idle_timeout_us / 1e6)
    return MailConnectionPool(
        environment.reactor, environment.reactor, environment.settings.name, limits, address_health=health
    )


def build_fleet_agent(
    environment: Environment,
    on_update: Callable[[MembershipUpdate], None],
    load_verdicts: Callable[[], bytes | None],
    save_verdicts: Callable[[bytes], None],
) -> FleetAgent | None:
    """Return this forwarder's fleet member, or ``None`` if the settings name no fleet."""
    settings, fleet = environment.settings, environment.settings.fleet
    if fleet is None:
        return None
    config = FleetConfig(
        fleet.name,
        settings.name,
        fleet.zone or settings.zone,
        parse_host_port(fleet.listen) or ("", 0),
        fleet.address,
        fleet.peer_addresses(),
        SwimConfig(
            protocol_period_us=fleet.protocol_period_us,
            ping_timeout_us=min(MAX_PING_TIMEOUT_US, fleet.protocol_period_us // 3),
        ),
        ZoneConfig(
            initial_probe_delay_us=fleet.initial_probe_delay_us,
            max_probe_delay_us=fleet.max_probe_delay_us,
            probe_window_us=fleet.probe_window_us,
            relapse_window_us=fleet.relapse_window_us,
            max_ejected_zones=fleet.max_ejected_zones,
            start_capacity=max(0.01, settings.policy.start_capacity),
            warm_up_us=settings.policy.warm_up_us,
        ),
        settings.weight_source != "none",
    )
    rng = random.Random(f"fleet/{environment.seed}")
    incarnation = int(environment.incarnation, 16)
    return FleetAgent(
        config,
        incarnation,
        environment.reactor,
        environment.now_us,
        rng,
        on_update,
        load_verdicts,
        save_verdicts,
        environment.log,
    )


def build_register_client(
    environment: Environment,
    directory: PartnerDirectory,
    on_update: Callable[[MembershipUpdate], None],
    save_list: Callable[[bytes], None],
) -> RegisterClient:
    """Return the client of the partners' register, which keeps ``directory`` up to date."""
    register = environment.settings.register
    return RegisterClient(
        environment.reactor,
        environment.reactor,
        (register.host, register.port),
        register.answer_timeout_us / 1e6,
        directory,
        on_update,
        save_list,
        environment.log,
        environment.settings.name,
    )


def build_router(settings: ForwarderConfig, directory: PartnerDirectory) -> MessageRouter:
    """Return the router from recipients to message classes and partners."""
    routing = settings.routing
    return MessageRouter(
        RoutingRules(
            routing.message_class,
            routing.destination,
            routing.tenant,
            routing.order_key,
            routing.time_left_ms,
            routing.is_order_key_required,
            routing.is_tenant_required,
        ),
        {message_class.name: message_class.deadline_us for message_class in settings.classes},
        frozenset(message_class.name for message_class in settings.classes if message_class.is_ordered),
        directory.find_partner,
        lambda: directory.version > 0,
    )


def build_admission_control(settings: ForwarderConfig, seed: int) -> AdmissionController:
    """Return the admission control of sessions and messages."""
    fronts = settings.mail_front
    limits = AdmissionConfig(
        fronts.max_connections, settings.max_open, fronts.max_buffered_bytes, settings.max_retry_after_us
    )
    weights = {client.name: client.weight for client in settings.clients}
    return AdmissionController(limits, weights, random.Random(seed))


def build_submission_service(
    environment: Environment, forwarder: Forwarder, admission: AdmissionController
) -> MailSubmissionService:
    """Return the service that submits the fronts' messages to the delivery core."""
    fronts = environment.settings.mail_front
    classes = {
        message_class.name: message_class for message_class in environment.settings.policy_settings().classes
    }
    duplicates = DuplicateDetector(fronts.max_retained_results, fronts.result_retention_us)
    return MailSubmissionService(
        forwarder, admission, duplicates, classes, environment.reactor, environment.now_us, environment.log
    )


def build_connection_registry(
    environment: Environment,
    admission: AdmissionController,
    submissions: MailSubmissionService,
    router: MessageRouter,
    new_message_id: Callable[[], str],
    tls_context: Any,
    check_password: Callable[[str, bytes], Deferred[bool]] | None,
) -> ConnectionRegistry:
    """Return the registry of client connections.

    ``tls_context`` is used for STARTTLS, ``check_password`` for AUTH; both may be ``None``.
    """
    settings, fronts = environment.settings, environment.settings.mail_front
    known_clients = [
        ClientConfig(client.name, client.networks, client.certificate, client.account)
        for client in settings.clients
    ]
    return ConnectionRegistry(
        settings.name,
        admission,
        submissions,
        router,
        ClientIdentifier(settings.allowed_clients, known_clients),
        mail.SessionLimits(
            max_message_bytes=fronts.max_message_bytes,
            max_recipients=fronts.max_recipients,
            max_errors=fronts.max_errors,
        ),
        MailFrontLimits(fronts.command_timeout_us / 1e6, fronts.data_timeout_us / 1e6, fronts.max_hops),
        environment.reactor,
        environment.now_us,
        new_message_id,
        environment.format_date,
        environment.log,
        tls_context,
        check_password,
    )


def build_mail_factories(settings: ForwarderConfig, registry: ConnectionRegistry) -> list[MailServerFactory]:
    """Return a protocol factory for each listener, in the order of the settings."""
    return [
        MailServerFactory(registry, listener.protocol == "lmtp", listener.require)
        for listener in settings.listeners
    ]

"""The records that hold a forwarder's settings. Durations are integers in microseconds.

The names of fields in scripts are a public interface: where a field has another name in the code, the
``rename`` table of its record gives the name in scripts. :mod:`honeybarrow.config.script` creates the
records from a Starlark script; this module reads no files.
"""

from __future__ import annotations

import re
from typing import Annotated, ClassVar, Literal

import msgspec
from msgspec import Meta

from honeybarrow.addressing.address import parse_host_port
from honeybarrow.addressing.egress_policy import EgressPolicy
from honeybarrow.admission.identity import ClientConfig, ClientIdentifier
from honeybarrow.settings import DestinationKind, Idempotency, Settings, UtilityDecay, WeightSource
from honeybarrow.settings import MessageClass as CoreMessageClass
from honeybarrow.settings import Tenant as CoreTenant

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Positive = Annotated[int, Meta(ge=1)]
Microseconds = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Host = Annotated[str, Meta(min_length=1, max_length=255)]


class StrictRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A record that rejects unknown fields; scripts create it with the function ``script_function``."""

    script_function: ClassVar[str] = ""


class MessageClassConfig(
    StrictRecord,
    frozen=True,
    rename={
        "latency_objective_us": "aim",
        "deadline_us": "deadline",
        "idempotency": "effect",
        "key_scope": "group",
        "key_window_us": "window",
        "priority_weight": "worth",
        "late_utility": "late_share",
        "is_ordered": "keep_order",
    },
):
    """A class of messages; see :class:`honeybarrow.settings.MessageClass`.

    Attributes:
        latency_objective_us: the time within which a message has its full utility.
        deadline_us: the time within which a message must have its final result.
        idempotency: whether a retry is harmless (``safe``), harmless with an idempotency key (``keyed``) or
            may repeat the effect (``unsafe``).
        key_scope: where the partner knows an idempotency key.
        key_window_us: how long the partner knows an idempotency key.
        priority_weight: the weight of the class when capacity is short.
        late_utility: the share of the utility that remains at the deadline.
        is_ordered: whether messages with the same order key are delivered in order.
    """

    script_function: ClassVar[str] = "message_class"
    name: Name
    latency_objective_us: Microseconds
    deadline_us: Positive
    idempotency: Literal["safe", "keyed", "unsafe"] = "safe"
    key_scope: Literal["all", "zone"] = "all"
    key_window_us: Microseconds = 0
    priority_weight: Annotated[float, Meta(ge=0.0)] = 1.0
    late_utility: Share = 0.0
    is_ordered: bool = False

    def __post_init__(self) -> None:
        if self.deadline_us < self.latency_objective_us:
            raise ValueError("deadline is under aim")
        if self.idempotency == "keyed" and not self.key_window_us:
            raise ValueError("window is missing: for how long does the partner know a key?")


class DestinationKindConfig(
    StrictRecord,
    frozen=True,
    rename={
        "has_separate_routes": "separate_routes",
    },
):
    """A kind of destination. A mail attempt carries a single message, so there is no batch size."""

    script_function: ClassVar[str] = "kind"
    name: Name
    has_separate_routes: bool = False


class TenantConfig(StrictRecord, frozen=True):
    """A tenant and its quota in messages per second over all forwarders."""

    script_function: ClassVar[str] = "tenant"
    name: Name
    quota: Annotated[float, Meta(gt=0.0)]


SOURCE_PATTERN = re.compile(
    r"recipient\.(local|domain|detail|base)|sender\.(local|domain)|header:[A-Za-z0-9-]{1,60}"
)


class RoutingConfig(
    StrictRecord,
    frozen=True,
    rename={
        "order_key": "key",
        "is_order_key_required": "need_key",
        "is_tenant_required": "need_tenant",
    },
):
    """The sources of a message's class, destination, tenant, order key and remaining time.

    A source is ``recipient.local``, ``recipient.base`` or ``recipient.detail`` (the local part before and
    after a plus sign), ``recipient.domain``, ``sender.local``, ``sender.domain`` or ``header:NAME``. An empty
    source means that the value is not read.
    """

    script_function: ClassVar[str] = "routing"
    message_class: str = "recipient.local"
    destination: str = "recipient.domain"
    tenant: str = ""
    order_key: str = ""
    time_left_ms: str = ""
    is_order_key_required: bool = False
    is_tenant_required: bool = False

    def __post_init__(self) -> None:
        sources = {
            "message_class": self.message_class,
            "destination": self.destination,
            "tenant": self.tenant,
            "key": self.order_key,
            "time_left_ms": self.time_left_ms,
        }
        for name, source in sources.items():
            if source and not SOURCE_PATTERN.fullmatch(source):
                raise ValueError(f"{name}: no such source as {source!r}")
        for name in ("message_class", "destination"):
            if not sources[name].startswith("recipient."):
                # A header is known only after the data, too late to reject a single recipient at RCPT.
                raise ValueError(f"{name}: must be read from the recipient")


class ListenerConfig(StrictRecord, frozen=True):
    """A listening address for SMTP or LMTP. ``require`` is what an SMTP client must complete before MAIL."""

    script_function: ClassVar[str] = "listen"
    protocol: Literal["smtp", "lmtp"]
    port: Port
    host: Host = "127.0.0.1"
    require: Literal["none", "tls", "auth"] = "none"

    def __post_init__(self) -> None:
        if self.protocol == "lmtp" and self.require != "none":
            raise ValueError("require: LMTP clients are told apart by network alone")


class ClientProgramConfig(StrictRecord, frozen=True):
    """A client program, how it is identified, and its weight when capacity is shared.

    Attributes:
        networks: the networks of its addresses.
        certificate: the common name of its client certificate.
        account: the account that it authenticates with (AUTH).
        weight: its weight in fair sharing when capacity is short.
    """

    script_function: ClassVar[str] = "client_program"
    name: Name
    networks: tuple[str, ...] = ()
    certificate: str = ""
    account: str = ""
    weight: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0


class TlsConfig(StrictRecord, frozen=True):
    """The PEM files for STARTTLS.

    ``certificate`` holds the certificate chain, ``key`` the private key and ``client_ca`` the certificates of
    the authorities that sign client certificates.
    """

    script_function: ClassVar[str] = "tls"
    certificate: Annotated[str, Meta(min_length=1)]
    key: Annotated[str, Meta(min_length=1)]
    client_ca: str = ""


class MailFrontConfig(
    StrictRecord,
    frozen=True,
    rename={
        "max_connections": "connections",
        "max_message_bytes": "message_size",
        "max_recipients": "recipients",
        "max_errors": "errors",
        "command_timeout_us": "command_timeout",
        "data_timeout_us": "data_timeout",
        "max_buffered_bytes": "octets",
        "result_retention_us": "remember",
        "max_retained_results": "remembered",
        "max_hops": "hops",
    },
):
    """The limits of client sessions: counts, bytes and durations in microseconds.

    Attributes:
        max_buffered_bytes: the size of the messages being received, over all sessions.
        result_retention_us: how long final results are kept for messages that are submitted again.
        max_retained_results: the maximum number of final results that are kept.
        max_hops: the number of Received lines above which a message is rejected as a loop.
    """

    script_function: ClassVar[str] = "fronts"
    max_connections: Positive = 500
    max_message_bytes: Positive = 1 << 20
    max_recipients: Positive = 100
    max_errors: Positive = 10
    command_timeout_us: Positive = 300_000_000  # RFC 5321 4.5.3.2.7
    data_timeout_us: Positive = 180_000_000  # RFC 5321 4.5.3.2.5
    max_buffered_bytes: Positive = 64 << 20
    result_retention_us: Microseconds = 60_000_000
    max_retained_results: Positive = 20_000
    max_hops: Positive = 50  # below the 100 that RFC 5321 6.3 recommends; see docs/mail.md


class PoolConfig(
    StrictRecord,
    frozen=True,
    rename={
        "max_idle_per_endpoint": "idle_per_endpoint",
        "connect_timeout_us": "connect_timeout",
        "idle_timeout_us": "idle",
    },
):
    """The limits of connections to partners: counts and durations in microseconds."""

    script_function: ClassVar[str] = "pool"
    max_idle_per_endpoint: Positive = 8
    connect_timeout_us: Positive = 1_000_000
    idle_timeout_us: Positive = 10_000_000


class RegisterConfig(
    StrictRecord,
    frozen=True,
    rename={
        "answer_timeout_us": "answer_timeout",
    },
):
    """The address of the partners' register, and the file that keeps its last list between starts."""

    script_function: ClassVar[str] = "register"
    port: Port
    host: Host = "127.0.0.1"
    saved_list: str = ""
    answer_timeout_us: Positive = 5_000_000


PEER_PATTERN = re.compile(r"([A-Za-z0-9][A-Za-z0-9._-]{0,63})@(.+)")
ZonePath = Annotated[
    str, Meta(max_length=128, pattern=r"^([A-Za-z0-9][A-Za-z0-9._-]*(/[A-Za-z0-9][A-Za-z0-9._-]*)*)?$")
]


class FleetMembershipConfig(
    StrictRecord,
    frozen=True,
    rename={
        "saved_verdicts": "saved",
        "protocol_period_us": "period",
        "initial_probe_delay_us": "first_trial",
        "max_probe_delay_us": "last_trial",
        "probe_window_us": "trial",
        "relapse_window_us": "settled",
        "max_ejected_zones": "out_most",
    },
):
    """The fleet that this forwarder belongs to (``docs/fleet.md``).

    Attributes:
        name: the name of the fleet.
        listen: the host and port for datagrams and streams.
        peers: some members as ``name@host:port``, through which this one joins. Its own entry is ignored,
            so all members can share one list.
        zone: the zone of this member, named as in the register's list; by default that of the forwarder.
        address: the host and port that the other members use, if it differs from ``listen``.
        saved_verdicts: the file that keeps the verdicts on zones.
        protocol_period_us: the protocol period of SWIM.
        initial_probe_delay_us: the wait before the first probe of an ejected zone; later waits are longer.
        max_probe_delay_us: the longest wait between probes of an ejected zone.
        probe_window_us: the duration of a probe of an ejected zone.
        relapse_window_us: the time after a recovery in which another outage counts as a relapse.
        max_ejected_zones: the maximum number of zones ejected at once; 0 for half of those listed.
    """

    script_function: ClassVar[str] = "fleet"
    name: Name
    listen: str
    peers: Annotated[tuple[str, ...], Meta(min_length=1, max_length=1000)]
    zone: ZonePath = ""
    address: str = ""
    saved_verdicts: str = ""
    protocol_period_us: Positive = 500_000
    initial_probe_delay_us: Positive = 2_000_000
    max_probe_delay_us: Positive = 60_000_000
    probe_window_us: Positive = 2_000_000
    relapse_window_us: Positive = 60_000_000
    max_ejected_zones: Annotated[int, Meta(ge=0)] = 0

    def __post_init__(self) -> None:
        if parse_host_port(self.listen) is None:
            raise ValueError(f"listen: {self.listen!r} is no host:port")
        if self.address and parse_host_port(self.address) is None:
            raise ValueError(f"address: {self.address!r} is no host:port")
        if self.max_probe_delay_us < self.initial_probe_delay_us:
            raise ValueError("last_trial is under first_trial")
        seen: dict[str, None] = {}
        for text in self.peers:
            match = PEER_PATTERN.fullmatch(text)
            if match is None or parse_host_port(match.group(2)) is None:
                raise ValueError(f"peers: {text!r} is no name@host:port")
            if match.group(1) in seen:
                raise ValueError(f"peers: {match.group(1)!r} is given twice")
            seen[match.group(1)] = None

    def peer_addresses(self) -> dict[str, tuple[str, int]]:
        """Return the host and port of each peer by its name."""
        found = {}
        for text in self.peers:
            name, _, address = text.partition("@")
            found[name] = parse_host_port(address) or ("", 0)
        return found


class ObservabilityConfig(
    StrictRecord,
    frozen=True,
    rename={
        "spans_file": "spans",
        "sampled_share": "share",
    },
):
    """Metrics and traces, both off by default.

    Attributes:
        metrics_port: the loopback port that serves ``/metrics``; 0 to turn metrics off.
        spans_file: the file that spans are appended to as JSON Lines; empty to turn traces off.
        sampled_share: the share of messages that are traced, from 0.0 to 1.0.
    """

    script_function: ClassVar[str] = "observe"
    metrics_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    spans_file: str = ""
    sampled_share: Share = 1.0


class PolicyConfig(
    StrictRecord,
    frozen=True,
    rename={
        "drain_grace_us": "drain_grace",
        "poll_interval_us": "ask_within",
        "answer_grace_us": "answer_grace",
        "collapse_multiple": "fall_multiple",
        "collapse_window_us": "fall",
        "warm_up_us": "cold",
        "order_key_cooldown_us": "settle",
    },
):
    """The parameters of the sending policy (``docs/decisions.md``).

    A destination that returns after an outage starts at ``start_capacity`` of its capacity, reaches full
    capacity after ``warm_up_us``, and collapses if the calls within ``collapse_window_us`` exceed
    ``collapse_multiple`` times its capacity at that time.

    Attributes:
        drain_grace_us: the time after an endpoint starts to drain in which attempts may still start.
        poll_interval_us: the longest time between requests for the endpoint list.
        answer_grace_us: the time after its deadline in which a message may still get its final result.
        order_key_cooldown_us: the time without attempts for an order key after an attempt whose effect is
            unknown.
    """

    script_function: ClassVar[str] = "rules"
    drain_grace_us: Microseconds = 250_000
    poll_interval_us: Microseconds = 10_000_000
    answer_grace_us: Microseconds = 20_000
    collapse_multiple: Annotated[float, Meta(gt=0.0)] = 2.0
    collapse_window_us: Positive = 3_000_000
    start_capacity: Share = 0.2
    warm_up_us: Positive = 9_000_000
    order_key_cooldown_us: Microseconds = 300_000


class ForwarderConfig(
    StrictRecord,
    frozen=True,
    rename={
        "listeners": "listen",
        "allowed_networks": "reach",
        "denied_networks": "refused",
        "socket_directories": "sockets",
        "allows_shared_networks": "share_networks",
        "allowed_clients": "allow",
        "accounts_file": "accounts",
        "mail_front": "fronts",
        "policy": "rules",
        "forwarder_count": "forwarders",
        "max_attempts": "attempt_cap",
        "utility_decay": "fade",
        "weight_source": "weights",
        "over_quota_weight": "over_share_worth",
        "max_retry_after_us": "max_wait",
        "observability": "observe",
        "drain_timeout_us": "stop_grace",
    },
):
    """The settings of one forwarder process.

    Attributes:
        classes: the message classes.
        register: the register that lists the partners.
        listeners: the listening addresses of the mail fronts.
        kinds: the kinds of destination.
        tenants: the tenants and their quotas.
        clients: the client programs that are identified.
        allowed_clients: the networks whose clients may connect.
        allowed_networks: the networks that partners' addresses may lie in.
        denied_networks: the parts of ``allowed_networks`` that partners' addresses may not lie in.
        socket_directories: the directories that partners' Unix sockets may lie in. None of them may be
            writable by everyone.
        allows_shared_networks: whether a partner may have addresses in the networks of another partner.
        zone: the network zone of this forwarder, whose addresses are tried first.
        accounts_file: the file of accounts for AUTH.
        slots: the maximum number of attempts in flight.
        max_open: the maximum number of accepted messages without a final result.
        forwarder_count: the number of forwarders that share the limits of the destinations.
        max_attempts: the maximum number of attempts for one message.
        utility_decay: how the utility of a message falls after its latency objective.
        weight_source: the meaning of the weight of a listed endpoint.
        over_quota_weight: the factor on the weight of messages above the quota of their tenant.
        max_retry_after_us: the longest time that a refused client is asked to wait; 0 for no such hint.
        drain_timeout_us: the time for open messages to complete when the process stops.
        seed: the seed of random decisions; 0 for a different one at each start.
    """

    script_function: ClassVar[str] = "forwarder"
    name: Name
    classes: Annotated[tuple[MessageClassConfig, ...], Meta(min_length=1)]
    register: RegisterConfig
    listeners: Annotated[tuple[ListenerConfig, ...], Meta(min_length=1)]
    kinds: tuple[DestinationKindConfig, ...] = ()
    tenants: tuple[TenantConfig, ...] = ()
    clients: tuple[ClientProgramConfig, ...] = ()
    allowed_clients: tuple[str, ...] = ("127.0.0.0/8", "::1/128")
    allowed_networks: tuple[str, ...] = ("127.0.0.0/8", "::1/128")
    denied_networks: tuple[str, ...] = ()
    socket_directories: tuple[str, ...] = ("/run", "/var/run")
    allows_shared_networks: bool = False
    zone: str = ""
    tls: TlsConfig | None = None
    accounts_file: str = ""
    routing: RoutingConfig = RoutingConfig()
    mail_front: MailFrontConfig = MailFrontConfig()
    pool: PoolConfig = PoolConfig()
    policy: PolicyConfig = PolicyConfig()
    slots: Positive = 16
    max_open: Positive = 250
    forwarder_count: Positive = 1
    max_attempts: Positive = 12
    utility_decay: Literal["line", "halves"] = "line"
    weight_source: Literal["none", "nominal", "rough"] = "rough"
    over_quota_weight: Share = 0.2
    max_retry_after_us: Microseconds = 3_000_000
    observability: ObservabilityConfig = ObservabilityConfig()
    fleet: FleetMembershipConfig | None = None
    drain_timeout_us: Positive = 30_000_000
    seed: Annotated[int, Meta(ge=0)] = 0

    def __post_init__(self) -> None:
        for field in ("classes", "kinds", "tenants", "clients"):
            names = [item.name for item in getattr(self, field)]
            for name in names:
                if names.count(name) > 1:
                    raise ValueError(f"{field}: {name!r} is given twice")
        if self.accounts_file and self.tls is None:
            raise ValueError("accounts: passwords are taken inside TLS only, and tls is missing")
        if any(item.require != "none" for item in self.listeners) and self.tls is None:
            raise ValueError("listen: require needs tls, and tls is missing")
        if self.fleet is not None and not any(name != self.name for name in self.fleet.peer_addresses()):
            raise ValueError("fleet: peers name no other forwarder")
        try:
            EgressPolicy(self.allowed_networks, self.denied_networks)
            ClientIdentifier(self.allowed_clients, [ClientConfig(c.name, c.networks) for c in self.clients])
        except ValueError as error:
            raise ValueError(f"allow, reach, refused, clients: {error}") from None
        addresses = [(item.host, item.port) for item in self.listeners if item.port]
        if len(set(addresses)) < len(addresses):
            raise ValueError("listen: one address is given twice")

    def policy_settings(self) -> Settings:
        """Return the settings of the sending policy."""
        return Settings(
            classes=tuple(
                CoreMessageClass(
                    c.name,
                    c.latency_objective_us,
                    c.deadline_us,
                    Idempotency(c.idempotency),
                    c.key_scope,
                    c.key_window_us,
                    c.priority_weight,
                    c.late_utility,
                    c.is_ordered,
                )
                for c in self.classes
            ),
            kinds=tuple(DestinationKind(k.name, 1, k.has_separate_routes) for k in self.kinds),
            tenants=tuple(CoreTenant(t.name, t.quota) for t in self.tenants),
            slots=self.slots,
            max_open=self.max_open,
            senders=self.forwarder_count,
            utility_decay=UtilityDecay(self.utility_decay),
            weight_source=WeightSource(self.weight_source),
            load_report_fields=("x0", "x1"),
            over_quota_weight=self.over_quota_weight,
            max_attempts=self.max_attempts,
            allows_retry_after=self.max_retry_after_us > 0,
            max_retry_after_us=self.max_retry_after_us,
            connect_timeout_us=self.pool.connect_timeout_us,
            idle_timeout_us=self.pool.idle_timeout_us,
            polls_endpoint_list=True,
            poll_interval_us=self.policy.poll_interval_us,
            drain_grace_us=self.policy.drain_grace_us,
            answer_grace_us=self.policy.answer_grace_us,
            collapse_multiple=self.policy.collapse_multiple,
            collapse_window_us=self.policy.collapse_window_us,
            start_capacity=self.policy.start_capacity,
            warm_up_us=self.policy.warm_up_us,
            order_key_cooldown_us=self.policy.order_key_cooldown_us,
        )

"""Records of scenario files, in addition to those of the settings, with the bounds of their fields.

``SCENARIO_RECORD_TYPES`` maps the words of the files to the records. Where the name of a field in the files
differs from its name here, the record's ``rename`` gives it. Durations are integers in microseconds.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Annotated, ClassVar, Literal

import msgspec
from msgspec import Meta

from honeybarrow.config import RECORD_TYPES
from honeybarrow.config.schema import Microseconds, Name, Port, Positive, Share, StrictRecord
from honeybarrow.fleet.zone_paths import expand_path


class AddressConfig(StrictRecord, frozen=True):
    """Additional address of an endpoint: a host and port on loopback, or the path of a Unix socket."""

    name: Name
    host: Literal["127.0.0.1", "127.0.0.2", "127.0.0.3", "::1"] = "127.0.0.1"
    port: Annotated[int, Meta(ge=0, le=65535)] = 0
    path: Annotated[str, Meta(max_length=100)] = ""
    priority: Annotated[int, Meta(ge=0, le=65535)] = 0
    machine: str = ""

    def __post_init__(self) -> None:
        if bool(self.port) == bool(self.path):
            raise ValueError(f"spot {self.name}: expected either a port or a path")


class EndpointConfig(
    StrictRecord,
    frozen=True,
    rename={"is_listed": "listed", "addresses": "spots"},
):
    """Endpoint of a stand-in partner. Its own address has the same name as the endpoint."""

    target: Name
    port: Port
    protocol: Literal["smtp", "lmtp"] = "smtp"
    zone: str = ""
    is_listed: bool = True  # if false, the register lists it only after a fault of kind "add"
    addresses: tuple[AddressConfig, ...] = ()


class PartnerConfig(
    StrictRecord,
    frozen=True,
    rename={
        "destination": "number",
        "endpoints": "stations",
        "max_calls_per_s": "rate",
        "rate_window_us": "span",
        "retry_after_share": "wait_told",
        "min_retry_after_us": "wait",
        "service_time_us": "service",
        "queue_capacity": "queue",
        "max_connections": "connections",
    },
):
    """Stand-in partner.

    ``max_calls_per_s`` limits the calls of all forwarders together, 0 for no limit; with ``rate_window_us``
    the limit is enforced by counting calls in fixed windows of that length. ``retry_after_share`` is the
    share of rejections that carry a retry delay.
    """

    name: Name
    destination: Annotated[int, Meta(ge=0)]
    endpoints: Annotated[tuple[EndpointConfig, ...], Meta(min_length=1)]
    kind: str = ""
    max_calls_per_s: Annotated[float, Meta(ge=0.0)] = 0.0
    rate_window_us: Microseconds = 0
    retry_after_share: Share = 1.0
    min_retry_after_us: Microseconds = 400_000
    service_time_us: Positive = 60_000
    workers: Positive = 8
    queue_capacity: Annotated[int, Meta(ge=0)] = 16
    max_connections: Positive = 60
    weight: Annotated[float, Meta(ge=0.0)] = 0.0  # listed calls per second; 0 for the limit or the capacity

    @property
    def warm_calls_per_s(self) -> float:
        """Calls per second that it can process when warm."""
        return self.workers * 1e6 / self.service_time_us

    @property
    def listed_calls_per_s(self) -> float:
        """Calls per second that the register lists."""
        return self.weight or self.max_calls_per_s or self.warm_calls_per_s


class RegisterConfig(
    StrictRecord,
    frozen=True,
    rename={"delay_us": "delay"},
):
    """Stand-in register: its port, and the delay with which it sends changes."""

    port: Port
    delay_us: Microseconds = 200_000


class TrafficConfig(
    StrictRecord,
    frozen=True,
    rename={"order_key_count": "keys"},
):
    """Part of a client's messages: class, partner, share and number of distinct order keys."""

    message_class: Name
    partner: Name
    share: Annotated[float, Meta(gt=0.0)] = 1.0
    order_key_count: Annotated[int, Meta(ge=0)] = 0


class ClientConfig(
    StrictRecord,
    frozen=True,
    rename={
        "messages_per_s": "rate",
        "traffic": "parts",
        "max_retries": "retries",
        "message_bytes": "size",
        "max_connections": "connections",
    },
):
    """Stand-in client program: its message rate, the forwarders it submits to and its number of retries."""

    name: Name
    messages_per_s: Annotated[float, Meta(gt=0.0, le=2000.0)]
    traffic: Annotated[tuple[TrafficConfig, ...], Meta(min_length=1)]
    forwarders: Annotated[tuple[Name, ...], Meta(min_length=1)]
    protocol: Literal["smtp", "lmtp"] = "smtp"
    max_retries: Annotated[int, Meta(ge=0, le=10)] = 2
    message_bytes: Annotated[int, Meta(ge=16, le=1 << 20)] = 300
    max_connections: Annotated[int, Meta(ge=1, le=500)] = 200
    tenant: str = ""


FaultKind = Literal[
    "refuse",
    "shut",
    "hang",
    "silent",
    "slow",
    "pauses",
    "errors",
    "class_fail",
    "answer_lost",
    "idle_drop",
    "throttle",
    "spot_refuse",
    "spot_mute",
    "spot_hang",
    "spot_deaf",
    "drain",
    "add",
    "register_down",
    "register_bad",
    "register_stale",
    "kill",
    "machine_lost",
    "stall",
    "burst",
    "zone_down",
    "zone_cut",
    "link_cut",
    "link_one_way",
    "link_slow",
    "link_lossy",
]
LINK_FAULT_KINDS = ("link_cut", "link_one_way", "link_slow", "link_lossy")


class Fault(
    StrictRecord,
    frozen=True,
    rename={
        "start_us": "at",
        "duration_us": "last",
        "target": "who",
        "magnitude": "size",
        "failure_mode": "how",
        "affected_zone": "met_by",
    },
):
    """Fault that starts ``start_us`` after the start of the messages and lasts ``duration_us``.

    ``target`` is the name of a partner, endpoint, address, forwarder, client or zone, depending on ``kind``.
    ``magnitude`` depends on ``kind`` too: a share of the calls (``errors``, ``answer_lost``), a factor
    (``slow``, ``burst``, ``throttle``) or microseconds (``pauses``).

    ``class_fail``: a partner replies with an error to all messages of ``message_class``.

    ``spot_refuse``, ``spot_mute``, ``spot_hang``, ``spot_deaf``: an address refuses connections, accepts them
    and sends nothing, sends nothing after MAIL, or accepts messages and never replies to them.

    ``zone_down``: all endpoints in the zone fail by ``failure_mode``. With ``affected_zone`` they fail only
    for the forwarders in that zone, and always by sending nothing after MAIL.

    ``zone_cut``: endpoints in the zone fail for forwarders outside it, endpoints outside fail for forwarders
    in the zone, and the links between these forwarders are cut.

    ``machine_lost``: a forwarder is killed and its saved state is deleted; it starts again after
    ``duration_us``.

    ``link_cut``, ``link_one_way``, ``link_slow``, ``link_lossy``: the links between the forwarders in
    ``target`` (names or zones, separated by commas) and all others fail; ``link_one_way`` cuts only the
    direction in which those in ``target`` send. ``magnitude`` is a delay in milliseconds (``link_slow``) or
    the share of the datagrams that is lost (``link_lossy``).
    """

    kind: FaultKind
    start_us: Microseconds
    duration_us: Microseconds = 0
    target: str = ""
    magnitude: Annotated[float, Meta(ge=0.0)] = 1.0
    message_class: str = ""
    failure_mode: Literal["refuse", "mute", "hang", "deaf"] = "mute"
    affected_zone: str = ""


class Scenario(
    StrictRecord,
    frozen=True,
    rename={"duration_us": "length", "completion_grace_us": "settle", "faults": "troubles"},
):
    """Scenario: messages arrive for ``duration_us``, and have ``completion_grace_us`` more to complete."""

    script_function: ClassVar[str] = "rehearsal"
    name: Name
    duration_us: Annotated[int, Meta(ge=100_000, le=600_000_000)]
    partners: Annotated[tuple[PartnerConfig, ...], Meta(min_length=1)]
    register: RegisterConfig
    clients: tuple[ClientConfig, ...] = ()
    faults: tuple[Fault, ...] = ()
    completion_grace_us: Microseconds = 30_000_000
    seed: Annotated[int, Meta(ge=0)] = 1

    def __post_init__(self) -> None:
        partners = {partner.name for partner in self.partners}
        for client in self.clients:
            for traffic in client.traffic:
                if traffic.partner not in partners:
                    raise ValueError(f"client {client.name}: unknown partner {traffic.partner!r}")
        targets = self._list_fault_targets()
        for fault in self.faults:
            allowed = targets.get(fault.kind, partners)
            if allowed is not None and fault.target not in allowed:
                raise ValueError(f"trouble {fault.kind}: there is no {fault.target!r}")

    def _list_fault_targets(self) -> Mapping[str, Collection[str] | None]:
        """Return the permitted targets by fault kind, ``None`` for any. Other kinds target partners."""
        endpoints = [endpoint for partner in self.partners for endpoint in partner.endpoints]
        endpoint_names = {endpoint.target for endpoint in endpoints}
        address_names = endpoint_names | {each.name for endpoint in endpoints for each in endpoint.addresses}
        zones = {zone for endpoint in endpoints for zone in expand_path(endpoint.zone)}
        return {
            **dict.fromkeys(("drain", "add"), endpoint_names),
            **dict.fromkeys(("spot_refuse", "spot_mute", "spot_hang", "spot_deaf"), address_names),
            "burst": {client.name for client in self.clients},
            **dict.fromkeys(("register_down", "register_bad", "register_stale"), frozenset([""])),
            **dict.fromkeys(("zone_down", "zone_cut"), zones),
            **dict.fromkeys((*LINK_FAULT_KINDS, "kill", "machine_lost", "stall")),
        }


SCENARIO_RECORD_TYPES: dict[str, type[msgspec.Struct]] = {
    **RECORD_TYPES,
    "station": EndpointConfig,
    "spot": AddressConfig,
    "partner": PartnerConfig,
    "stand_in_register": RegisterConfig,
    "part": TrafficConfig,
    "client": ClientConfig,
    "trouble": Fault,
    "rehearsal": Scenario,
}

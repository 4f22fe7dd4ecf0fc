"""Fault plan of a soak run: faults of random kind, time and target, drawn from the run's seed."""

from __future__ import annotations

import enum
import errno
import random
from collections.abc import Sequence
from dataclasses import dataclass

from honeybarrow.soak.copies import COPY_DELAYS_S, CopyForm, CopyTiming
from honeybarrow.soak.crowds import FLOOD_KINDS, CrowdKind
from honeybarrow.soak.endpoints import EndpointMode
from honeybarrow.soak.fault_shim import SystemCall


class FaultKind(enum.StrEnum):
    """Kinds of faults; the values are the choices of ``honeybarrow soak --kind``."""

    TERMINATE = "terminate"  # SIGTERM, SIGKILL 3.7 s later, restart
    KILL = "kill"
    KILL_AFTER_END = "kill_after_end"  # soon after an endpoint has told that a message is over
    RELOAD = "reload"  # SIGHUP with another discovery address
    SIGNALS = "signals"  # SIGHUP, SIGSTOP with SIGCONT, and SIGTERM in close succession
    PAUSE = "pause"  # repeated SIGSTOP with SIGCONT up to 0.15 s later
    CLOCK_STEP = "clock_step"  # step of the wall clock
    CLOCK_STEP_AT_RESTART = "clock_step_at_restart"
    SYSTEM_CALL = "system_call"  # errors of socket and epoll calls
    FOLDER = "folder"  # errors of file operations in the state folder
    TORN_WRITE = "torn_write"  # kill in the middle of a file write
    STALL = "stall"  # delays before sends and file writes
    ENDPOINT_MODE = "endpoint_mode"  # one of the failures of EndpointMode
    ENDPOINT_CRASH = "endpoint_crash"
    ENDPOINT_VANISH = "endpoint_vanish"  # connects time out, open connections go silent
    OUTAGE = "outage"  # all endpoints of a destination refuse connections, then recover together
    LINK = "link"  # impaired links from one forwarder to all endpoints of a destination
    CLIENT_LINK = "client_link"
    DISCOVERY_DOWN = "discovery_down"  # watches are reset and refused
    DISCOVERY_LINK = "discovery_link"
    DISCOVERY_CROWD = "discovery_crowd"  # calls of one forwarder wait and fail while an endpoint is replaced
    REPLACE = "replace"  # an endpoint is drained and removed, and another one added
    COPY = "copy"  # copies of what the endpoints of a destination, or the platform, send to a forwarder
    CROWD = "crowd"  # more idle client connections than the forwarder has descriptors
    CLIENT_CROWD = "client_crowd"  # clients of one of the kinds of CrowdKind, or a flood of one client
    REPEAT = "repeat"  # requests that were accepted come again on new connections
    TAKE_OVER = "take_over"  # an endpoint of another destination starts at the address of one that ends


class CrowdStart(enum.StrEnum):
    """With what a forwarder's calls to a crowded discovery begin."""

    RELOAD = "reload"  # SIGHUP with another discovery address
    RESTART = "restart"  # kill and new start
    SERVICE = "service"  # its watch is reset


class CrowdedCallEnd(enum.StrEnum):
    """How a call to a crowded discovery ends after its wait."""

    REJECTED = "rejected"  # 503
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Depending on the kind, ``target`` names a forwarder, an endpoint or a destination, or is empty. ``amount``
    is a clock step, pause, stall, wait or delay in seconds, a chunk size in bytes, a number of connections or
    the number of a system call. ``probability`` applies to each call, write or response during the fault.
    """

    kind: FaultKind
    start_s: float
    duration_s: float
    target: str = ""
    amount: float = 0.0
    probability: float = 1.0
    detail: str = ""
    errnos: tuple[int, ...] = ()

    def format(self) -> str:
        """Return the fault as a line of text."""
        errnos = ",".join(errno.errorcode[number] for number in self.errnos)
        parts = [
            f"{self.start_s:6.2f} s", f"{self.duration_s:5.2f} s", self.kind.value, self.target, self.detail,
            f"amount={self.amount:.3f}" if self.amount else "", f"probability={self.probability:.2f}", errnos,
        ]  # fmt: skip
        return " ".join(part for part in parts if part)


@dataclass(frozen=True, slots=True)
class SoakSpec:
    """Size of a run, its load and its faults."""

    seed: int
    forwarders: int = 24
    destinations: int = 4
    endpoints_per_destination: int = 2
    load_s: float = 20.0  # during which clients send requests and faults start
    rate_per_s: float = 6.0  # requests per second to each forwarder
    faults: int = 60
    descriptors: int = 256  # limit of open sockets of each forwarder
    memory_limits_mb: tuple[int, ...] = (32, 48, 192)  # of the forwarders, in turn
    end_share: float = 0.15  # share of the messages that are withdrawn or have no attempt left
    kinds: tuple[FaultKind, ...] = tuple(FaultKind)


_EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Errors that Linux documents for each system call; each row is the set of errors of one fault.
_SYSTEM_CALL_ERRORS: tuple[tuple[SystemCall, tuple[int, ...]], ...] = (
    (SystemCall.ACCEPT, _EXHAUSTION_ERRNOS),
    (SystemCall.ACCEPT, (errno.ECONNABORTED, errno.EPROTO, errno.EINTR, errno.ENETUNREACH)),
    (SystemCall.SOCKET, _EXHAUSTION_ERRNOS),
    (SystemCall.CONNECT, (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS)),
    (SystemCall.CONNECT, (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EINTR)),
    (SystemCall.RECV, (errno.EINTR, errno.ENOMEM, errno.ENOBUFS)),
    (SystemCall.SEND, (errno.EINTR, errno.ENOMEM, errno.ENOBUFS)),
    (SystemCall.EPOLL_CTL, (errno.ENOMEM, errno.ENOSPC)),
    (SystemCall.SHUTDOWN, (errno.ENOTCONN,)),
)
_FOLDER_ERRNOS = (errno.ENOSPC, errno.EIO)
_FOLDER_CALLS = (SystemCall.WRITE, SystemCall.WRITE, SystemCall.OPEN, SystemCall.UNLINK, SystemCall.TRUNCATE)
_CLOCK_STEPS_S = (-3600.0, -20.0, -3.0, -0.6, 0.6, 3.0, 20.0, 3600.0)
# Relative frequency of each kind; 1.0 for kinds that are not listed.
_WEIGHTS = {
    FaultKind.CLOCK_STEP: 2.0,
    FaultKind.SYSTEM_CALL: 3.0,
    FaultKind.FOLDER: 2.0,
    FaultKind.ENDPOINT_MODE: 3.0,
    FaultKind.LINK: 2.0,
    FaultKind.COPY: 3.0,
    FaultKind.KILL_AFTER_END: 2.0,
    FaultKind.PAUSE: 1.5,
    FaultKind.CROWD: 0.3,
    FaultKind.REPEAT: 2.0,
    FaultKind.TAKE_OVER: 0.5,
    FaultKind.OUTAGE: 0.2,
    FaultKind.DISCOVERY_DOWN: 0.3,
    FaultKind.DISCOVERY_CROWD: 2.0,
    FaultKind.ENDPOINT_VANISH: 0.5,
}


_KILL_DELAYS_S = (0.0, 0.01, 0.08, 0.4)  # after the end of a message was told
MAX_WAIT_FOR_END_S = 5.0
MAX_DISCOVERY_WAIT_S = 2.0  # after which a call that waits for its turn fails
_LINK_KINDS = (FaultKind.LINK, FaultKind.CLIENT_LINK, FaultKind.DISCOVERY_LINK)
COPIED_LINKS = ("endpoints", "endpoints", "platform")  # what a copy fault applies to, by frequency
_ENDPOINT_KINDS = (
    FaultKind.ENDPOINT_MODE, FaultKind.ENDPOINT_CRASH, FaultKind.ENDPOINT_VANISH, FaultKind.REPLACE,
)  # fmt: skip


def draw_faults(spec: SoakSpec, forwarders: Sequence[str], endpoints: Sequence[str]) -> list[Fault]:
    """Return the faults of a run, sorted by start time."""
    rng = random.Random(spec.seed)
    weights = [_WEIGHTS.get(kind, 1.0) for kind in spec.kinds]
    kinds = rng.choices(spec.kinds, weights, k=spec.faults)
    faults = [_draw_fault(kind, spec, rng, forwarders, endpoints) for kind in kinds]
    return sorted(faults, key=lambda fault: fault.start_s)


def _draw_fault(
    kind: FaultKind, spec: SoakSpec, rng: random.Random, forwarders: Sequence[str], endpoints: Sequence[str]
) -> Fault:
    start_s = rng.uniform(0.5, spec.load_s)
    forwarder, endpoint = rng.choice(forwarders), rng.choice(endpoints)
    if kind in _LINK_KINDS:
        return _draw_link_fault(kind, start_s, forwarder, rng)
    if kind in _ENDPOINT_KINDS:
        return _draw_endpoint_fault(kind, start_s, endpoint, rng)
    match kind:
        case FaultKind.OUTAGE:
            destination = str(1 + rng.randrange(spec.destinations))
            return Fault(kind, start_s, rng.uniform(3.0, 7.0), destination)
        case FaultKind.DISCOVERY_DOWN:
            return Fault(kind, start_s, rng.uniform(1.0, 6.0))
        case FaultKind.COPY:
            return draw_copy_fault(start_s, forwarder, rng)
        case FaultKind.CROWD:
            return Fault(kind, start_s, rng.uniform(1.0, 4.0), forwarder, spec.descriptors * 1.2)
        case FaultKind.CLIENT_CROWD:
            crowd = rng.choice(tuple(CrowdKind))
            clients = 1 if crowd in FLOOD_KINDS else int(spec.descriptors * rng.choice((0.2, 0.4, 0.6)))
            return Fault(kind, start_s, rng.uniform(1.0, 4.0), forwarder, clients, detail=crowd.value)
        case FaultKind.DISCOVERY_CROWD:
            detail = f"{rng.choice(tuple(CrowdStart))} {rng.choice(tuple(CrowdedCallEnd))}"
            wait_s = rng.choice((0.0, 0.3, 1.2, MAX_DISCOVERY_WAIT_S))
            return Fault(kind, start_s, rng.uniform(4.0, 11.0), forwarder, wait_s, detail=detail)
        case FaultKind.TAKE_OVER:
            return Fault(kind, start_s, 0.0, endpoint, rng.choice((0.0, 0.1, 0.4)))
    return _draw_process_fault(kind, start_s, forwarder, rng)


def _draw_process_fault(kind: FaultKind, start_s: float, forwarder: str, rng: random.Random) -> Fault:
    match kind:
        case FaultKind.KILL_AFTER_END:
            return Fault(kind, start_s, MAX_WAIT_FOR_END_S, forwarder, rng.choice(_KILL_DELAYS_S))
        case FaultKind.PAUSE:
            return Fault(kind, start_s, rng.uniform(0.2, 2.0), forwarder, rng.uniform(0.02, 0.15))
        case FaultKind.CLOCK_STEP | FaultKind.CLOCK_STEP_AT_RESTART:
            return Fault(kind, start_s, 0.0, forwarder, rng.choice(_CLOCK_STEPS_S))
        case FaultKind.SYSTEM_CALL:
            call, errnos = rng.choice(_SYSTEM_CALL_ERRORS)
            probability, duration_s = rng.choice((0.05, 0.2, 0.5)), rng.uniform(0.3, 3.0)
            return Fault(kind, start_s, duration_s, forwarder, call.value, probability, call.name, errnos)
        case FaultKind.FOLDER:
            call, probability = rng.choice(_FOLDER_CALLS), rng.choice((0.3, 1.0))
            duration_s = rng.uniform(0.5, 6.0)
            return Fault(
                kind, start_s, duration_s, forwarder, call.value, probability, call.name, _FOLDER_ERRNOS
            )
        case FaultKind.TORN_WRITE:
            return Fault(kind, start_s, 1.0, forwarder, probability=rng.uniform(0.05, 0.5))
        case FaultKind.REPEAT:
            return Fault(kind, start_s, rng.uniform(1.0, 3.0), forwarder)
        case FaultKind.STALL:
            return Fault(kind, start_s, rng.uniform(0.5, 3.0), forwarder, 0.15, rng.uniform(0.02, 0.2))
    return Fault(kind, start_s, 0.0, forwarder)


def _draw_endpoint_fault(kind: FaultKind, start_s: float, endpoint: str, rng: random.Random) -> Fault:
    if kind is FaultKind.ENDPOINT_MODE:
        mode = rng.choice([mode for mode in EndpointMode if mode is not EndpointMode.SERVE])
        probability, duration_s = rng.choice((0.3, 1.0)), rng.uniform(0.5, 6.0)
        return Fault(kind, start_s, duration_s, endpoint, rng.uniform(0.2, 1.5), probability, mode)
    return Fault(kind, start_s, rng.uniform(1.0, 6.0), endpoint)


def draw_copy_fault(start_s: float, forwarder: str, rng: random.Random) -> Fault:
    """Return a fault that copies what one of a forwarder's links carries."""
    forms = (CopyForm.WHOLE, CopyForm.WHOLE, CopyForm.WHOLE, CopyForm.TWICE, CopyForm.PARTS, CopyForm.CUT)
    detail = f"{rng.choice(COPIED_LINKS)} {rng.choice(forms)} {rng.choice(tuple(CopyTiming))}"
    duration_s, probability = rng.uniform(1.0, 6.0), rng.choice((0.2, 0.5, 1.0))
    return Fault(
        FaultKind.COPY, start_s, duration_s, forwarder, rng.choice(COPY_DELAYS_S), probability, detail
    )


def _draw_link_fault(kind: FaultKind, start_s: float, forwarder: str, rng: random.Random) -> Fault:
    impairment = rng.choice(("delay", "silent", "trickle", "reset", "half_close"))
    duration_s = rng.uniform(0.3, 4.0)
    amount = {"delay": rng.uniform(0.02, 0.6), "trickle": 7.0}.get(impairment, 0.0)
    return Fault(kind, start_s, duration_s, forwarder, amount, rng.choice((0.2, 0.6)), impairment)

"""The types that go in and out of :class:`honeybarrow.decide.Sender`.

Times are integers in microseconds on the caller's monotone clock; durations end in ``_us``.
Nothing here decides anything.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from honeybarrow.errors import NoSense

# --- settings -------------------------------------------------------------------------------


class Effect(enum.Enum):
    """What a repeat of a message may do at its destination."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Fade(enum.Enum):
    """How the worth of a message falls once its aim has passed."""

    LINE = "line"
    HALVES = "halves"


class Weights(enum.Enum):
    """What the weight of a listed endpoint means."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"


@dataclass(slots=True, frozen=True)
class MessageClass:
    """One class of message."""

    name: str
    aim_us: int
    deadline_us: int
    effect: Effect = Effect.SAFE
    group: str = "all"
    window_us: int = 0
    worth: float = 1.0
    late_share: float = 0.0
    keep_order: bool = False


@dataclass(slots=True, frozen=True)
class Kind:
    """One kind of destination."""

    name: str
    bundle_max: int = 1
    separate_routes: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant and what it may hand in, over all senders together."""

    name: str
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything that a sender is told when it starts."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[Kind, ...]
    slots: int
    max_open: int
    tenants: tuple[Tenant, ...] = ()
    senders: int = 1
    fade: Fade = Fade.LINE
    weights: Weights = Weights.NONE
    load_fields: tuple[str, ...] = ()
    over_share_worth: float = 1.0
    attempt_cap: int = 1_000_000
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 1_000_000
    idle_us: int = 10_000_000
    on_request: bool = False
    ask_within_us: int = 0
    drain_grace_us: int = 0
    answer_grace_us: int = 0
    fall_multiple: float = 2.0
    fall_us: int = 2_000_000
    start_capacity: float = 0.2
    cold_us: int = 10_000_000
    settle_us: int = 0


def check(settings: Settings) -> None:
    """Raise :class:`NoSense` for settings that make none."""
    for name in ("slots", "max_open", "senders", "attempt_cap"):
        if getattr(settings, name) < 1:
            raise NoSense(f"{name} must be at least 1")
    for item in settings.classes:
        if min(item.aim_us, item.window_us, item.worth, item.late_share) < 0:
            raise NoSense(f"classes: {item.name}: aim_us, window_us, worth, late_share can't be negative")
        if item.deadline_us < item.aim_us:
            raise NoSense(f"classes: {item.name}: deadline_us (hard cap) is under aim_us (soft cap)")


# --- events ---------------------------------------------------------------------------------


class Status(enum.Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"  # answered, and for good: no other try of this message can be taken


class EndpointState(enum.Enum):
    """What the list says of an endpoint; nothing of its health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(enum.Enum):
    """How an item of membership news relates to what was known."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One line of the list of endpoints."""

    target: str
    destination: int
    state: EndpointState
    kind: str = ""
    zone: str = ""
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class MessageArrived:
    """A message was taken and is owed one final answer.

    One that was taken by an earlier life of the process brings its past: the attempts it has had, and how
    long ago (microseconds) the first that may have run was sent, if one was.
    """

    message: str
    class_name: str
    destination: int
    left_us: int
    tenant: str = ""
    key: int | None = None
    repeat: bool = False
    attempts: int = 0
    doubt_us: int | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has its outcome; ``over`` tells that the message is answered.

    ``not_run`` tells that the caller can prove that the attempt had no effect, whatever its status:
    an error answered, or a connection lost, before the end of the message was written. The statuses
    full, connect failed, not sent and rejected prove it by themselves.
    """

    message: str
    attempt: int
    target: str
    status: Status
    elapsed_us: int = 0
    over: bool = False
    wait_us: int = 0
    slots_full: bool = False
    load: tuple[float, ...] = ()
    not_run: bool = False


@dataclass(slots=True, frozen=True)
class AttemptStreaming:
    """The answer to an attempt has started and now belongs to the client."""

    message: str
    attempt: int
    target: str
    elapsed_us: int = 0


@dataclass(slots=True, frozen=True)
class MessageExpired:
    """Nobody wants this message any more; no answer is owed."""

    message: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that the sender had set is due."""

    mark: str


@dataclass(slots=True, frozen=True)
class MembershipNews:
    """News of the list of endpoints."""

    kind: ListKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """The result of a probe. This sender starts none."""

    target: str
    status: Status
    elapsed_us: int = 0
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerSaid:
    """Bytes from another sender. This sender uses no such channel."""

    peer: int
    content: bytes = b""


Event = (
    MessageArrived
    | AttemptEnded
    | AttemptStreaming
    | MessageExpired
    | TimerFired
    | MembershipNews
    | ProbeEnded
    | PeerSaid
)

# --- actions --------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt. Sends of one reply to one target travel as one call, if bundled.

    ``start_us``: how long from now its last byte may still be written, where that comes later than the
    decision, as on a connection that has to come up first. Past it the attempt ends as one that has not run.
    """

    message: str
    target: str
    timeout_us: int
    start_us: int = 1 << 62


@dataclass(slots=True, frozen=True)
class HandBack:
    """Final answer: not done, and harmless to hand in again.

    ``within_us``: harmless for so long only, for a keyed message that may have run; ``None``: no bound.
    """

    message: str
    pause_us: int = 0
    within_us: int | None = None


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Final answer: failed, with no promise about its effect."""

    message: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a :class:`TimerFired` after so long."""

    mark: str
    delay_us: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for membership changes from now on."""

    enable: bool = True


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close this sender's idle connections to an endpoint; calls that are out run on."""

    target: str


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the people on call."""

    text: str = field(default="")


Action = Send | HandBack | GiveUp | SetTimer | Subscribe | CloseIdle | Log

"""Routing: the class, destination and properties of a message, read from its envelope and header by rules.

There are no defaults: a message that the rules can't route raises :class:`UnroutableError`, which carries the
reply for the client.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from honeybarrow import mail
from honeybarrow.errors import HoneybarrowError
from honeybarrow.key_hash import hash_order_key
from honeybarrow.mail import Path, Reply

UNKNOWN_PARTNER = Reply(550, "5.1.2", "no such partner")
PARTNER_LIST_UNAVAILABLE = Reply(
    451, "4.3.2", "the list of partners is not here yet, come back", wait_ms=1000
)
UNKNOWN_CLASS = Reply(550, "5.1.1", "no such class of message")
ORDER_KEY_MISSING = Reply(554, "5.6.0", "the order key is missing")
TENANT_MISSING = Reply(554, "5.6.0", "the tenant is missing")
INVALID_TIME_LEFT = Reply(554, "5.6.0", "the time left is no number of milliseconds")


class UnroutableError(HoneybarrowError, ValueError):
    """A message that matches no route; ``reply`` gives the client the reason."""

    code = "HB303"
    remedy = (
        "the client receives the reply; compare the recipient with the routing rules and the partner list"
    )

    def __init__(self, reply: Reply) -> None:
        super().__init__(reply.text)
        self.reply = reply


@dataclass(frozen=True, slots=True)
class RoutingRules:
    """The source of each property. The forms of a source are listed in ``honeybarrow.config.schema``."""

    message_class_source: str
    destination_source: str
    tenant_source: str = ""
    order_key_source: str = ""
    time_left_ms_source: str = ""
    is_order_key_required: bool = False
    is_tenant_required: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """The message class of a recipient, and the number of its destination."""

    path: Path
    class_name: str
    destination: int


@dataclass(frozen=True, slots=True)
class MessageProperties:
    """The properties of a message. ``order_key`` is the hash of the key, or ``None`` if there is none."""

    tenant: str
    order_key: int | None
    time_left_us: int | None


@dataclass(frozen=True, slots=True)
class RoutedMessage:
    """A message as routed for one recipient."""

    route: Route
    properties: MessageProperties


class MessageRouter:
    """Applies the routing rules.

    ``deadlines_us`` maps each message class to its deadline. ``find_partner`` returns the number of a partner
    by name, and ``has_partner_list`` whether a list of partners has been received.
    """

    def __init__(
        self,
        rules: RoutingRules,
        deadlines_us: Mapping[str, int],
        ordered_classes: frozenset[str],
        find_partner: Callable[[str], int | None],
        has_partner_list: Callable[[], bool],
    ) -> None:
        self.rules, self.deadlines_us, self.ordered_classes = rules, deadlines_us, ordered_classes
        self.find_partner = find_partner
        self.has_partner_list = has_partner_list

    def route(self, recipient: Path) -> Route:
        """Return the class and destination of a recipient. Raises :class:`UnroutableError`."""
        destination = self.find_partner(
            (read_source(self.rules.destination_source, recipient, recipient, b"") or "").lower()
        )
        if destination is None:
            # A permanent reply before the first list would make clients discard deliverable messages.
            raise UnroutableError(UNKNOWN_PARTNER if self.has_partner_list() else PARTNER_LIST_UNAVAILABLE)
        class_name = (read_source(self.rules.message_class_source, recipient, recipient, b"") or "").lower()
        if class_name not in self.deadlines_us:
            raise UnroutableError(UNKNOWN_CLASS)
        return Route(recipient, class_name, destination)

    def read_properties(self, route: Route, sender: Path, content: bytes) -> MessageProperties:
        """Return tenant, order key and time left of a message. Raises :class:`UnroutableError`."""
        rules = self.rules
        tenant = read_source(rules.tenant_source, sender, route.path, content) or ""
        if rules.is_tenant_required and not tenant:
            raise UnroutableError(TENANT_MISSING)
        order_key = read_source(rules.order_key_source, sender, route.path, content)
        if route.class_name in self.ordered_classes and rules.is_order_key_required and not order_key:
            raise UnroutableError(ORDER_KEY_MISSING)
        time_left_us: int | None = None
        if milliseconds := read_source(rules.time_left_ms_source, sender, route.path, content):
            if not milliseconds.isdigit() or len(milliseconds) > 9:
                raise UnroutableError(INVALID_TIME_LEFT)
            time_left_us = int(milliseconds) * 1000
        return MessageProperties(tenant, hash_order_key(order_key) if order_key else None, time_left_us)


def read_source(source: str, sender: Path, recipient: Path, content: bytes) -> str | None:
    """Return the value of a source, or ``None`` if the source is empty or the message lacks the field."""
    kind, _, part = source.partition(".")
    if kind in ("recipient", "sender") and part:
        path = recipient if kind == "recipient" else sender
        base, _, detail = path.local.partition("+")
        return {"local": path.local, "domain": path.domain, "base": base, "detail": detail}[part]
    if source.startswith("header:"):
        return mail.read_header(content, source.removeprefix("header:"))
    return None

"""Parsing and validation of HTTP submissions from clients. Does no I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from honeybarrow.http import Request
from honeybarrow.settings import Idempotency, MessageClass

# Excludes the comma, because repeated header fields are joined with commas.
_MESSAGE_ID = re.compile(rb"[\x21-\x2b\x2d-\x7e]{1,128}")
MAX_ORDER_KEY_LENGTH = 128
MAX_ACCOUNT_LENGTH = 128
_TIME_LEFT = re.compile(rb"([0-9]{1,12})([mu])")
_CONSIGNEE = re.compile(rb"(?:[a-z_]{1,16}=[^,;]{0,64}[,;] ?)*dest=([0-9]{1,9})(?:[,;].{0,256})?")


@dataclass(frozen=True, slots=True)
class SubmittedMessage:
    """A submitted message; ``time_left_us`` is relative to the time at which the request was parsed."""

    message: str
    class_name: str
    destination: int
    tenant: str
    time_left_us: int
    idempotency_key: str
    is_repeat: bool
    body: bytes
    order_key: str = ""


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """Response status for an invalid request, with a human-readable reason."""

    status: int
    reason: str


def parse_submission(
    request: Request, classes: Mapping[str, MessageClass], tenants: Mapping[str, object]
) -> SubmittedMessage | RejectedRequest:
    """Parse the ``POST`` request of a message and check it against the settings."""
    fields = request.fields
    message = fields.get(b"x-correlation-id", b"")
    if not _MESSAGE_ID.fullmatch(message):
        return RejectedRequest(400, "no id")
    message_class = _parse_class(request, classes)
    if isinstance(message_class, RejectedRequest):
        return message_class
    tenant = fields.get(b"x-account", b"").decode("latin-1")
    if len(tenant) > MAX_ACCOUNT_LENGTH and tenant not in tenants:
        return RejectedRequest(400, "account too long")
    if tenants and tenant not in tenants:
        return RejectedRequest(400, "unknown account")
    time_left_us = _parse_time_left_us(fields)
    if isinstance(time_left_us, RejectedRequest):
        return time_left_us
    consignee = _CONSIGNEE.fullmatch(fields.get(b"x-consignee", b""))
    if consignee is None:
        return RejectedRequest(400, "no destination")
    idempotency_key = _parse_idempotency_key(fields, message_class)
    if isinstance(idempotency_key, RejectedRequest):
        return idempotency_key
    order_key = _parse_order_key(request.path, message_class)
    if len(order_key) > MAX_ORDER_KEY_LENGTH:
        return RejectedRequest(400, "order key too long")
    return SubmittedMessage(
        message.decode(),
        message_class.name,
        int(consignee[1]),
        tenant,
        min(time_left_us, message_class.deadline_us),
        idempotency_key,
        bool(fields.get(b"x-repeat")),
        request.body,
        order_key,
    )


def _path_parts(path: str) -> list[str]:
    """Return the segments of a path, without the query."""
    return path.split("?")[0].split("/")[1:]


def _parse_class(request: Request, classes: Mapping[str, MessageClass]) -> MessageClass | RejectedRequest:
    class_name = _path_parts(request.path)[0]
    message_class = classes.get(class_name)
    if message_class is None:
        return RejectedRequest(400, "unknown class")
    if request.fields.get(b"x-service-class", b"").decode("latin-1") != class_name:
        return RejectedRequest(400, "class unlike the path")
    return message_class


def _parse_time_left_us(fields: Mapping[bytes, bytes]) -> int | RejectedRequest:
    time_left = _TIME_LEFT.fullmatch(fields.get(b"x-time-left", b""))
    if time_left is None:
        return RejectedRequest(400, "time left is no number with a unit")
    time_left_us = int(time_left[1]) * (1000 if time_left[2] == b"m" else 1)
    return time_left_us if time_left_us > 0 else RejectedRequest(400, "no time left")


def _parse_idempotency_key(
    fields: Mapping[bytes, bytes], message_class: MessageClass
) -> str | RejectedRequest:
    idempotency_key = fields.get(b"idempotency-key", b"")
    if idempotency_key and not _MESSAGE_ID.fullmatch(idempotency_key):
        return RejectedRequest(400, "key can't be read")
    if not idempotency_key and message_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
        return RejectedRequest(400, "class needs a key")
    return idempotency_key.decode()


def _parse_order_key(path: str, message_class: MessageClass) -> str:
    """Return the second segment of the path, the order key of an ordered class."""
    _, *rest = _path_parts(path)
    return rest[0] if rest and message_class.is_ordered else ""

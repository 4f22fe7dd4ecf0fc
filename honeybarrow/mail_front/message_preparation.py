"""Preparation of a received message for submission: its properties and time left for each recipient."""

from __future__ import annotations

from collections.abc import Sequence

from honeybarrow.admission.retry_after import compute_batch_times_left_us, compute_time_left_us
from honeybarrow.mail import Message, Reply
from honeybarrow.mail_front.routing import MessageRouter, Route, RoutedMessage, UnroutableError


def route_message(router: MessageRouter, route: Route, message: Message) -> RoutedMessage | Reply:
    """Return the message as routed for one recipient, or the reply if the routing rules reject it."""
    try:
        return RoutedMessage(route, router.read_properties(route, message.sender, message.content))
    except UnroutableError as error:
        return error.reply


def compute_times_left_us(
    router: MessageRouter, message: Message, routed: Sequence[RoutedMessage | Reply], elapsed_us: int
) -> list[int]:
    """Return the time left for each routed recipient, in microseconds; rejected ones are left out.

    ``elapsed_us``: time since the start of the transaction, from which BY counts (RFC 2852).
    """
    by = message.parameters.deliver_by_s
    by_us = by * 1_000_000 if by is not None and message.parameters.is_by_return else None
    deadlines_us = router.deadlines_us
    return compute_batch_times_left_us(
        [
            compute_time_left_us(
                deadlines_us[entry.route.class_name], by_us, entry.properties.time_left_us, elapsed_us
            )
            for entry in routed
            if not isinstance(entry, Reply)
        ]
    )

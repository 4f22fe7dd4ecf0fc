"""What is read from a whole message before it is submitted: properties and time left, by recipient."""

from __future__ import annotations

from collections.abc import Sequence

from honeybarrow.admission.retry_after import compute_batch_times_left_us, compute_time_left_us
from honeybarrow.mail import Message, Reply
from honeybarrow.mail_front.routing import MessageRouter, Route, RoutedMessage, UnroutableError


def route_message(router: MessageRouter, route: Route, message: Message) -> RoutedMessage | Reply:
    """The message for one recipient, or the reply where the rules can't place it."""
    try:
        return RoutedMessage(route, router.read_properties(route, message.sender, message.content))
    except UnroutableError as error:
        return error.reply


def compute_times_left_us(
    router: MessageRouter, message: Message, routed: Sequence[RoutedMessage | Reply], elapsed_us: int
) -> list[int]:
    """The time left for each recipient with a route, in microseconds.

    ``elapsed_us``: since the start of the transaction, from which BY counts (RFC 2852).
    """
    by = message.parameters.by_s
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

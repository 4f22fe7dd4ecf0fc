"""Submission of clients' requests to the forwarder.

The service parses each request, submits its message, and reports the result in the response or, for an
accepted message, by a notification.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import TypeVar

from twisted.internet.defer import Deferred

from honeybarrow import http
from honeybarrow.admission.retry_after import compute_retry_after_us
from honeybarrow.delivery import (
    Delivered,
    DeliveryResult,
    Failed,
    Forwarder,
    NotRecorded,
    Refused,
    Submission,
    ignore_cancelled,
)
from honeybarrow.key_hash import hash_order_key
from honeybarrow.node.http_call import HttpPayload
from honeybarrow.node.memory_budget import MessageMemory
from honeybarrow.node.notifications import NotificationSender
from honeybarrow.node.rate_limited_log import RateLimitedLog
from honeybarrow.node.request_parser import RejectedRequest, SubmittedMessage, parse_submission
from honeybarrow.node.write_ahead_log import WriteAheadLog
from honeybarrow.recovery import FinalResult, ResumedMessage
from honeybarrow.settings import Idempotency

MAX_PIPELINED_SHARE = 0.75  # of each capacity for messages, above which pipelined requests are rejected
Result = TypeVar("Result")
SendResponse = Callable[[bytes, bool], None]  # response bytes, whether to close the connection afterwards


def _ignore_response(data: bytes, close: bool) -> None: ...


class _PendingRequest:
    """A client's request until its response, and its accepted message until the final result."""

    def __init__(self, service: SubmissionService, message: str, send_response: SendResponse) -> None:
        self.service, self.message = service, message
        self._send_response = send_response
        self.is_accepted = False

    def _respond(self, data: bytes) -> None:
        """Send the response; the message, which lives on, then no longer refers to the connection."""
        send_response, self._send_response = self._send_response, _ignore_response
        send_response(data, False)

    def accept(self) -> None:
        """Respond with 202 after the message has been written to the write-ahead log."""
        self.is_accepted = True
        self._respond(http.encode_response(202))

    def on_result(self, result: DeliveryResult) -> None:
        """Report the final result: after 202 by a notification, otherwise in the response."""
        if self.is_accepted:
            self.service.on_result(self.message, result)
        elif isinstance(result, Refused):
            status = 503 if isinstance(result, NotRecorded) else 429
            retry_after = _retry_after_field(result.retry_after_us)
            self._respond(http.encode_response(status, retry_after, result.reason.encode()))
        else:
            self._respond(http.encode_response(500))

    def cancel(self, result: Deferred[DeliveryResult]) -> None:
        """Withdraw the message of a disconnected client, unless it was accepted.

        Without a 202 the client submits the message again under another id.
        """
        if not self.is_accepted:
            result.cancel()


class SubmissionService:
    """Service that responds to clients' requests and reports final results.

    :param is_destination_listed: return whether a destination has appeared in the endpoint list
    :param rng: source of the jitter of ``Retry-After``
    :param memory: admission by the memory of open messages
    """

    def __init__(
        self,
        forwarder: Forwarder,
        write_ahead_log: WriteAheadLog,
        notifications: NotificationSender,
        is_destination_listed: Callable[[int], bool],
        rng: random.Random,
        memory: MessageMemory,
    ) -> None:
        self.memory = memory
        self.forwarder, self.write_ahead_log, self.notifications = forwarder, write_ahead_log, notifications
        self.guard = forwarder.guard
        forwarder.on_refuted_delivery = self._fail_refuted_delivery
        self.is_destination_listed, self.rng = is_destination_listed, rng
        self.tenants = {tenant.name: None for tenant in forwarder.settings.tenants}
        self.is_ready = False
        self.is_draining = False
        self.is_closed = False  # no message is accepted because the process is about to exit
        self.rejection_log = RateLimitedLog(lambda: forwarder.now_us() / 1e6)  # monotonic clock
        self.rejection_counts: dict[str, int] = {}  # by status and reason

    def handle_request(
        self, request: http.Request, send_response: SendResponse, is_pipelined: bool = False
    ) -> Callable[[], None] | None:
        """Respond to a request, immediately or once its message is recorded.

        Return a function that cancels the request, or ``None`` if it has been answered.
        """
        path = request.path.split("?")[0]
        if path == "/up":
            self._send_readiness(request, send_response)
            return None
        if request.method != "POST":
            status = 404 if request.method == "GET" else 405
            send_response(http.encode_response(status, close=True), True)
            return None
        parsed = parse_submission(request, self.forwarder.sender.classes, self.tenants)
        if isinstance(parsed, RejectedRequest):
            self._reject_invalid(parsed, send_response)
            return None
        return self._submit(parsed, send_response, is_pipelined)

    def _send_readiness(self, request: http.Request, send_response: SendResponse) -> None:
        if request.method not in ("GET", "HEAD"):
            send_response(http.encode_response(405, close=True), True)
        else:
            status = 200 if self.is_ready and not self.is_draining else 503
            send_response(http.encode_response(status), False)

    def _reject_invalid(self, rejected: RejectedRequest, send_response: SendResponse) -> None:
        self._count_rejection(f"{rejected.status} {rejected.reason}")
        remedy = (
            "compare the client's request with the protocol and with the classes and tenants of the settings"
        )
        # Values from the request are not logged because they may belong to another customer.
        self.rejection_log.warn(f"request_rejected reason={rejected.reason!r}", str(rejected.status), remedy)
        send_response(http.encode_response(rejected.status, body=rejected.reason.encode(), close=True), True)

    def _reject_retriable(self, send_response: SendResponse, reason: str) -> None:
        self._count_rejection(f"503 {reason}")
        delay_us = compute_retry_after_us(0, self.forwarder.settings.max_retry_after_us, self.rng)
        send_response(http.encode_response(503, _retry_after_field(delay_us), reason.encode()), False)

    def _submit(
        self, submitted: SubmittedMessage, send_response: SendResponse, is_pipelined: bool
    ) -> Callable[[], None] | None:
        message = submitted.message
        if message in self.write_ahead_log.remembered_ids or self.forwarder.is_known(message):
            self._count_rejection("409 known")
            send_response(http.encode_response(409, body=b"this id is known"), False)
            return None
        if reason := self._reserve_capacity(submitted, is_pipelined):
            self._reject_retriable(send_response, reason)
            return None
        request = _PendingRequest(self, message, send_response)
        expires_at_us = self.write_ahead_log.now_us() + submitted.time_left_us
        idempotency, order_key = self._idempotency_of(submitted.class_name), submitted.order_key
        result = self.forwarder.submit(
            Submission(
                message,
                submitted.class_name,
                submitted.destination,
                submitted.time_left_us,
                HttpPayload(
                    message, submitted.idempotency_key, submitted.body, expires_at_us, idempotency, order_key
                ),
                submitted.tenant,
                _hash_if_ordered(order_key),
                submitted.is_repeat,
                request.accept,
            )
        )
        result.addBoth(self._release_reservation, message)
        result.addCallbacks(request.on_result, ignore_cancelled)
        return lambda: request.cancel(result)

    def _reserve_capacity(self, submitted: SubmittedMessage, is_pipelined: bool) -> str:
        """Reserve log capacity for a message.

        Return the reason if the message can't be accepted now, otherwise an empty string.
        """
        if self.is_closed:
            return "leaving"
        if not self.is_ready:
            return "not ready"
        if not self.is_destination_listed(submitted.destination):
            return "destination not listed"  # retriable because the list update may be delayed
        if not self.write_ahead_log.is_available:
            return "can't be recorded"
        if is_pipelined and not self._has_room_for_pipelined():
            return "pipelined"
        if not self.write_ahead_log.remembered_ids.has_room(submitted.message):
            return "no room for its id"
        space = self.write_ahead_log.space
        if not self.memory.has_room(space.message_count, space.message_bytes + len(submitted.body)):
            return "no room in memory"
        texts = (submitted.class_name, submitted.tenant, submitted.idempotency_key, submitted.order_key)
        if not self.write_ahead_log.try_reserve(submitted.message, len(submitted.body), texts):
            return "no room on disk"
        return ""

    def _has_room_for_pipelined(self) -> bool:
        """Return whether a request may be accepted that was sent before the response to the one before it.

        A client that does not wait for responses could otherwise take all capacity from those that do.
        """
        space = self.write_ahead_log.space
        open_share = self.forwarder.open_count / self.forwarder.settings.max_open
        memory_share = (
            self.memory.used_bytes(space.message_count, space.message_bytes) / self.memory.max_bytes
        )
        return max(open_share, space.used_share, memory_share) < MAX_PIPELINED_SHARE

    def _release_reservation(self, result: Result, message: str) -> Result:
        """Release the log capacity of a message that has ended without having been recorded."""
        self.write_ahead_log.release_reservation(message)
        return result

    def _idempotency_of(self, class_name: str) -> Idempotency:
        return self.forwarder.sender.classes[class_name].idempotency

    def _count_rejection(self, reason: str) -> None:
        self.rejection_counts[reason] = self.rejection_counts.get(reason, 0) + 1

    def resume_message(self, resumed: ResumedMessage) -> None:
        """Submit a message that an earlier process accepted, with its attempt history."""
        accepted = resumed.accepted
        payload = HttpPayload(
            accepted.message,
            accepted.idempotency_key,
            accepted.body,
            accepted.expires_at_us,
            self._idempotency_of(accepted.class_name),
            accepted.order_key,
        )
        result = self.forwarder.submit(
            Submission(
                accepted.message,
                accepted.class_name,
                accepted.destination,
                resumed.time_left_us,
                payload,
                accepted.tenant,
                _hash_if_ordered(accepted.order_key),
                is_resumed=True,
                attempts=resumed.attempt_count,
                ambiguous_age_us=resumed.ambiguous_age_us,
            )
        )
        result.addCallback(lambda final_result: self.on_result(accepted.message, final_result))

    # final results

    def on_result(self, message: str, result: DeliveryResult) -> None:
        """Handle the final result of an accepted message; all results except a delivery are notified."""
        match result:
            case Delivered():
                pass
            case Refused(wait_us):
                self.notify_result(FinalResult(message, True, wait_us // 1000))
            case Failed(retry_within_us=within_us, retry_after_us=wait_us):
                # Within the idempotency key window the client may safely submit the message again.
                self.notify_result(FinalResult(message, within_us is not None, wait_us // 1000))

    def notify_result(self, result: FinalResult) -> None:
        """Record a final result and notify the platform; no other result may follow."""
        self.write_ahead_log.record_final_result(result)
        self.guard.on_notification_due(result.message)
        self.notifications.add(result)

    def notify_recovered_result(self, result: FinalResult) -> None:
        """Notify the platform of the final result of a message that an earlier process accepted."""
        accepted = self.write_ahead_log.pending_messages.by_id[result.message].accepted
        time_left_us = accepted.expires_at_us - self.write_ahead_log.now_us()
        expires_us = self.forwarder.now_us() + time_left_us
        self.guard.on_result_recovered(result.message, expires_us, _hash_if_ordered(accepted.order_key))
        self.notify_result(result)

    def _fail_refuted_delivery(self, message: str) -> None:
        """Notify the failure of a message that may not have been delivered.

        By the protocol a notification for a message that is already over has no effect.
        """
        result = FinalResult(message, is_returned=False)
        if message in self.write_ahead_log.pending_messages.by_id:
            self.notify_recovered_result(result)
        else:  # the log has it as delivered and can't be written now
            self.notifications.add(result)
        self.notifications.flush()

    def select_notifiable(self, messages: Iterable[str]) -> list[str]:
        """Return the messages whose final results may be notified now."""
        messages = list(messages)
        if self.write_ahead_log.commit():
            for message in messages:
                self.guard.on_result_recorded(message)
        now_us = self.forwarder.now_us()
        return [message for message in messages if self.guard.may_notify(message, now_us) is None]

    def on_notifications_acknowledged(self, messages: list[str]) -> None:
        """Complete the messages whose notifications the platform acknowledged."""
        for message in messages:
            self.guard.on_notification_acknowledged(message)
            self.write_ahead_log.record_completed(message)
        self.write_ahead_log.commit()

    def may_close(self, has_open_request: bool) -> bool:
        """Return whether this process may close a client's connection on its own initiative."""
        return self.guard.may_close_connection(has_open_request, is_client_gone=False) is None


def _retry_after_field(delay_us: int) -> str:
    return f"Retry-After: {delay_us / 1e6:.3f}\r\n" if delay_us > 0 else ""


def _hash_if_ordered(order_key: str) -> int | None:
    return hash_order_key(order_key) if order_key else None

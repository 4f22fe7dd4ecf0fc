"""Between the front and the core: requests become submissions, results become answers and notifications."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable

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
from honeybarrow.node.notifications import NotificationSender
from honeybarrow.node.rate_limited_log import RateLimitedLog
from honeybarrow.node.request_parser import RejectedRequest, SubmittedMessage, parse_submission
from honeybarrow.node.write_ahead_log import WriteAheadLog
from honeybarrow.recovery import FinalResult, ResumedMessage
from honeybarrow.settings import Idempotency

MAX_REMEMBERED_IDS = 4096  # of completed messages, so that none is accepted again as a new one
SendAnswer = Callable[[bytes, bool], None]  # the bytes, and whether the connection is closed after them


class _PendingRequest:
    """A client's request until it is answered, and then its message until that is completed."""

    def __init__(self, service: SubmissionService, message: str, send_answer: SendAnswer) -> None:
        self.service, self.message, self.send_answer = service, message, send_answer
        self.is_accepted = False

    def accept(self) -> None:
        """Answer 202: the message is in the write-ahead log."""
        self.is_accepted = True
        self.send_answer(http.encode_response(202), False)

    def on_result(self, answer: DeliveryResult) -> None:
        """Report a final result: by a notification after 202, else in the answer."""
        if self.is_accepted:
            self.service.on_result(self.message, answer)
        elif isinstance(answer, Refused):
            status = 503 if isinstance(answer, NotRecorded) else 429
            retry_after = _retry_after_field(answer.retry_after_us)
            self.send_answer(http.encode_response(status, retry_after, answer.reason.encode()), False)
        else:
            self.send_answer(http.encode_response(500), False)

    def cancel(self, result: Deferred[DeliveryResult]) -> None:
        """Withdraw the message of a client that has left, unless it was accepted.

        Before 202 the client submits again under another id; after it, leaving means nothing.
        """
        if not self.is_accepted:
            result.cancel()


class SubmissionService:
    """Answers clients' requests and reports final results.

    ``is_destination_listed``: whether a destination has been in the endpoint list; ``rng``: spreads
    Retry-After.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        write_ahead_log: WriteAheadLog,
        notifications: NotificationSender,
        is_destination_listed: Callable[[int], bool],
        rng: random.Random,
    ) -> None:
        self.forwarder, self.write_ahead_log, self.notifications = forwarder, write_ahead_log, notifications
        self.guard = forwarder.guard
        self.is_destination_listed, self.rng = is_destination_listed, rng
        self.tenants = {tenant.name: None for tenant in forwarder.settings.tenants}
        self.is_ready = False
        self.is_draining = False
        self.is_closed = False  # the process is about to end: nothing is accepted any more
        self.rejection_log = RateLimitedLog(lambda: forwarder.now_us() / 1e6)  # a wall clock may step back
        self.rejection_counts: dict[str, int] = {}  # by status and reason
        self._recent_ids: OrderedDict[str, None] = OrderedDict()

    def handle_request(self, request: http.Request, send_answer: SendAnswer) -> Callable[[], None] | None:
        """Answer a request, at once or when its message is recorded; the result cancels the request."""
        path = request.path.split("?")[0]
        if path == "/up":
            self._answer_readiness(request, send_answer)
            return None
        if request.method != "POST":
            status = 404 if request.method == "GET" else 405
            send_answer(http.encode_response(status, close=True), True)
            return None
        parsed = parse_submission(request, self.forwarder.sender.classes, self.tenants)
        if isinstance(parsed, RejectedRequest):
            self._reject_invalid(parsed, send_answer)
            return None
        return self._submit(parsed, send_answer)

    def _answer_readiness(self, request: http.Request, send_answer: SendAnswer) -> None:
        if request.method not in ("GET", "HEAD"):
            send_answer(http.encode_response(405, close=True), True)
        else:
            status = 200 if self.is_ready and not self.is_draining else 503
            send_answer(http.encode_response(status), False)

    def _reject_invalid(self, rejected: RejectedRequest, send_answer: SendAnswer) -> None:
        self._count_rejection(f"{rejected.status} {rejected.reason}")
        remedy = "compare the client's request with the settings' classes, tenants and the protocol"
        # What a client names stays out of the log: it may be another customer's.
        self.rejection_log.warn(f"request_rejected reason={rejected.reason!r}", str(rejected.status), remedy)
        send_answer(http.encode_response(rejected.status, body=rejected.reason.encode(), close=True), True)

    def _reject_retriable(self, send_answer: SendAnswer, reason: str) -> None:
        self._count_rejection(f"503 {reason}")
        delay_us = compute_retry_after_us(0, self.forwarder.settings.max_retry_after_us, self.rng)
        send_answer(http.encode_response(503, _retry_after_field(delay_us), reason.encode()), False)

    def _submit(self, submitted: SubmittedMessage, send_answer: SendAnswer) -> Callable[[], None] | None:
        message = submitted.message
        if message in self._recent_ids or self.forwarder.is_known(message):
            self._count_rejection("409 known")
            send_answer(http.encode_response(409, body=b"this id is known"), False)
            return None
        if reason := self._shed_reason(submitted):
            self._reject_retriable(send_answer, reason)
            return None
        self._remember_id(message)
        request = _PendingRequest(self, message, send_answer)
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
        result.addCallbacks(request.on_result, ignore_cancelled)
        return lambda: request.cancel(result)

    def _shed_reason(self, submitted: SubmittedMessage) -> str:
        """Return why it can't be accepted now; empty if it can, and log capacity is reserved then."""
        if self.is_closed:
            return "leaving"
        if not self.is_ready:
            return "not ready"
        if not self.is_destination_listed(submitted.destination):
            return "destination not listed"  # retriable, since the destination may be new and its update late
        if not self.write_ahead_log.is_available:
            return "can't be recorded"
        if not self.write_ahead_log.try_reserve(submitted.message, len(submitted.body)):
            return "no room on disk"
        return ""

    def _idempotency_of(self, class_name: str) -> Idempotency:
        return self.forwarder.sender.classes[class_name].idempotency

    def _count_rejection(self, reason: str) -> None:
        self.rejection_counts[reason] = self.rejection_counts.get(reason, 0) + 1

    def _remember_id(self, message: str) -> None:
        self._recent_ids[message] = None
        if len(self._recent_ids) > MAX_REMEMBERED_IDS:
            self._recent_ids.popitem(last=False)

    def resume_message(self, resumed: ResumedMessage) -> None:
        """Submit a message that an earlier process had accepted, with its history."""
        accepted = resumed.accepted
        self._remember_id(accepted.message)
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
        result.addCallback(lambda answer: self.on_result(accepted.message, answer))

    # final results

    def on_result(self, message: str, answer: DeliveryResult) -> None:
        """Handle the final result of an accepted message: all but a delivery are notified."""
        match answer:
            case Delivered():
                pass
            case Refused(wait_us):
                self.notify_result(FinalResult(message, True, wait_us // 1000))
            case Failed(retry_within_us=within_us, retry_after_us=wait_us):
                # To submit again is harmless inside the key window, which the client knows.
                self.notify_result(FinalResult(message, within_us is not None, wait_us // 1000))

    def notify_result(self, result: FinalResult) -> None:
        """Record a final result and notify the platform of it; no other result follows."""
        self.write_ahead_log.record_final_result(result)
        self.guard.on_notification_due(result.message)
        self.notifications.add(result)

    def notify_recovered_result(self, result: FinalResult) -> None:
        """Notify the platform of the result of a message that an earlier process had accepted."""
        accepted = self.write_ahead_log.pending_messages.by_id[result.message].accepted
        time_left_us = accepted.expires_at_us - self.write_ahead_log.now_us()
        expires_us = self.forwarder.now_us() + time_left_us
        self.guard.on_result_recovered(result.message, expires_us, _hash_if_ordered(accepted.order_key))
        self.notify_result(result)

    def select_notifiable(self, messages: Iterable[str]) -> list[str]:
        """Return those messages whose final result may be notified now."""
        messages = list(messages)
        if self.write_ahead_log.commit():
            for message in messages:
                self.guard.on_result_recorded(message)
        now_us = self.forwarder.now_us()
        return [each for each in messages if self.guard.may_notify(each, now_us) is None]

    def on_notifications_acknowledged(self, messages: list[str]) -> None:
        """Complete messages whose notifications the platform has acknowledged."""
        for message in messages:
            self.guard.on_acknowledged(message)
            self.write_ahead_log.record_completed(message)
        self.write_ahead_log.commit()

    def may_close(self, has_open_request: bool) -> bool:
        """Return whether a client's connection may be closed, for any reason of this process's own."""
        return self.guard.may_close_connection(has_open_request, is_client_gone=False) is None


def _retry_after_field(delay_us: int) -> str:
    return f"Retry-After: {delay_us / 1e6:.3f}\r\n" if delay_us > 0 else ""


def _hash_if_ordered(order_key: str) -> int | None:
    return hash_order_key(order_key) if order_key else None

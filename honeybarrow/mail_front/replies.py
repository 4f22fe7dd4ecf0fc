"""Replies of the mail fronts: fixed replies, replies for final results, and the replies to one message."""

from __future__ import annotations

from honeybarrow.admission.admission_control import CloseSession, Defer
from honeybarrow.delivery import Delivered, DeliveryResult, Failed, NoTimeLeft, Refused
from honeybarrow.mail import Reply

ADDRESS_NOT_ALLOWED = Reply(554, "5.7.1", "not from this address")
IDLE_TIMEOUT = Reply(421, "4.4.2", "time-out")
SINGLE_RECIPIENT_ONLY = Reply(452, "4.5.3", "one recipient for each transaction here; LMTP takes several")
TOO_MANY_HOPS = Reply(554, "5.4.6", "too many hops")
SENDER_OK = Reply(250, "2.1.0", "ok")
RECIPIENT_OK = Reply(250, "2.1.5", "ok")
NO_TIME_LEFT = Reply(451, "4.4.7", "no time left")
TLS_REQUIRED = Reply(530, "5.7.0", "STARTTLS first")
AUTH_REQUIRED = Reply(530, "5.7.0", "authentication required")
AUTHENTICATED = Reply(235, "2.7.0", "authenticated")
AUTH_FAILED = Reply(535, "5.7.8", "wrong name or password")


def reply_for_result(result: DeliveryResult) -> Reply:
    """Return the reply for a final result (``docs/mail.md``): 2xx delivered, 4xx refused, 5xx failed."""
    match result:
        case Delivered():
            return Reply(250, "2.0.0", "delivered")
        case NoTimeLeft():
            return NO_TIME_LEFT
        case Refused(wait_us, reason):
            return Reply(
                451, "4.3.2", f"refused, harmless to try again ({reason})", wait_ms=-(-wait_us // 1000)
            )
        case Failed(reason, None, within_us):
            duplicate_window_ms = max(0, within_us or 0) // 1000
            return Reply(
                554,
                "5.4.0",
                f"failed, may have taken effect ({reason})",
                duplicate_window_ms=duplicate_window_ms,
            )
        case Failed(_, reply, _):
            assert reply is not None
            return Reply(550, reply.enhanced, f"the partner refuses: {reply.code} {reply.text}")


def reply_for_rejection(decision: Defer | CloseSession) -> Reply:
    """Return the reply to a client that is not admitted, with a retry delay."""
    wait_ms = -(-decision.retry_after_us // 1000)
    if isinstance(decision, CloseSession):
        return Reply(421, "4.3.2", f"{decision.reason}, come back", wait_ms=wait_ms)
    return Reply(452, "4.3.1", f"{decision.reason}, come back", wait_ms=wait_ms)


class ReplyBatch:
    """The replies for the recipients of one message, sent in the order of the recipients."""

    def __init__(self, count: int) -> None:
        self.replies: list[Reply | None] = [None] * count
        self.sent_count = 0
        self.is_submitted = False  # whether all recipients are submitted; no reply is ready before

    def take_ready(self) -> list[Reply]:
        """Return the replies that are ready to be sent, up to the first unknown one; each only once."""
        ready: list[Reply] = []
        while self.is_submitted and self.sent_count < len(self.replies):
            reply = self.replies[self.sent_count]
            if reply is None:
                break
            ready.append(reply)
            self.sent_count += 1
        return ready

    @property
    def is_finished(self) -> bool:
        """Whether every reply has been sent."""
        return self.sent_count == len(self.replies)

"""Replies of the mail fronts: fixed ones, one for each final result, and those of one message in order."""

from __future__ import annotations

from honeybarrow.admission.admission_control import CloseSession, Defer
from honeybarrow.delivery import Delivered, DeliveryResult, Failed, Refused
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
    """The final result as a reply (``docs/mail.md``): 2xx delivered, 4xx refused, 5xx failed."""
    match result:
        case Delivered():
            return Reply(250, "2.0.0", "delivered")
        case Refused(wait_us, why):
            return Reply(451, "4.3.2", f"refused, harmless to try again ({why})", wait_ms=-(-wait_us // 1000))
        case Failed(why, None, within_us):
            within = max(0, within_us or 0) // 1000
            return Reply(554, "5.4.0", f"failed, may have taken effect ({why})", within_ms=within)
        case Failed(_, reply, _):
            assert reply is not None
            return Reply(550, reply.enhanced, f"the partner refuses: {reply.code} {reply.text}")


def reply_for_rejection(decision: Defer | CloseSession) -> Reply:
    """The reply to a client that is not admitted now, with the time to stay away."""
    wait = -(-decision.retry_after_us // 1000)
    if isinstance(decision, CloseSession):
        return Reply(421, "4.3.2", f"{decision.reason}, come back", wait_ms=wait)
    return Reply(452, "4.3.1", f"{decision.reason}, come back", wait_ms=wait)


class ReplyBatch:
    """The replies for the recipients of one message, which go out in order as they become known."""

    def __init__(self, count: int) -> None:
        self.replies: list[Reply | None] = [None] * count
        self.sent_count = 0
        self.is_submitted = False  # every recipient has been submitted; replies may go out

    def take_ready(self) -> list[Reply]:
        """The replies that may go out now: up to the first that is not known; each is given once."""
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
        """Whether every reply has gone out."""
        return self.sent_count == len(self.replies)

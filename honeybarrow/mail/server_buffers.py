"""Input and output buffers of a server session, and its count of client errors."""

from __future__ import annotations

from honeybarrow.mail.grammar import Reply
from honeybarrow.mail.server_events import TOO_MANY_ERRORS, InputRejected, SessionLimits, State


class SessionBuffers:
    """The base of a server session: its buffers of unparsed input and unwritten output, and its limits."""

    def __init__(self, name: str, lmtp: bool, limits: SessionLimits) -> None:
        self.name, self.lmtp, self.limits = name, lmtp, limits
        self.state = State.BEFORE_HELLO
        self.extended = False
        self._in = bytearray()
        self._out = bytearray()
        self._error_count = 0
        self._closing_reply: Reply | None = None  # written once the replies to a message are

    def greet(self) -> None:
        """Write the greeting (220)."""
        kind = "LMTP" if self.lmtp else "ESMTP"
        self._out += Reply(220, "", f"{self.name} {kind} ready").encode()

    @property
    def awaits_result(self) -> bool:
        """Whether a complete message has not all its final replies."""
        return False

    def refuse(self, reply: Reply) -> None:
        """Write a final reply, instead of the greeting or between commands, and close the session.

        While a message awaits its result, the session closes after it: the client would take a 4xx reply for
        the statement that the message has not run.
        """
        if self.awaits_result:
            self._closing_reply = reply
            return
        self._out += reply.encode(advice=True)
        self.state = State.CLOSED

    def receive(self, data: bytes) -> None:
        """Buffer bytes from the peer; close the session if more than ``max_buffered_bytes`` are unparsed."""
        if self.state is State.CLOSED or self._closing_reply is not None:
            return
        self._in += data
        if len(self._in) > self.limits.max_buffered_bytes:
            self._in.clear()
            self.refuse(TOO_MANY_ERRORS)

    @property
    def is_waiting(self) -> bool:
        """Whether an event waits for its reply. Reading may pause until then."""
        return self.state is State.AWAITING_REPLY

    @property
    def backlog_bytes(self) -> int:
        """The number of bytes received but not yet parsed."""
        return len(self._in)

    def take_output(self) -> bytes:
        """Return and clear the bytes to write to the client."""
        out, self._out = bytes(self._out), bytearray()
        return out

    def _write_reply(self, reply: Reply) -> None:
        self._out += reply.encode(advice=self.extended)

    def _reject_input(self, reply: Reply) -> InputRejected:
        self._error_count += 1
        if self._error_count > self.limits.max_errors:
            reply = TOO_MANY_ERRORS
            self.state = State.CLOSED
        self._write_reply(reply)
        return InputRejected(reply)

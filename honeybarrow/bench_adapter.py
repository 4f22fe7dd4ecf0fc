"""Adapter between the simulator's line protocol and :class:`honeybarrow.policy.sender.Sender`.

It reads batches of events from standard input and writes one reply of actions to each. A malformed line ends
the process with a one-line message on standard error and exit status 2.
"""

from __future__ import annotations

import itertools
import sys
from collections.abc import Callable, Iterator
from typing import TextIO, TypeVar

from honeybarrow.actions import (
    Action,
    CloseIdleConnections,
    FailPermanently,
    LogEvent,
    ReturnToClient,
    SendAttempt,
    SetTimer,
    Subscribe,
)
from honeybarrow.errors import USAGE_EXIT_STATUS, HoneybarrowError
from honeybarrow.events import (
    AttemptFinished,
    AttemptStatus,
    AttemptStreaming,
    Endpoint,
    EndpointState,
    Event,
    HealthCheckFinished,
    MembershipUpdate,
    MessageArrived,
    MessageExpired,
    PeerMessageReceived,
    TimerFired,
    UpdateKind,
)
from honeybarrow.policy.sender import Sender
from honeybarrow.wire_settings import read_settings

ENDPOINT_STATES = {
    "Running": EndpointState.READY,
    "Stopping": EndpointState.DRAINING,
    "Deleted": EndpointState.GONE,
}
UPDATE_KINDS = {
    "INCREMENTAL": UpdateKind.CHANGES,
    "FULL": UpdateKind.FULL,
    "SAVED": UpdateKind.SAVED,
    "FAILED": UpdateKind.FAILED,
}
ATTEMPT_STATUSES = {
    "success": AttemptStatus.OK,
    "failure": AttemptStatus.ERROR,
    "overloaded": AttemptStatus.FULL,
    "timed_out": AttemptStatus.TIMEOUT,
    "unreachable": AttemptStatus.CONNECT_FAILED,
    "broken": AttemptStatus.RESET,
    "withdrawn": AttemptStatus.CANCELLED,
    "void": AttemptStatus.NOT_SENT,
}
END_OF_BATCH = "your_turn"
TRAILING_FIELDS = {"options", "text"}  # fields whose value extends to the end of the line

Value = TypeVar("Value")


class WireError(HoneybarrowError):
    """The input violates the simulator's line protocol."""

    code = "HB902"
    remedy = "check that the simulator's protocol matches this build; the message quotes the last line read"


class WireLine:
    """A line of the protocol: a name, and fields with typed access.

    Each method raises :class:`WireError` for a field that is missing or malformed.
    """

    def __init__(self, text: str, number: int = 0) -> None:
        self.line_number = number
        self.name, _, rest = text.partition(" ")
        self.fields: dict[str, str] = {}
        while rest:
            key, equals, tail = rest.partition("=")
            if not equals or not key or " " in key:
                raise WireError(f"'{self.name}': expected name=value at '{rest[:40]}'")
            if key in TRAILING_FIELDS:
                value, rest = tail, ""
            else:
                value, _, rest = tail.partition(" ")
            if key in self.fields:
                raise WireError(f"'{self.name}': field '{key}' is given twice")
            self.fields[key] = value

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        value = self.fields.get(key, default)
        if value is None:
            raise WireError(f"'{self.name}': field '{key}' is missing")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        """Return an integer."""
        if key not in self.fields and default is not None:
            return default
        try:
            return int(self.text(key))
        except ValueError:
            raise WireError(f"'{self.name}': field '{key}' is not a whole number") from None

    def number(self, key: str, default: float) -> float:
        """Return a number."""
        try:
            return float(self.text(key, str(default)))
        except ValueError:
            raise WireError(f"'{self.name}': field '{key}' is not a number") from None

    def flag(self, key: str) -> bool:
        """Return a boolean, ``0`` or ``1``; false if the field is missing."""
        value = self.text(key, "0")
        if value not in ("0", "1"):
            raise WireError(f"'{self.name}': field '{key}' is neither 0 nor 1")
        return value == "1"

    def choice(self, key: str, table: dict[str, Value]) -> Value:
        """Return the value to which ``table`` maps the field."""
        value = self.text(key)
        if value not in table:
            raise WireError(f"'{self.name}': field '{key}' has the unknown value '{value}'")
        return table[value]

    def numbers(self, key: str) -> tuple[float, ...]:
        """Return comma-separated numbers; none if the field is missing, empty or ``-``."""
        value = self.text(key, "")
        try:
            return tuple(float(item) for item in value.split(",")) if value not in ("", "-") else ()
        except ValueError:
            raise WireError(f"'{self.name}': field '{key}' is not a row of numbers") from None


def parse_endpoint(line: WireLine) -> Endpoint:
    """Parse an ``entry`` line of an endpoint list."""
    return Endpoint(
        target=line.text("target"),
        destination=line.integer("ownerNo"),
        state=line.choice("status", ENDPOINT_STATES),
        kind=line.text("type", ""),
        zone=line.text("site", ""),
        weight=line.number("capacityHint", 1.0),
    )


class SenderHost:
    """The senders of the process, by forwarder number.

    ``line_number`` is the number of the last input line read, for error messages.
    """

    def __init__(self) -> None:
        self.senders: dict[int, Sender] = {}
        self.listed_pages: dict[int, tuple[Endpoint, ...]] = {}
        self.line_number = 0

    def answer_batch(self, now_us: int, lines: list[WireLine]) -> list[str]:
        """Process a batch and return the lines of the reply.

        :raises WireError: if a line is malformed or not allowed here.
        """
        events: dict[int, list[Event]] = {}  # by sender
        rest = iter(lines)
        for line in rest:
            self.line_number = line.line_number
            if line.name == "list":
                self._read_page(line, rest)
                continue
            number = line.integer("forwarder")
            if line.name == "attach":
                self._attach(number, line)
                events[number] = []
            elif number not in self.senders:
                raise WireError(f"'{line.name}': forwarder {number} is not there")
            elif line.name == "destroy":
                del self.senders[number]
                events.pop(number, None)
            else:
                events.setdefault(number, []).append(self.parse_event(line))
        return [reply for number, each in events.items() for reply in self._handle(number, now_us, each)]

    def _read_page(self, line: WireLine, rest: Iterator[WireLine]) -> None:
        count = line.integer("elements")
        rows = list(itertools.islice(rest, max(0, count)))
        if len(rows) < count or any(row.name != "entry" for row in rows):
            raise WireError(f"'list': {count} 'entry' lines expected")
        self.listed_pages[line.integer("page")] = tuple(parse_endpoint(row) for row in rows)

    def _attach(self, number: int, line: WireLine) -> None:
        if number in self.senders:
            raise WireError(f"'attach': forwarder {number} is there already")
        try:
            settings = read_settings(line.text("options"))
            self.senders[number] = Sender(settings, line.integer("prng"))
        except ValueError as error:
            raise WireError(f"'attach': {error}") from None

    def _handle(self, number: int, now_us: int, events: list[Event]) -> list[str]:
        try:
            actions = self.senders[number].handle(now_us, events)
        except Exception as error:  # any failure of the policy is reported as a reply
            text = " ".join(f"{type(error).__name__}: {error}".split())
            return [f"die forwarder={number} text={text}"]
        return [format_action(number, action) for action in actions]

    def parse_event(self, line: WireLine) -> Event:
        """Parse an event line.

        :raises WireError: if the event is unknown or malformed.
        """
        if line.name == "discovery":
            return self._parse_membership_update(line)
        parse = EVENT_PARSERS.get(line.name)
        if parse is None:
            raise WireError(f"unknown event '{line.name}'")
        return parse(line)

    def _parse_membership_update(self, line: WireLine) -> Event:
        kind = line.choice("mode", UPDATE_KINDS)
        if kind is UpdateKind.FAILED:
            return MembershipUpdate(kind, line.integer("seqNo", 0))
        page = line.integer("page")
        if page not in self.listed_pages:
            raise WireError(f"'discovery': there is no list {page}")
        return MembershipUpdate(kind, line.integer("seqNo"), self.listed_pages[page])


def _parse_arrival(line: WireLine) -> Event:
    return MessageArrived(
        message=line.text("txn"),
        class_name=line.text("profile"),
        destination=line.integer("calledNode"),
        time_left_us=line.integer("leftUs"),
        tenant=line.text("customer", ""),
        order_key=line.integer("key") if "key" in line.fields else None,
        is_repeat=line.flag("repeat"),
    )


def _parse_outcome(line: WireLine) -> Event:
    status = line.choice("rc", ATTEMPT_STATUSES)
    hold_ms = line.integer("holdMs", 0)
    return AttemptFinished(
        message=line.text("txn"),
        attempt=line.integer("try"),
        target=line.text("target"),
        status=status,
        elapsed_us=line.integer("waitTimeUs", 0),
        is_completed=line.flag("noMore"),
        retry_after_us=hold_ms * 1000 if status is AttemptStatus.FULL else 0,
        no_slot_free=status is AttemptStatus.NOT_SENT and hold_ms == 1,
        load_report=line.numbers("metrics"),
    )


def _parse_streaming(line: WireLine) -> Event:
    return AttemptStreaming(
        line.text("txn"), line.integer("try"), line.text("target"), line.integer("waitTimeUs", 0)
    )


def _parse_health_check(line: WireLine) -> Event:
    return HealthCheckFinished(
        line.text("target"),
        line.choice("rc", ATTEMPT_STATUSES),
        line.integer("waitTimeUs", 0),
        line.numbers("metrics"),
    )


def _parse_peer_message(line: WireLine) -> Event:
    content = line.text("content", "-")
    try:
        return PeerMessageReceived(line.integer("who"), b"" if content == "-" else bytes.fromhex(content))
    except ValueError:
        raise WireError("'neighbour_says': field 'content' is not hex") from None


EVENT_PARSERS: dict[str, Callable[[WireLine], Event]] = {
    "job_in": _parse_arrival,
    "outcome": _parse_outcome,
    "timeout_fired": lambda line: TimerFired(line.text("mark")),
    "expired": lambda line: MessageExpired(line.text("txn")),
    "streaming": _parse_streaming,
    "probed": _parse_health_check,
    "neighbour_says": _parse_peer_message,
}


def format_action(number: int, action: Action) -> str:
    """Format an action as a line of the protocol."""
    who = f"forwarder={number}"
    match action:
        case SendAttempt():
            return f"deliver {who} txn={action.message} allowForUs={action.timeout_us} target={action.target}"
        case ReturnToClient():
            pause = f" pauseUs={action.retry_after_us}" if action.retry_after_us > 0 else ""
            return f"not_now {who} txn={action.message}{pause}"
        case FailPermanently():
            return f"error {who} txn={action.message}"
        case SetTimer():
            return f"after {who} mark={action.name} offsetUs={action.delay_us}"
        case Subscribe():
            return f"listen {who} enable={int(action.enable)}"
        case CloseIdleConnections():
            return f"release {who} target={action.target}"
        case LogEvent():
            return f"debug {who} text={action.text}"


class BatchReader:
    """Collects input lines into batches and processes each batch when it is complete."""

    def __init__(self) -> None:
        self.host = SenderHost()
        self._opening: WireLine | None = None
        self._batch: list[WireLine] = []

    @property
    def line_number(self) -> int:
        """Number of the last input line read."""
        return self.host.line_number

    def feed_line(self, number: int, text: str) -> list[str]:
        """Process an input line; return the reply if the line ends a batch, else nothing.

        :raises WireError: if the line is malformed or not allowed here.
        """
        self.host.line_number = number
        if not text:
            return []
        if text == END_OF_BATCH:
            return self._answer()
        line = WireLine(text, number)
        if line.name == "mark":
            if self._opening is not None:
                raise WireError("'mark' inside a batch")
            line.integer("nowUs")
            self._opening = line
        elif self._opening is None:
            raise WireError(f"'{line.name}' outside a batch")
        else:
            self._batch.append(line)
        return []

    def _answer(self) -> list[str]:
        if self._opening is None:
            raise WireError(f"'{END_OF_BATCH}' without 'mark'")
        reply = self.host.answer_batch(self._opening.integer("nowUs"), self._batch)
        self._opening, self._batch = None, []
        return [*reply, "finished"]

    def end(self) -> None:
        """Check that the input does not end inside a batch.

        :raises WireError: if it does.
        """
        if self._opening is not None:
            raise WireError("the input ends inside a batch")


def run(source: TextIO, sink: TextIO, error_sink: TextIO) -> int:
    """Process batches until the input ends; return the exit status."""
    reader = BatchReader()
    try:
        for number, raw in enumerate(source, start=1):
            if reply := reader.feed_line(number, raw.rstrip("\n")):
                sink.write("".join(line + "\n" for line in reply))
                sink.flush()
        reader.end()
    except WireError as error:
        error_sink.write(f"honeybarrow.bench_adapter: line {reader.line_number}: {error}\n")
        return USAGE_EXIT_STATUS
    return 0


def main() -> None:
    """Run the adapter on standard input and output, and exit with its status."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))


if __name__ == "__main__":
    main()

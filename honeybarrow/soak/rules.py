"""The judge of a soak run: the rules, from what crossed the sockets, by real time.

It looks at nothing of the forwarders but what they wrote. Times are those of the stand-ins' process, which
share the machine with dozens of others, so each rule has the platform's own allowance and ``SLACK_S`` more.
"""

from __future__ import annotations

import enum
import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from honeybarrow.soak import settings
from honeybarrow.soak.history import Event, EventKind, History, RequestFacts
from honeybarrow.soak.plan import Fault, FaultKind

SLACK_S = 0.2  # lateness of the stand-ins themselves, and of a process that is held up
RESULT_ALLOWANCE_S = 0.3  # after a message's time is up
NOTICE_AFTER_READY_S = 1.5  # no notification is overdue before, after a restart
LIMIT_ALLOWANCE_S = 0.05  # by which each time limit grows on sockets
WAIT_ALLOWANCE_S = 0.1  # calls that come so soon after the answer that tells to wait
KNOWN_AFTER_S = 6.0  # a change of the list counts as known then, whether or not it arrived
NEW_CONNECTION_S = 0.2  # after SIGTERM, for which new connections are served
READY_LIMIT_S = 10.0
EXIT_NOTICED_S = 0.4  # after which the end of a process by itself is noticed at the latest
SMALL_BUDGET = 30
NEVER_RAN = frozenset(("429", "503"))
FOREVER = math.inf


class SoakRule(enum.StrEnum):
    """What can be broken."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    ORDER = "order"
    WAIT = "wait"
    OVERLOAD = "overload"
    CRASH = "crash"
    READY = "ready"
    BAD_CLIENT = "bad_client"
    GUARD = "guard"


@dataclass(frozen=True, slots=True)
class SoakViolation:
    """One broken rule."""

    rule: SoakRule
    message: str
    forwarder: str
    text: str


@dataclass(slots=True)
class Span:
    """A span of time in which something was so."""

    start_s: float
    end_s: float = FOREVER

    def contains(self, at_s: float) -> bool:
        """Return whether a moment lies in it."""
        return self.start_s <= at_s <= self.end_s


@dataclass(slots=True)
class _Call:
    """One call, from its bytes to its end."""

    forwarder: str
    message: str
    endpoint: str
    first_byte_s: float
    last_byte_s: float
    ended_s: float = FOREVER
    status: str = ""  # of its answer, or by whom it was closed

    @property
    def may_have_run(self) -> bool:
        """Whether it can have had an effect."""
        return self.status not in NEVER_RAN


@dataclass(slots=True)
class _Message:
    """What is known of one message."""

    facts: RequestFacts
    accepted_s: float | None = None
    calls: list[_Call] = field(default_factory=list)
    delivered_s: float = FOREVER
    notified: list[Event] = field(default_factory=list)

    @property
    def ended_s(self) -> float:
        """When the platform knew its final result."""
        return min([self.delivered_s, *(each.at_s for each in self.notified)])


class Judge:
    """Judges one run. ``destinations``: by endpoint; ``faults`` with times relative to ``load_started_s``."""

    def __init__(
        self,
        history: History,
        faults: Sequence[Fault],
        load_started_s: float,
        destinations: dict[str, int],
    ) -> None:
        self.history, self.faults, self.load_started_s = history, faults, load_started_s
        self.destinations = destinations
        self.violations: list[SoakViolation] = []
        self.messages = self._collect_messages()
        self.outages_of = self._collect_process_outages()
        self.starts_of = self._collect_starts()

    def judge(self) -> list[SoakViolation]:
        """Return what was broken."""
        for message in self.messages.values():
            self._judge_result(message)
            self._judge_calls(message)
            self._judge_effects(message)
        self._judge_answers()
        self._judge_drains()
        self._judge_order()
        self._judge_waits()
        self._judge_returns()
        self._judge_processes()
        return self.violations

    def _report(self, rule: SoakRule, text: str, message: str = "", forwarder: str = "") -> None:
        self.violations.append(SoakViolation(rule, message, forwarder, text))

    # collecting

    def _collect_messages(self) -> dict[str, _Message]:
        found = {name: _Message(facts) for name, facts in self.history.requests.items()}
        open_calls: dict[tuple[str, str], _Call] = {}
        for event in sorted(self.history.events, key=lambda each: each.at_s):
            message = found.get(event.message)
            if message is None:
                continue
            key = (event.message, event.endpoint)
            match event.kind:
                case EventKind.ANSWER if event.detail in ("202", "200"):
                    message.accepted_s = event.at_s
                case EventKind.CALL:
                    call = _Call(event.forwarder, event.message, event.endpoint, event.amount, event.at_s)
                    message.calls.append(call)
                    open_calls[key] = call
                case EventKind.CALL_ANSWERED | EventKind.CALL_CLOSED:
                    if (call_open := open_calls.pop(key, None)) is not None:
                        call_open.ended_s, call_open.status = event.at_s, event.detail
                    if event.detail == "200":
                        message.delivered_s = min(message.delivered_s, event.at_s)
                case EventKind.NOTIFIED:
                    message.notified.append(event)
        return found

    def _collect_process_outages(self) -> dict[str, list[Span]]:
        """Spans from the signal or fault that ends a process to the readiness of the next."""
        found: dict[str, list[Span]] = defaultdict(list)
        for forwarder, events in self.history.by_forwarder(EventKind.PROCESS).items():
            for event in events:
                spans = found[forwarder]
                is_down = bool(spans) and spans[-1].end_s == FOREVER
                ends = event.detail in ("SIGTERM", "SIGKILL") or event.detail.startswith("exited")
                if ends and not is_down:
                    noticed_late_s = EXIT_NOTICED_S if event.detail.startswith("exited") else 0.0
                    spans.append(Span(event.at_s - noticed_late_s))
                elif event.detail == "ready" and is_down:
                    spans[-1].end_s = event.at_s
        return found

    def _collect_starts(self) -> dict[str, list[float]]:
        events = self.history.by_forwarder(EventKind.PROCESS)
        return {
            forwarder: [each.at_s for each in own if each.detail == "started"]
            for forwarder, own in events.items()
        }

    def _incarnation(self, forwarder: str, at_s: float) -> int:
        return sum(start_s <= at_s for start_s in self.starts_of.get(forwarder, ()))

    def _fault_spans(self, forwarder: str, kinds: Iterable[FaultKind]) -> list[Span]:
        wanted = tuple(kinds)
        return [
            Span(self.load_started_s + each.start_s, self.load_started_s + each.start_s + each.duration_s)
            for each in self.faults
            if each.kind in wanted and each.place in (forwarder, "")
        ]

    # rules on one message

    def _judge_result(self, message: _Message) -> None:
        """Each message that was accepted has its final result in time."""
        if message.accepted_s is None:
            return
        limit_s = message.facts.deadline_s + RESULT_ALLOWANCE_S + LIMIT_ALLOWANCE_S + SLACK_S
        forwarder = message.facts.forwarder
        spans = [
            Span(each.start_s, each.end_s + NOTICE_AFTER_READY_S)
            for each in self.outages_of.get(forwarder, ())
        ]
        # A notification does not come through a link that is cut.
        link_faults = self._fault_spans(forwarder, (FaultKind.DISCOVERY_LINK,))
        spans += [Span(each.start_s, each.end_s + NOTICE_AFTER_READY_S) for each in link_faults]
        for _ in range(len(spans) + 1):
            for span in spans:
                if span.contains(limit_s) or span.contains(message.facts.deadline_s):
                    limit_s = max(limit_s, span.end_s + SLACK_S)
        if message.ended_s > limit_s:
            late_s = message.ended_s - limit_s
            text = "never ended" if late_s == FOREVER else f"ended {late_s:.3f} s late"
            self._report(SoakRule.LOST, f"accepted, and {text}", message.facts.message, forwarder)

    def _judge_calls(self, message: _Message) -> None:
        """Nothing is forwarded after its end or its time, and no two calls overlap."""
        name, forwarder = message.facts.message, message.facts.forwarder
        notified_s = min((each.at_s for each in message.notified), default=FOREVER)
        for call in message.calls:
            after_s = call.last_byte_s - message.facts.deadline_s
            if after_s > LIMIT_ALLOWANCE_S + SLACK_S:
                self._report(SoakRule.LOST, f"forwarded {after_s:.3f} s after its time", name, forwarder)
            if call.first_byte_s > notified_s + LIMIT_ALLOWANCE_S:
                self._report(SoakRule.LOST, "forwarded after its end was notified", name, forwarder)
        for earlier, later in zip(message.calls, message.calls[1:], strict=False):
            if later.last_byte_s < earlier.ended_s - LIMIT_ALLOWANCE_S:
                self._report(SoakRule.DUPLICATE, "two calls at once", name, forwarder)

    def _judge_effects(self, message: _Message) -> None:
        """What may have run is not repeated outside what its class permits."""
        spec = settings.CLASS_BY_NAME[message.facts.class_name]
        ran = [call for call in message.calls if call.may_have_run]
        if not ran or spec.idempotency == "free":
            return
        first_s = ran[0].last_byte_s
        for call in message.calls:
            if call.last_byte_s <= first_s:
                continue
            after_s = call.last_byte_s - first_s
            if spec.idempotency == "single_shot":
                self._report(
                    SoakRule.DUPLICATE, f"sent again {after_s:.3f} s after a call that may have run",
                    message.facts.message, message.facts.forwarder,
                )  # fmt: skip
            elif after_s > spec.window_s + LIMIT_ALLOWANCE_S:
                self._report(
                    SoakRule.DUPLICATE, f"repeated {after_s - spec.window_s:.3f} s after its key window",
                    message.facts.message, message.facts.forwarder,
                )  # fmt: skip

    # answers to clients

    def _judge_answers(self) -> None:
        """A request on a new connection is answered, unless something is in the way."""
        in_the_way = (FaultKind.SYSTEM_CALL, FaultKind.CROWD, FaultKind.CLIENT_LINK)
        for event in self.history.events:
            is_left_alone = event.kind is EventKind.BAD_CLIENT and event.detail == "left alone"
            if is_left_alone and not self._is_cut_off(event.forwarder, event.at_s - 4.0, event.at_s):
                self._report(SoakRule.BAD_CLIENT, "half a request was left alone", "", event.forwarder)
            if event.kind is not EventKind.NO_ANSWER or event.detail != "closed new":
                continue
            sent_s = self.messages[event.message].facts.sent_s
            spans = self._fault_spans(event.forwarder, in_the_way)
            is_disturbed = any(span.start_s - 1 <= sent_s <= span.end_s + 1 for span in spans)
            if not is_disturbed and not self._is_ending(event.forwarder, sent_s, event.at_s):
                self._report(
                    SoakRule.LOST, "closed with no answer on a new connection", event.message, event.forwarder
                )

    def _is_cut_off(self, forwarder: str, start_s: float, end_s: float) -> bool:
        """Whether a process is away, or its clients' link is disturbed, in a span."""
        spans = self._fault_spans(forwarder, (FaultKind.CLIENT_LINK,))
        is_disturbed = any(start_s < span.end_s and end_s > span.start_s for span in spans)
        return is_disturbed or self._is_ending(forwarder, start_s, end_s)

    def _is_ending(self, forwarder: str, start_s: float, end_s: float) -> bool:
        """Whether a process ends or is away in a span, but for the time in which it serves as usual."""
        return any(
            start_s < span.end_s and end_s > span.start_s for span in self.outages_of.get(forwarder, ())
        )

    # rules over many messages

    def _all_calls(self) -> list[_Call]:
        calls = [call for message in self.messages.values() for call in message.calls]
        return sorted(calls, key=lambda call: call.first_byte_s)

    def _judge_drains(self) -> None:
        """Nothing new goes to an endpoint that drains or is gone, once that is known."""
        known: dict[tuple[str, str], float] = {}
        for event in self.history.events:
            if event.kind is EventKind.LISTED and event.detail != "active":
                key = (event.forwarder, event.endpoint)
                known[key] = min(known.get(key, FOREVER), event.at_s)
        made = {
            event.endpoint: event.at_s
            for event in reversed(self.history.events)
            if event.kind is EventKind.FAULT and event.detail in ("listed as leaving", "listed as left")
        }
        for call in self._all_calls():
            if call.endpoint not in made:
                continue
            counts_s = min(
                known.get((call.forwarder, call.endpoint), FOREVER),
                self._known_at_last_s(call.forwarder, made[call.endpoint]),
            )
            after_s = call.first_byte_s - counts_s - settings.DRAIN_GRACE_S - LIMIT_ALLOWANCE_S
            if after_s > SLACK_S:
                text = f"sent to {call.endpoint} {after_s:.3f} s after the grace of its drain"
                self._report(SoakRule.DRAIN, text, call.message, call.forwarder)

    def _known_at_last_s(self, forwarder: str, made_s: float) -> float:
        """When a change counts as known, whether or not it arrived."""
        at_s = made_s + KNOWN_AFTER_S
        kinds = (FaultKind.DISCOVERY_DOWN, FaultKind.DISCOVERY_LINK)
        away = [*self._fault_spans(forwarder, kinds), *self.outages_of.get(forwarder, ())]
        for _ in range(len(away) + 1):
            for span in away:
                if span.start_s < at_s and span.end_s > made_s:
                    at_s = max(at_s, span.end_s + KNOWN_AFTER_S)
        return at_s

    def _judge_order(self) -> None:
        """Messages of one key go one at a time, in the order in which a forwarder accepted them."""
        by_key: dict[tuple[str, str], list[_Message]] = defaultdict(list)
        for message in self.messages.values():
            if message.facts.order_key and message.accepted_s is not None:
                by_key[message.facts.forwarder, message.facts.order_key].append(message)
        for messages in by_key.values():
            in_order = sorted(messages, key=lambda each: each.accepted_s or 0.0)
            for number, message in enumerate(in_order):
                for call in message.calls:
                    self._judge_order_of_call(call, in_order[:number])

    def _judge_order_of_call(self, call: _Call, earlier: Sequence[_Message]) -> None:
        for message in earlier:
            if call.first_byte_s < message.ended_s - LIMIT_ALLOWANCE_S:
                text = f"sent before {message.facts.message} of its key had ended"
                self._report(SoakRule.ORDER, text, call.message, call.forwarder)
                return
            for other in message.calls:
                is_ambiguous = other.status in ("forwarder", "endpoint")
                rested_s = call.first_byte_s - other.ended_s
                if is_ambiguous and 0 <= rested_s < settings.KEY_REST_S - LIMIT_ALLOWANCE_S:
                    text = f"sent {rested_s:.3f} s after an ambiguous call of its key"
                    self._report(SoakRule.ORDER, text, call.message, call.forwarder)
                    return

    def _judge_waits(self) -> None:
        """A forwarder that was told to wait sends nothing to that destination until the wait is over."""
        calls: dict[tuple[str, int], list[_Call]] = defaultdict(list)
        for call in self._all_calls():
            calls[call.forwarder, self.destinations[call.endpoint]].append(call)
        for event in self.history.events:
            if event.kind is not EventKind.CALL_ANSWERED or event.amount <= 0:
                continue
            start_s = event.at_s + WAIT_ALLOWANCE_S + SLACK_S
            end_s = event.at_s + event.amount - LIMIT_ALLOWANCE_S
            incarnation = self._incarnation(event.forwarder, event.at_s)
            for call in calls[event.forwarder, self.destinations[event.endpoint]]:
                is_inside = start_s < call.first_byte_s < end_s
                if is_inside and self._incarnation(call.forwarder, call.first_byte_s) == incarnation:
                    text = f"sent {call.first_byte_s - event.at_s:.3f} s into a wait of {event.amount:.3f} s"
                    self._report(SoakRule.WAIT, text, call.message, call.forwarder)

    def _judge_returns(self) -> None:
        """A destination that returns cold is not pushed over."""
        for fault in self.faults:
            if fault.kind is not FaultKind.OUTAGE:
                continue
            back_s = self.load_started_s + fault.start_s + fault.duration_s
            times = [
                call.last_byte_s
                for call in self._all_calls()
                if self.destinations[call.endpoint] == int(fault.place)
                and back_s <= call.last_byte_s <= back_s + settings.WARM_UP_S
            ]
            for number, start_s in enumerate(times):
                end_s = start_s + settings.COLLAPSE_WINDOW_S
                warm = (_warm_share(start_s - back_s) + _warm_share(end_s - back_s)) / 2  # it grows evenly
                rate_per_s = settings.COLLAPSE_MULTIPLE * settings.CAPACITY_PER_S * warm
                allowed = rate_per_s * settings.COLLAPSE_WINDOW_S
                factor = 3 if allowed < SMALL_BUDGET else 2
                budget = allowed + factor * math.sqrt(allowed) + factor
                inside = sum(at_s <= end_s for at_s in times[number:])
                if inside > budget:
                    text = f"destination {fault.place} got {inside} calls where {budget:.0f} are allowed"
                    self._report(SoakRule.OVERLOAD, text)
                    return

    def _judge_processes(self) -> None:
        torn = [each for each in self.faults if each.kind is FaultKind.TORN_WRITE]
        for event in self.history.events:
            if event.kind is not EventKind.PROCESS:
                continue
            if event.detail == "ready" and event.amount > READY_LIMIT_S:
                self._report(SoakRule.READY, f"ready after {event.amount:.1f} s", "", event.forwarder)
            elif event.detail == "never ready":
                self._report(SoakRule.READY, "never ready", "", event.forwarder)
            elif event.detail.startswith("exited"):
                is_meant = event.detail == "exited -9" and any(e.place == event.forwarder for e in torn)
                if not is_meant:
                    self._report(SoakRule.CRASH, event.detail, "", event.forwarder)


def _warm_share(age_s: float) -> float:
    """Return the part of its capacity that a destination has so long after its return."""
    warmth = min(1.0, age_s / settings.WARM_UP_S)
    return settings.START_CAPACITY + (1 - settings.START_CAPACITY) * warmth

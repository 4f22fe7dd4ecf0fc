"""Rules of a soak run, checked from the recorded traffic, process events and faults.

The checker reads no internal state of the forwarders. Times are taken in the stand-ins' process, which shares
the machine with all forwarders, so each rule adds ``SCHEDULING_DELAY_S`` to the allowance of the platform.
"""

from __future__ import annotations

import enum
import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from honeybarrow.soak import settings
from honeybarrow.soak.forwarder_process import OVER_MEMORY_LIMIT
from honeybarrow.soak.history import EventKind, History
from honeybarrow.soak.plan import CrowdStart, Fault, FaultKind
from honeybarrow.soak.rule_records import NEVER, Call, Interval, MessageRecord

SCHEDULING_DELAY_S = 0.2  # tolerated scheduling delay of the stand-ins and the forwarders
RESULT_ALLOWANCE_S = 0.3  # after a message's deadline, for its final result
NOTIFICATION_DELAY_AFTER_READY_S = 1.5  # after a restart, before notifications are due
LIMIT_ALLOWANCE_S = 0.05  # tolerance of each time limit when measured on sockets
WAIT_ALLOWANCE_S = 0.1  # after a 429, for calls that were already being sent
LIST_PROPAGATION_S = 6.0  # after which a list change must be known, received or not
NEW_CONNECTIONS_AFTER_SIGTERM_S = 0.2
READY_LIMIT_S = 10.0
EXIT_DETECTION_S = 0.4  # longest time until an unexpected exit is recorded
SMALL_CALL_BUDGET = 30  # calls; below it the statistical tolerance is larger
UNREAD_S = 0.05  # before the end of a process, in which it may not have read a response


class SoakRule(enum.StrEnum):
    """Rules that a run checks."""

    LOST = "lost"  # no final result in time, or a call after the final result or deadline
    DUPLICATE = "duplicate"  # concurrent or forbidden repeated calls
    DRAIN = "drain"  # calls to a drained endpoint
    ORDER = "order"  # messages of one order key out of order or too close
    WAIT = "wait"  # calls during a requested wait
    OVERLOAD = "overload"  # too much load on a recovering destination
    CRASH = "crash"  # unexpected exit or failure in the log
    READY = "ready"  # process not ready in time after its start
    BAD_CLIENT = "bad_client"  # incomplete request kept open
    MEMORY = "memory"  # a process over its memory limit
    WRONG_ENDPOINT = "wrong_endpoint"  # call at an endpoint of another destination
    GUARD = "guard"  # violation logged by the forwarder's own guard


@dataclass(frozen=True, slots=True)
class SoakViolation:
    """A broken rule, with the message and forwarder concerned if there are any."""

    rule: SoakRule
    message: str
    forwarder: str
    text: str


class RuleChecker:
    """Checker of the rules for one run.

    :param faults: Injected faults, with times relative to ``load_started_s``.
    :param destinations: Destination number by endpoint name.
    :param predecessors: Name of the endpoint that had the address before, by endpoint name.
    """

    def __init__(
        self,
        history: History,
        faults: Sequence[Fault],
        load_started_s: float,
        destinations: dict[str, int],
        predecessors: dict[str, str] | None = None,
    ) -> None:
        self.predecessors = predecessors or {}
        self.history, self.faults, self.load_started_s = history, faults, load_started_s
        self.destinations = destinations
        self.violations: list[SoakViolation] = []
        self.messages = self._collect_messages()
        self.outages_by_forwarder = self._collect_process_outages()
        self.starts_by_forwarder = self._collect_starts()

    def check(self) -> list[SoakViolation]:
        """Check all rules and return the violations."""
        for message in self.messages.values():
            self._check_result(message)
            self._check_calls(message)
            self._check_idempotency(message)
        self._check_client_answers()
        self._check_repeats()
        self._check_drains()
        self._check_addresses()
        self._check_order()
        self._check_waits()
        self._check_recovery_load()
        self._check_processes()
        return self.violations

    def _report(self, rule: SoakRule, text: str, message: str = "", forwarder: str = "") -> None:
        self.violations.append(SoakViolation(rule, message, forwarder, text))

    # collection

    def _collect_messages(self) -> dict[str, MessageRecord]:
        messages = {name: MessageRecord(request) for name, request in self.history.requests.items()}
        open_calls: dict[tuple[str, str], Call] = {}
        for event in sorted(self.history.events, key=lambda event: event.time_s):
            message = messages.get(event.message)
            if message is None:
                continue
            key = (event.message, event.endpoint)
            match event.kind:
                case EventKind.ANSWER if event.detail in ("202", "200"):
                    message.accepted_s = event.time_s
                case EventKind.CALL:
                    call = Call(event.forwarder, event.message, event.endpoint, event.amount, event.time_s)
                    message.calls.append(call)
                    open_calls[key] = call
                case EventKind.CALL_ANSWERED | EventKind.CALL_CLOSED:
                    if (open_call := open_calls.pop(key, None)) is not None:
                        open_call.ended_s, open_call.status = event.time_s, event.detail
                    message.record_answer(event)
                case EventKind.NOTIFIED:
                    message.notifications.append(event)
        return messages

    def _collect_process_outages(self) -> dict[str, list[Interval]]:
        """Return the intervals from the end of each process to the readiness of the next."""
        outages: dict[str, list[Interval]] = defaultdict(list)
        for forwarder, events in self.history.by_forwarder(EventKind.PROCESS).items():
            for event in events:
                intervals = outages[forwarder]
                is_down = bool(intervals) and intervals[-1].end_s == NEVER
                is_end = event.detail in ("SIGTERM", "SIGKILL") or event.detail.startswith("exited")
                if is_end and not is_down:
                    detection_delay_s = EXIT_DETECTION_S if event.detail.startswith("exited") else 0.0
                    intervals.append(Interval(event.time_s - detection_delay_s))
                elif event.detail == "ready" and is_down:
                    intervals[-1].end_s = event.time_s
        return outages

    def _collect_starts(self) -> dict[str, list[float]]:
        events_by_forwarder = self.history.by_forwarder(EventKind.PROCESS)
        return {
            forwarder: [event.time_s for event in events if event.detail == "started"]
            for forwarder, events in events_by_forwarder.items()
        }

    def _process_number(self, forwarder: str, time_s: float) -> int:
        """Return the number of processes of a forwarder that had been started by a given time."""
        return sum(start_s <= time_s for start_s in self.starts_by_forwarder.get(forwarder, ()))

    def _fault_intervals(self, forwarder: str, kinds: Iterable[FaultKind]) -> list[Interval]:
        wanted_kinds = tuple(kinds)
        return [
            Interval(
                self.load_started_s + fault.start_s, self.load_started_s + fault.start_s + fault.duration_s
            )
            for fault in self.faults
            if fault.kind in wanted_kinds and fault.target in (forwarder, "")
        ]

    # rules on single messages

    def _check_result(self, message: MessageRecord) -> None:
        """Check that an accepted message has its final result in time."""
        if message.accepted_s is None:
            return
        limit_s = message.request.deadline_s + RESULT_ALLOWANCE_S + LIMIT_ALLOWANCE_S + SCHEDULING_DELAY_S
        forwarder = message.request.forwarder
        intervals = [
            Interval(outage.start_s, outage.end_s + NOTIFICATION_DELAY_AFTER_READY_S)
            for outage in self.outages_by_forwarder.get(forwarder, ())
        ]
        # Notifications are also late while the link to the platform is impaired.
        link_faults = self._fault_intervals(forwarder, (FaultKind.DISCOVERY_LINK,))
        intervals += [
            Interval(fault.start_s, fault.end_s + NOTIFICATION_DELAY_AFTER_READY_S) for fault in link_faults
        ]
        for _ in range(len(intervals) + 1):
            for interval in intervals:
                if interval.contains(limit_s) or interval.contains(message.request.deadline_s):
                    limit_s = max(limit_s, interval.end_s + SCHEDULING_DELAY_S)
        if message.ended_s > limit_s:
            late_s = message.ended_s - limit_s
            text = "has no final result" if late_s == NEVER else f"final result {late_s:.3f} s late"
            self._report(SoakRule.LOST, f"accepted, but {text}", message.request.message, forwarder)

    def _check_calls(self, message: MessageRecord) -> None:
        """Check that no call follows the notification or the deadline, and that no two calls overlap."""
        name, forwarder = message.request.message, message.request.forwarder
        notified_s = min((event.time_s for event in message.notifications), default=NEVER)
        for call in message.calls:
            after_s = call.last_byte_s - message.request.deadline_s
            if after_s > LIMIT_ALLOWANCE_S + SCHEDULING_DELAY_S:
                self._report(SoakRule.LOST, f"called {after_s:.3f} s after its deadline", name, forwarder)
            if call.first_byte_s > notified_s + LIMIT_ALLOWANCE_S:
                self._report(SoakRule.LOST, "called after its final result was notified", name, forwarder)
            since_end_s = call.first_byte_s - message.uncallable_s
            if since_end_s > 0 and not self._was_unread(forwarder, message.uncallable_s, call.first_byte_s):
                text = f"called {since_end_s:.3f} s after an endpoint told that it is over"
                self._report(SoakRule.LOST, text, name, forwarder)
        for earlier, later in zip(message.calls, message.calls[1:], strict=False):
            if later.last_byte_s < earlier.ended_s - LIMIT_ALLOWANCE_S:
                self._report(SoakRule.DUPLICATE, "called again while a call was open", name, forwarder)

    def _was_unread(self, forwarder: str, written_s: float, called_s: float) -> bool:
        """Return whether the process ended right after a response was written, and another one called."""
        ends = [
            Interval(
                event.time_s - (EXIT_DETECTION_S if event.detail.startswith("exited") else 0.0), event.time_s
            )
            for event in self.history.by_forwarder(EventKind.PROCESS).get(forwarder, ())
            if event.detail == "SIGKILL" or event.detail.startswith(("exited", "ended"))
        ]
        is_later_process = self._process_number(forwarder, called_s) > self._process_number(
            forwarder, written_s
        )
        return is_later_process and any(
            end.start_s <= written_s + UNREAD_S and written_s <= end.end_s for end in ends
        )

    def _check_idempotency(self, message: MessageRecord) -> None:
        """Check that a call that may have been executed is repeated only as its class permits."""
        spec = settings.CLASS_BY_NAME[message.request.class_name]
        executed = [call for call in message.calls if call.may_have_executed]
        if not executed or spec.idempotency == "free":
            return
        first_s = executed[0].last_byte_s
        for call in message.calls:
            if call.last_byte_s <= first_s:
                continue
            after_s = call.last_byte_s - first_s
            if spec.idempotency == "single_shot":
                self._report(
                    SoakRule.DUPLICATE, f"sent again {after_s:.3f} s after a possibly executed call",
                    message.request.message, message.request.forwarder,
                )  # fmt: skip
            elif after_s > spec.window_s + LIMIT_ALLOWANCE_S:
                self._report(
                    SoakRule.DUPLICATE,
                    f"sent again {after_s - spec.window_s:.3f} s after the idempotency window",
                    message.request.message, message.request.forwarder,
                )  # fmt: skip

    # responses to clients

    def _check_client_answers(self) -> None:
        """Check that requests are answered, unless a fault or a restart explains the missing answer."""
        disturbing_kinds = (
            FaultKind.SYSTEM_CALL, FaultKind.CROWD, FaultKind.CLIENT_CROWD, FaultKind.CLIENT_LINK,
        )  # fmt: skip
        for event in self.history.events:
            is_unanswered = event.kind is EventKind.BAD_CLIENT and event.detail == "unanswered"
            if is_unanswered and not self._is_unreachable(event.forwarder, event.time_s - 4.0, event.time_s):
                self._report(
                    SoakRule.BAD_CLIENT,
                    "incomplete request was neither rejected nor closed",
                    "",
                    event.forwarder,
                )
            if event.kind is not EventKind.NO_ANSWER or event.detail != "closed new":
                continue
            sent_s = self.messages[event.message].request.sent_s
            intervals = self._fault_intervals(event.forwarder, disturbing_kinds)
            is_disturbed = any(interval.start_s - 1 <= sent_s <= interval.end_s + 1 for interval in intervals)
            if not is_disturbed and not self._is_down_during(event.forwarder, sent_s, event.time_s):
                self._report(
                    SoakRule.LOST, "new connection closed without an answer", event.message, event.forwarder
                )

    def _is_unreachable(self, forwarder: str, start_s: float, end_s: float) -> bool:
        """Return whether the process is down or its clients' link is impaired during part of the interval."""
        intervals = self._fault_intervals(forwarder, (FaultKind.CLIENT_LINK,))
        is_disturbed = any(start_s < interval.end_s and end_s > interval.start_s for interval in intervals)
        return is_disturbed or self._is_down_during(forwarder, start_s, end_s)

    def _is_down_during(self, forwarder: str, start_s: float, end_s: float) -> bool:
        """Return whether the process stops or is down during part of the interval."""
        return any(
            start_s < interval.end_s and end_s > interval.start_s
            for interval in self.outages_by_forwarder.get(forwarder, ())
        )

    # rules on many messages

    def _all_calls(self) -> list[Call]:
        calls = [call for message in self.messages.values() for call in message.calls]
        return sorted(calls, key=lambda call: call.first_byte_s)

    def _drain_known_s(self) -> Callable[[str, str], float]:
        """Return a function of forwarder and endpoint: when the forwarder has to know that it is leaving."""
        received_s: dict[tuple[str, str], float] = {}
        for event in self.history.events:
            if event.kind is EventKind.LISTED and event.detail != "active":
                key = (event.forwarder, event.endpoint)
                received_s[key] = min(received_s.get(key, NEVER), event.time_s)
        listed_s = {
            event.endpoint: event.time_s
            for event in reversed(self.history.events)
            if event.kind is EventKind.FAULT and event.detail in ("listed as leaving", "listed as left")
        }

        def known_s(forwarder: str, endpoint: str) -> float:
            if endpoint not in listed_s:
                return NEVER
            latest_s = self._latest_known_s(forwarder, listed_s[endpoint])
            return min(received_s.get((forwarder, endpoint), NEVER), latest_s)

        return known_s

    def _check_addresses(self) -> None:
        """Check that calls arrive at their destination once the endpoint before is known to have left."""
        known_s = self._drain_known_s()
        for call in self._all_calls():
            predecessor = self.predecessors.get(call.endpoint)
            request = self.messages[call.message].request
            if predecessor is None or self.destinations[call.endpoint] == request.destination:
                continue
            after_s = call.first_byte_s - known_s(call.forwarder, predecessor) - LIMIT_ALLOWANCE_S
            if after_s > SCHEDULING_DELAY_S:
                text = f"sent to {call.endpoint} {after_s:.3f} s after {predecessor} left its address"
                self._report(SoakRule.WRONG_ENDPOINT, text, call.message, call.forwarder)

    def _check_repeats(self) -> None:
        """Check that no request is accepted a second time."""
        for event in self.history.events:
            if event.kind is EventKind.REPEATED and event.detail in ("200", "202"):
                self._report(SoakRule.DUPLICATE, "accepted a second time", event.message, event.forwarder)

    def _check_drains(self) -> None:
        """Check that no new call goes to an endpoint after the grace time of its drain."""
        drain_known_s = self._drain_known_s()
        for call in self._all_calls():
            known_s = drain_known_s(call.forwarder, call.endpoint)
            after_s = call.first_byte_s - known_s - settings.DRAIN_GRACE_S - LIMIT_ALLOWANCE_S
            if after_s > SCHEDULING_DELAY_S:
                text = f"sent to {call.endpoint} {after_s:.3f} s after the grace time of its drain"
                self._report(SoakRule.DRAIN, text, call.message, call.forwarder)

    def _latest_known_s(self, forwarder: str, changed_s: float) -> float:
        """Return the time at which the forwarder must know a list change, even if it has not received it."""
        latest_s = changed_s + LIST_PROPAGATION_S
        kinds = (FaultKind.DISCOVERY_DOWN, FaultKind.DISCOVERY_LINK)
        disturbances = [
            *self._fault_intervals(forwarder, kinds),
            *self._crowds_in_service(forwarder),
            *self.outages_by_forwarder.get(forwarder, ()),
        ]
        for _ in range(len(disturbances) + 1):
            for interval in disturbances:
                if interval.start_s < latest_s and interval.end_s > changed_s:
                    latest_s = max(latest_s, interval.end_s + LIST_PROPAGATION_S)
        return latest_s

    def _crowds_in_service(self, forwarder: str) -> list[Interval]:
        """Return when discovery failed calls after the end of a watch, as it does when it is down."""
        faults = [each for each in self.faults if each.detail.startswith(CrowdStart.SERVICE.value)]
        start_s = self.load_started_s
        return [
            Interval(start_s + each.start_s, start_s + each.start_s + each.duration_s)
            for each in faults
            if each.kind is FaultKind.DISCOVERY_CROWD and each.target == forwarder
        ]

    def _check_order(self) -> None:
        """Check that messages of one order key are sent one at a time, in the order of their acceptance."""
        by_key: dict[tuple[str, str], list[MessageRecord]] = defaultdict(list)
        for message in self.messages.values():
            if message.request.order_key and message.accepted_s is not None:
                by_key[message.request.forwarder, message.request.order_key].append(message)
        for messages in by_key.values():
            in_order = sorted(messages, key=lambda message: message.accepted_s or 0.0)
            for number, message in enumerate(in_order):
                for call in message.calls:
                    self._check_order_of_call(call, in_order[:number])

    def _check_order_of_call(self, call: Call, earlier: Sequence[MessageRecord]) -> None:
        for message in earlier:
            if call.first_byte_s < message.ended_s - LIMIT_ALLOWANCE_S:
                text = f"sent before the final result of {message.request.message} with the same key"
                self._report(SoakRule.ORDER, text, call.message, call.forwarder)
                return
            for earlier_call in message.calls:
                is_ambiguous = earlier_call.status in ("forwarder", "endpoint")
                pause_s = call.first_byte_s - earlier_call.ended_s
                if is_ambiguous and 0 <= pause_s < settings.ORDER_KEY_PAUSE_S - LIMIT_ALLOWANCE_S:
                    text = f"sent {pause_s:.3f} s after an ambiguous call with the same key"
                    self._report(SoakRule.ORDER, text, call.message, call.forwarder)
                    return

    def _check_waits(self) -> None:
        """Check that a forwarder respects the wait that a destination requested with a 429."""
        calls: dict[tuple[str, int], list[Call]] = defaultdict(list)
        for call in self._all_calls():
            calls[call.forwarder, self.destinations[call.endpoint]].append(call)
        for event in self.history.events:
            if event.kind is not EventKind.CALL_ANSWERED or event.amount <= 0:
                continue
            start_s = event.time_s + WAIT_ALLOWANCE_S + SCHEDULING_DELAY_S
            end_s = event.time_s + event.amount - LIMIT_ALLOWANCE_S
            process_number = self._process_number(event.forwarder, event.time_s)
            for call in calls[event.forwarder, self.destinations[event.endpoint]]:
                is_during_wait = start_s < call.first_byte_s < end_s
                if (
                    is_during_wait
                    and self._process_number(call.forwarder, call.first_byte_s) == process_number
                ):
                    text = (
                        f"sent {call.first_byte_s - event.time_s:.3f} s into a wait of {event.amount:.3f} s"
                    )
                    self._report(SoakRule.WAIT, text, call.message, call.forwarder)

    def _check_recovery_load(self) -> None:
        """Check that the load on a destination after an outage stays below its collapse threshold."""
        for fault in self.faults:
            if fault.kind is not FaultKind.OUTAGE:
                continue
            recovered_s = self.load_started_s + fault.start_s + fault.duration_s
            times = [
                call.last_byte_s
                for call in self._all_calls()
                if self.destinations[call.endpoint] == int(fault.target)
                and recovered_s <= call.last_byte_s <= recovered_s + settings.WARM_UP_S
            ]
            for number, start_s in enumerate(times):
                end_s = start_s + settings.COLLAPSE_WINDOW_S
                # The capacity grows linearly, so its average is the mean of both ends.
                average_capacity = (
                    _capacity_fraction(start_s - recovered_s) + _capacity_fraction(end_s - recovered_s)
                ) / 2
                rate_per_s = settings.COLLAPSE_MULTIPLE * settings.CAPACITY_PER_S * average_capacity
                expected_calls = rate_per_s * settings.COLLAPSE_WINDOW_S
                tolerance = 3 if expected_calls < SMALL_CALL_BUDGET else 2
                budget = expected_calls + tolerance * math.sqrt(expected_calls) + tolerance
                call_count = sum(time_s <= end_s for time_s in times[number:])
                if call_count > budget:
                    text = f"destination {fault.target} got {call_count} calls, allowed are {budget:.0f}"
                    self._report(SoakRule.OVERLOAD, text)
                    return

    def _check_processes(self) -> None:
        """Check that processes become ready in time and exit only by injected faults."""
        torn_writes = [fault for fault in self.faults if fault.kind is FaultKind.TORN_WRITE]
        for event in self.history.events:
            if event.kind is not EventKind.PROCESS:
                continue
            if event.detail == "ready" and event.amount > READY_LIMIT_S:
                self._report(SoakRule.READY, f"ready after {event.amount:.1f} s", "", event.forwarder)
            elif event.detail == OVER_MEMORY_LIMIT:
                text = f"resident peak of {event.amount:.0f} kB is over the limit"
                self._report(SoakRule.MEMORY, text, "", event.forwarder)
            elif event.detail == "never ready":
                self._report(SoakRule.READY, "never ready", "", event.forwarder)
            elif event.detail.startswith("exited"):
                is_injected = event.detail == "exited -9" and any(
                    fault.target == event.forwarder for fault in torn_writes
                )
                if not is_injected:
                    self._report(SoakRule.CRASH, event.detail, "", event.forwarder)


def _capacity_fraction(age_s: float) -> float:
    """Return the fraction of its capacity that a destination has ``age_s`` after the end of an outage."""
    progress = min(1.0, age_s / settings.WARM_UP_S)
    return settings.START_CAPACITY + (1 - settings.START_CAPACITY) * progress

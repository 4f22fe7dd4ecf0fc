"""Checker of the rules against the event log of a run. It uses no data of the forwarders themselves.

All times are from the clock of the stand-ins' process. ``SLACK_US`` allows for the delay between an action
of a forwarder and its entry in the log on a loaded machine.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import NamedTuple

from honeybarrow.config.schema import ForwarderConfig, MessageClassConfig
from honeybarrow.rehearsal.event_log import EventKind, EventLogEntry
from honeybarrow.rehearsal.rule_check_result import Rule, RuleCheckResult
from honeybarrow.rehearsal.schema import Scenario
from honeybarrow.rehearsal.submissions import NEVER, Submission, collect_submissions, compute_figures
from honeybarrow.rehearsal.zone_outages import find_zone_outages

SLACK_US = 150_000  # tolerated delay between an action and its entry in the event log
SECOND_US = 1_000_000
CRASH_REPORT_US = SECOND_US  # time within which clients notice that a forwarder was killed
COLLAPSE_MARGIN = 3  # calls above its budget that a partner tolerates while it warms up
OUTAGE_FAULTS = frozenset({"refuse", "shut", "hang", "silent", "errors"})


class Span(NamedTuple):
    """Interval of time, in microseconds."""

    start_us: int
    end_us: int


@dataclass(frozen=True, slots=True)
class OrderedCall:
    """Call with a message that has an order key; ambiguous if the message may have been executed."""

    entry: EventLogEntry
    end_us: int
    is_ambiguous: bool


class RuleChecker:
    """Checker for the event log of one run."""

    def __init__(
        self, entries: Iterable[EventLogEntry], scenario: Scenario, forwarder: ForwarderConfig
    ) -> None:
        self.entries = sorted(entries, key=lambda entry: entry.at_us)
        self.scenario, self.forwarder, self.policy = scenario, forwarder, forwarder.policy
        self.classes: Mapping[str, MessageClassConfig] = {c.name: c for c in forwarder.classes}
        self.result = RuleCheckResult()
        self.entries_by_kind: dict[EventKind, list[EventLogEntry]] = defaultdict(list)
        for entry in self.entries:
            self.entries_by_kind[entry.kind].append(entry)
        self.submissions: list[Submission] = []

    def check(self) -> RuleCheckResult:
        """Check all rules, compute the figures and return both."""
        collected = collect_submissions(self.entries, self.classes)
        self.submissions = collected.submissions
        for message in collected.unexpected_replies:
            self._add_violation(Rule.LOST, f"{message}: unexpected final reply")
        self._check_final_replies()
        self._check_effects()
        self._check_drains()
        self._check_fail_back()
        self._check_order()
        self._check_retry_after()
        compute_figures(self.result, self.entries, self.submissions, self.forwarder)
        self.result.zone_outages = find_zone_outages(self.entries, self.scenario, self.policy)
        return self.result

    def _add_violation(self, rule: Rule, description: str) -> None:
        self.result.violations[rule].append(description)

    # Final replies

    def _check_final_replies(self) -> None:
        kills_us = defaultdict(list)
        for entry in self.entries_by_kind[EventKind.FORWARDER_KILLED]:
            kills_us[entry.source].append(entry.at_us)
        pauses = defaultdict(list)
        for entry in self.entries_by_kind[EventKind.FORWARDER_PAUSED]:
            pauses[entry.source].append(Span(entry.at_us, entry.at_us + entry["last"]))
        calls_us = defaultdict(list)
        for entry in self.entries_by_kind[EventKind.CALL_MESSAGE]:
            calls_us[entry["message"], entry["forwarder"]].append(entry["began"])
        for each in self.submissions:
            self._check_final_reply(each, kills_us[each.forwarder], pauses[each.forwarder])
            self._check_calls_after_end(each, calls_us[each.message, each.forwarder])

    def _check_final_reply(
        self, submission: Submission, kills_us: Sequence[int], pauses: Sequence[Span]
    ) -> None:
        message = submission.message
        if submission.replied_us == NEVER:
            lost_us = submission.connection_lost_us
            if not any(at - SLACK_US <= lost_us <= at + CRASH_REPORT_US for at in kills_us):
                self._add_violation(Rule.LOST, f"{message}: no final reply from {submission.forwarder}")
        elif submission.replied_us > self._latest_reply_us(submission, pauses):
            late_s = (submission.replied_us - submission.deadline_us) / 1e6
            self._add_violation(Rule.LOST, f"{message}: final reply {late_s:.3f} s after its deadline")

    def _latest_reply_us(self, submission: Submission, pauses: Sequence[Span]) -> int:
        """Return the latest permitted time of a final reply.

        A paused forwarder has to reply as soon as it runs again.
        """
        latest_us = submission.deadline_us + self.policy.answer_grace_us + SLACK_US
        for start_us, end_us in pauses:
            if start_us <= submission.submitted_us <= end_us:
                # The forwarder reads the message after the pause, and its time left counts from then.
                latest_us += end_us - submission.submitted_us
            if start_us <= latest_us <= end_us + SLACK_US:
                latest_us = end_us + self.policy.answer_grace_us + SLACK_US
        return latest_us

    def _check_calls_after_end(self, submission: Submission, calls_us: Sequence[int]) -> None:
        end_us = submission.ended_us + SLACK_US
        for began_us in calls_us:
            if end_us < began_us < submission.resubmitted_us:
                late_s = (began_us - end_us) / 1e6
                self._add_violation(
                    Rule.LOST, f"{submission.message}: sent {late_s:.3f} s after its final reply"
                )

    # Side effects

    def _check_effects(self) -> None:
        executions: dict[str, list[EventLogEntry]] = defaultdict(list)
        for entry in self.entries_by_kind[EventKind.MESSAGE_EXECUTED]:
            executions[entry["message"]].append(entry)
        for message, found in executions.items():
            effect = self.classes[found[0]["message_class"]].idempotency
            if len(found) > 1 and effect != "safe":
                self._add_violation(Rule.EFFECT, f"{message} ({effect}): executed {len(found)} times")
        for submission in self.submissions:
            if submission.message_class.idempotency != "unsafe" or submission.reply_code // 100 != 4:
                continue
            for entry in executions[submission.message]:
                is_own = entry["forwarder"] == submission.forwarder
                if is_own and submission.submitted_us <= entry.at_us < submission.resubmitted_us:
                    self._add_violation(Rule.EFFECT, f"{submission.message}: refused, but it was executed")

    # Drains

    def _check_drains(self) -> None:
        drained_us: dict[tuple[str, str], int] = {}  # start of the drain, by forwarder and target
        for entry in self.entries:
            if entry.kind is EventKind.UPDATE_SENT:
                self._apply_update(entry, drained_us)
            elif entry.kind is EventKind.CALL_STARTED:
                drain_us = drained_us.get((entry["forwarder"], entry["target"]), NEVER)
                if entry["began"] > drain_us + self.policy.drain_grace_us + SLACK_US:
                    late_s = (entry["began"] - drain_us) / 1e6
                    self._add_violation(
                        Rule.DRAIN,
                        f"{entry['target']}: call {late_s:.3f} s after {entry['forwarder']} got the drain",
                    )

    @staticmethod
    def _apply_update(entry: EventLogEntry, drained_us: dict[tuple[str, str], int]) -> None:
        if entry["kind"] == "full":
            for forwarder, target in list(drained_us):
                if forwarder == entry["forwarder"] and entry["states"].get(target) == "ready":
                    del drained_us[forwarder, target]
        for target, state in entry["states"].items():
            if state == "ready":
                drained_us.pop((entry["forwarder"], target), None)
            else:
                drained_us.setdefault((entry["forwarder"], target), entry.at_us)

    # Recovery of partners

    def _check_fail_back(self) -> None:
        for partner in self.scenario.partners:
            entries = [entry for entry in self.entries if entry.source == partner.name]
            full_rate = partner.max_calls_per_s or partner.warm_calls_per_s
            start_us: int | None = None
            for entry in entries:
                if entry.kind is not EventKind.FAULT:
                    continue
                if entry["on"] and entry["kind"] in OUTAGE_FAULTS:
                    start_us = entry.at_us if start_us is None else start_us
                if not entry["on"] and entry["cold"] and start_us is not None:
                    self._check_recovery(partner.name, entries, Span(start_us, entry.at_us), full_rate)
                    start_us = None

    def _check_recovery(
        self, partner: str, entries: Sequence[EventLogEntry], outage: Span, full_rate: float
    ) -> None:
        """Check the calls after an outage against the budget of a partner that warms up.

        An overload is a violation only if two thirds of the calls come from forwarders aware of the outage.
        """
        policy, end_us = self.policy, outage.end_us
        calls = [
            entry
            for entry in entries
            if entry.kind is EventKind.CALL_STARTED and end_us <= entry.at_us <= end_us + policy.warm_up_us
        ]
        aware, is_any_aware = find_aware_forwarders(entries, outage)
        first = 0
        for index, call in enumerate(calls):
            while calls[first].at_us < call.at_us - policy.collapse_window_us:
                first += 1
            since_us = call.at_us - end_us
            start_capacity = policy.start_capacity
            capacity = min(1.0, start_capacity + (1 - start_capacity) * since_us / max(1, policy.warm_up_us))
            budget = (
                policy.collapse_multiple * capacity * full_rate * policy.collapse_window_us / 1e6
                + COLLAPSE_MARGIN
            )
            window = calls[first : index + 1]
            if len(window) <= budget:
                continue
            aware_calls = sum(is_any_aware or each["forwarder"] in aware for each in window)
            if aware_calls * 3 >= 2 * len(window):
                self._add_violation(
                    Rule.FAIL_BACK,
                    f"{partner}: {len(window)} calls with a budget of {budget:.0f}, {since_us / 1e6:.1f} s"
                    f" after its recovery, {aware_calls} of them from forwarders aware of the outage",
                )
                return

    # Order keys

    def _check_order(self) -> None:
        submissions: dict[tuple[str, str], list[Submission]] = defaultdict(list)
        for each in self.submissions:
            if each.order_key is not None and each.message_class.is_ordered:
                submissions[each.forwarder, each.order_key].append(each)
        for (forwarder, order_key), calls in self._find_ordered_calls().items():
            calls.sort(key=lambda call: call.entry.at_us)
            self._check_overlaps(order_key, calls)
            for call in calls:
                self._check_predecessors(order_key, call.entry, submissions[forwarder, order_key])

    def _find_ordered_calls(self) -> dict[tuple[str, str], list[OrderedCall]]:
        """Return the calls with messages that have an order key, by forwarder and key."""
        ends: dict[tuple[str, str], list[EventLogEntry]] = defaultdict(list)
        for entry in self.entries:
            if entry.kind in (EventKind.CALL_REPLIED, EventKind.CALL_LOST):
                ends[entry["forwarder"], entry["message"]].append(entry)
        calls: dict[tuple[str, str], list[OrderedCall]] = defaultdict(list)
        for entry in self.entries_by_kind[EventKind.CALL_MESSAGE]:
            if entry["key"] is None or not self.classes[entry["message_class"]].is_ordered:
                continue
            forwarder = entry["forwarder"]
            later = (end for end in ends[forwarder, entry["message"]] if end.at_us >= entry.at_us)
            end = next(later, None)
            call = OrderedCall(entry, entry.at_us, False)
            if end is not None:
                call = OrderedCall(entry, end.at_us, end.kind is EventKind.CALL_LOST)
            calls[forwarder, entry["key"]].append(call)
        return calls

    def _check_overlaps(self, order_key: str, calls: Sequence[OrderedCall]) -> None:
        for earlier, later in pairwise(calls):
            is_same = earlier.entry["message"] == later.entry["message"]
            rest_us = self.policy.order_key_cooldown_us if earlier.is_ambiguous and not is_same else 0
            if later.entry.at_us < earlier.end_us + rest_us - SLACK_US:
                self._add_violation(
                    Rule.ORDER,
                    f"key {order_key}: {later.entry['message']} sent before {earlier.entry['message']} ended",
                )

    def _check_predecessors(
        self, order_key: str, call: EventLogEntry, submissions: Sequence[Submission]
    ) -> None:
        own = [
            each
            for each in submissions
            if each.message == call["message"] and each.submitted_us <= call.at_us
        ]
        if not own:
            return
        for each in submissions:
            is_earlier = each.submitted_us + SLACK_US < own[-1].submitted_us
            if is_earlier and each.ended_us > call["began"] + SLACK_US:
                self._add_violation(
                    Rule.ORDER,
                    f"key {order_key}: {call['message']} sent before earlier {each.message} finished",
                )

    # Retry-After

    def _check_retry_after(self) -> None:
        waits: dict[tuple[str, str], list[Span]] = defaultdict(list)
        for entry in self.entries_by_kind[EventKind.CALL_REPLIED]:
            if entry["wait"]:
                span = Span(entry.at_us, entry.at_us + entry["wait"] * 1000)
                waits[entry.source, entry["forwarder"]].append(span)
        for entry in self.entries_by_kind[EventKind.CALL_STARTED]:
            for start_us, end_us in waits[entry.source, entry["forwarder"]]:
                if start_us + SLACK_US < entry["began"] < end_us:
                    early_s = (end_us - entry["began"]) / 1e6
                    self._add_violation(
                        Rule.WAIT,
                        f"{entry.source}: {entry['forwarder']} called {early_s:.3f} s too early",
                    )
                    break


class AwareForwarders(NamedTuple):
    """Forwarders that noticed an outage, and whether an unidentified one noticed it."""

    names: set[str]
    is_any_aware: bool


def find_aware_forwarders(entries: Iterable[EventLogEntry], outage: Span) -> AwareForwarders:
    """Return the forwarders whose calls to a partner failed or were rejected during its outage.

    The forwarder of a lost connection is unknown, so each one counts as aware of it, which is the stricter
    reading of the rule.
    """
    names, is_any_aware = set(), False
    for entry in entries:
        if not outage.start_us <= entry.at_us <= outage.end_us:
            continue
        is_rejected = entry.kind is EventKind.CALL_REPLIED and entry["code"] >= 400
        if is_rejected or entry.kind is EventKind.CALL_LOST:
            names.add(entry["forwarder"])
        if entry.kind in (EventKind.CONNECTION_REFUSED, EventKind.CONNECTION_ABANDONED):
            is_any_aware = True
    return AwareForwarders(names, is_any_aware)

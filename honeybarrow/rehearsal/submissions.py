"""Submissions of a run, collected from its event log, and the figures computed from them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from honeybarrow.config.schema import ForwarderConfig, MessageClassConfig
from honeybarrow.rehearsal.event_log import EventKind, EventLogEntry
from honeybarrow.rehearsal.rule_check_result import (
    NO_OUTCOME,
    OUTCOME_OF_REPLY,
    SUBMISSIONS,
    ClassFigures,
    RuleCheckResult,
)

NEVER = 1 << 62


@dataclass(slots=True)
class Submission:
    """Submission of a message to a forwarder; times in microseconds, ``NEVER`` if it did not happen."""

    message: str
    message_class: MessageClassConfig
    forwarder: str
    order_key: str | None
    submitted_us: int
    deadline_us: int
    replied_us: int = NEVER
    reply_code: int = 0
    connection_lost_us: int = NEVER
    resubmitted_us: int = NEVER  # time of the next submission of this message

    @property
    def ended_us(self) -> int:
        """Time at which the client received a reply or lost the connection."""
        return min(self.replied_us, self.connection_lost_us)


@dataclass(frozen=True, slots=True)
class CollectedSubmissions:
    """All submissions in order of time, and the ids of messages with an unexpected final reply."""

    submissions: list[Submission]
    unexpected_replies: list[str]


def collect_submissions(
    entries: Iterable[EventLogEntry], classes: Mapping[str, MessageClassConfig]
) -> CollectedSubmissions:
    """Return the submissions found in ``entries``, which are sorted by time."""
    latest: dict[str, Submission] = {}
    collected = CollectedSubmissions([], [])
    for entry in entries:
        message = str(entry["message"])
        if entry.kind is EventKind.MESSAGE_SUBMITTED:
            submission = Submission(
                message,
                classes[entry["message_class"]],
                entry["forwarder"],
                entry["key"],
                entry.at_us,
                entry.at_us + entry["left"],
            )
            if message in latest:
                latest[message].resubmitted_us = entry.at_us
            latest[message] = submission
            collected.submissions.append(submission)
        elif entry.kind is EventKind.FINAL_REPLY and entry.source != entry["forwarder"]:
            known = latest.get(message)
            if known is None or known.replied_us < NEVER:
                collected.unexpected_replies.append(message)
            else:
                known.replied_us, known.reply_code = entry.at_us, entry["code"]
        elif entry.kind is EventKind.SUBMISSION_LOST and message in latest:
            latest[message].connection_lost_us = entry.at_us
    return collected


def compute_figures(
    result: RuleCheckResult,
    entries: Sequence[EventLogEntry],
    submissions: Sequence[Submission],
    forwarder: ForwarderConfig,
) -> None:
    """Add the counts and the figures of each message class to ``result``."""
    for entry in entries:
        result.counts[entry.kind] += 1
    result.counts[SUBMISSIONS] = len(submissions)
    for submission in submissions:
        result.counts[OUTCOME_OF_REPLY.get(submission.reply_code // 100, NO_OUTCOME)] += 1
    created = {each["message"]: each for each in entries if each.kind is EventKind.MESSAGE_CREATED}
    messages: dict[str, float] = defaultdict(float)
    in_time: dict[str, float] = defaultdict(float)
    utility: dict[str, float] = defaultdict(float)
    for entry in created.values():
        messages[entry["message_class"]] += 1
    for submission in submissions:
        if submission.reply_code // 100 != 2:
            continue
        message_class = submission.message_class
        age_us = submission.replied_us - created[submission.message].at_us
        in_time[message_class.name] += age_us <= message_class.latency_objective_us
        utility[message_class.name] += compute_utility_at(message_class, age_us, forwarder.utility_decay)
    for name in (each.name for each in forwarder.classes):
        if total := messages[name]:
            result.class_figures[name] = ClassFigures(total, in_time[name] / total, utility[name] / total)


def compute_utility_at(message_class: MessageClassConfig, age_us: int, decay: str) -> float:
    """Return the utility of a message delivered at this age, between 1 and the class's late utility."""
    objective_us, late_utility = message_class.latency_objective_us, message_class.late_utility
    if age_us <= objective_us:
        return 1.0
    if decay == "halves":
        return float(max(late_utility, 0.5 ** ((age_us - objective_us) / max(1, objective_us))))
    lateness = min(1.0, (age_us - objective_us) / max(1, message_class.deadline_us - objective_us))
    return 1.0 - (1.0 - late_utility) * lateness

"""Result of a rule check: violations by rule, figures of the run, and the printed report."""

from __future__ import annotations

import enum
from collections import defaultdict
from dataclasses import dataclass, field

from honeybarrow.rehearsal.event_log import EventKind
from honeybarrow.rehearsal.zone_outages import ZoneOutage, format_zone_outages

MAX_EXAMPLES = 5  # violations of each rule that the report describes


class Rule(enum.StrEnum):
    """Rules that a forwarder has to keep. The values are printed in reports."""

    LOST = "lost"  # each submission gets exactly one final reply before its deadline
    EFFECT = "effect"  # no forbidden second execution; no refusal of a message that was executed
    DRAIN = "drain"  # no calls to a draining endpoint
    FAIL_BACK = "fail-back"  # no overload of a partner that recovers from an outage
    ORDER = "order"  # messages with the same order key are executed one at a time
    WAIT = "wait"  # no calls before Retry-After has passed


RULES = tuple(Rule)
SUBMISSIONS = "hand-ins"  # name of the count of submissions in reports
OUTCOME_OF_REPLY = {2: "delivered", 4: "refused", 5: "failed"}  # by the first digit of the reply's code
NO_OUTCOME = "without answer"  # name of the count of submissions without a final reply
REPORTED_COUNTS = (
    EventKind.MESSAGE_CREATED,
    SUBMISSIONS,
    *OUTCOME_OF_REPLY.values(),
    NO_OUTCOME,
    EventKind.CALL_STARTED,
    EventKind.MESSAGE_EXECUTED,
)


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """Figures of a message class: number of messages, share delivered in time, share of the utility."""

    messages: float
    in_time_share: float
    utility_share: float


@dataclass(slots=True)
class RuleCheckResult:
    """Descriptions of the violations by rule, and the figures of a run."""

    violations: dict[Rule, list[str]] = field(default_factory=lambda: {rule: [] for rule in RULES})
    counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    class_figures: dict[str, ClassFigures] = field(default_factory=dict)
    zone_outages: list[ZoneOutage] = field(default_factory=list)

    @property
    def has_passed(self) -> bool:
        """Whether no rule was violated."""
        return not any(self.violations.values())

    @property
    def violated_rules(self) -> tuple[Rule, ...]:
        """The rules that were violated."""
        return tuple(rule for rule, violations in self.violations.items() if violations)


def format_report(result: RuleCheckResult, name: str, seed: int) -> str:
    """Return a result as a printable report, headed by the scenario's name and seed."""
    outcome = "all rules held" if result.has_passed else "RULES BROKEN"
    lines = [f"rehearsal {name}, seed {seed}: {outcome}", ""]
    for rule, violations in result.violations.items():
        lines.append(f"  {rule:10} {'held' if not violations else f'{len(violations)} breaks'}")
        lines.extend(f"             {text}" for text in violations[:MAX_EXAMPLES])
    lines += ["", f"  {'class':16} {'asked':>7} {'in full':>8} {'worth':>7}"]
    for message_class, row in result.class_figures.items():
        lines.append(
            f"  {message_class:16} {row.messages:7.0f} {row.in_time_share:8.3f} {row.utility_share:7.3f}"
        )
    lines += ["", "  " + ", ".join(f"{key} {result.counts[key]}" for key in REPORTED_COUNTS)]
    if result.zone_outages:
        lines += ["", *format_zone_outages(result.zone_outages)]
    return "\n".join(lines)

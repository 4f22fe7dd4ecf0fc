"""Mapping of complete HTTP responses to attempt outcomes, as defined by the platform's protocol."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence

from honeybarrow.delivery.outcome import AttemptOutcome
from honeybarrow.events import AttemptStatus

DELIVERED_STATUS, GONE_STATUS, EXHAUSTED_STATUS = 200, 410, 504
END_STATUSES = (GONE_STATUS, EXHAUSTED_STATUS)  # after which a message is never sent again
MAX_LOAD_REPORT_BYTES = 1024
MAX_WAIT_DIGITS = 9  # of a delay in milliseconds


def parse_load_report(value: bytes, fields: Sequence[str]) -> tuple[float, ...]:
    """Return the values of a load report in the order of ``fields``; empty if any is missing or invalid."""
    if not fields or not value or len(value) > MAX_LOAD_REPORT_BYTES:
        return ()
    try:
        report = json.loads(value)
        row = tuple(float(report[name]) for name in fields)
    except (ValueError, TypeError, KeyError, RecursionError, OverflowError):
        return ()
    return row if all(math.isfinite(each) and each >= 0 for each in row) else ()


def classify_response(
    status: int, fields: dict[bytes, bytes], load_report_fields: Sequence[str]
) -> AttemptOutcome:
    """Return the outcome of a response. The names in ``fields`` are lower case."""
    load = parse_load_report(fields.get(b"x-backend-load", b""), load_report_fields)
    match status:
        case 200:
            return AttemptOutcome(AttemptStatus.OK, load_report=load)
        case 429:
            wait = fields.get(b"x-come-back-ms", b"")
            wait_ms = int(wait) if wait.isdigit() and len(wait) <= MAX_WAIT_DIGITS else 0
            return AttemptOutcome(AttemptStatus.FULL, True, wait_ms * 1000, load, reason="429")
        case 503:
            if fields.get(b"x-line-busy") == b"1":
                return AttemptOutcome(
                    AttemptStatus.NOT_SENT, True, load_report=load, reason="no slot free", no_slot_free=True
                )
            return AttemptOutcome(AttemptStatus.FULL, True, load_report=load, reason="503")
        case 504:
            # A further call could not succeed, also if this response is that of another message.
            return AttemptOutcome(
                AttemptStatus.NOT_SENT,
                True,
                load_report=load,
                reason="no attempt left",
                is_over=True,
                owes_notification=True,
            )
        case 410:
            return AttemptOutcome(
                AttemptStatus.NOT_SENT, True, load_report=load, reason="message completed", is_over=True
            )
    return AttemptOutcome(AttemptStatus.ERROR, load_report=load, reason=str(status))

"""Ended messages on real processes: endpoints answer 410 and 504, and their connections fail just then."""

from __future__ import annotations

from pathlib import Path

from honeybarrow.soak.copies import COPY_DELAYS_S, CopyForm, CopyTiming
from honeybarrow.soak.endpoints import EndpointMode
from honeybarrow.soak.plan import Fault, FaultKind, SoakSpec
from honeybarrow.soak.run import run_soak
from tests.test_copied_responses import describe

FORWARDERS = tuple(f"f{number:02d}" for number in range(12))
ENDPOINTS = ("e1", "e2", "e3", "e4")
LOAD_S = 8.0
SPEC = SoakSpec(
    57,
    forwarders=len(FORWARDERS),
    destinations=4,
    endpoints_per_destination=1,
    load_s=LOAD_S,
    rate_per_s=25.0,
    end_share=0.2,
)


def fail_endpoints() -> list[Fault]:
    """Return for each endpoint all failures of a response and of its connection, one after the other."""
    modes = (
        EndpointMode.RESET,
        EndpointMode.CLOSE_IDLE,
        EndpointMode.MALFORMED,
        EndpointMode.CUT_CLOSE,
        EndpointMode.CUT_SILENT,
    )
    step_s = LOAD_S / len(modes)
    return [
        Fault(FaultKind.ENDPOINT_MODE, step * step_s, step_s, endpoint, 0.1, 0.3, modes[(number + step) % 5])
        for number, endpoint in enumerate(ENDPOINTS)
        for step in range(len(modes))
    ]


def copy_responses() -> list[Fault]:
    """Return copies of responses for a part of the forwarders, with another delay for each."""
    return [
        Fault(FaultKind.COPY, 0.3, LOAD_S, name, delay_s, 0.3, f"endpoints {CopyForm.WHOLE} {timing}")
        for name, delay_s in zip(FORWARDERS[:8], COPY_DELAYS_S, strict=True)
        for timing in CopyTiming
    ]


def kill_after_ends() -> list[Fault]:
    """Return kills of the other forwarders soon after an end was told, with several delays."""
    return [
        Fault(FaultKind.KILL_AFTER_END, start_s, 2.0, name, delay_s)
        for name, delay_s in zip(FORWARDERS[8:], (0.06, 0.08, 0.2, 0.4), strict=True)
        for start_s in (0.5, 3.0, 5.5)
    ]


# Guards against: a message is called after an endpoint has called it over (report d58050).
def test_no_process_calls_a_message_after_its_end(tmp_path: Path) -> None:
    faults = [*fail_endpoints(), *copy_responses(), *kill_after_ends()]
    result = run_soak(SPEC, tmp_path / "run", None, faults)
    assert result.has_passed, describe(result)
    assert result.counts["over"] > 100

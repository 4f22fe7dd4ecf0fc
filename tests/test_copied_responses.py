"""Responses of endpoints that arrive twice, on real processes through the links of the soak."""

from __future__ import annotations

from pathlib import Path

import pytest

from honeybarrow.soak.copies import COPY_DELAYS_S, CopyForm, CopyTiming
from honeybarrow.soak.endpoints import EndpointMode
from honeybarrow.soak.plan import Fault, FaultKind, SoakSpec
from honeybarrow.soak.run import SoakResult, run_soak

FORWARDERS = tuple(f"f{number:02d}" for number in range(len(COPY_DELAYS_S)))
LOAD_S = 6.0
SPEC = SoakSpec(
    61,
    forwarders=len(FORWARDERS),
    destinations=2,
    endpoints_per_destination=1,
    load_s=LOAD_S,
    rate_per_s=25.0,
)


def run_with_copies(folder: Path, form: CopyForm, timing: CopyTiming) -> SoakResult:
    """Run one forwarder for each delay of a copy, while endpoints give two kinds of responses."""
    copies = [
        Fault(FaultKind.COPY, 0.3, LOAD_S, name, delay_s, 0.5, f"endpoints {form} {timing}")
        for name, delay_s in zip(FORWARDERS, COPY_DELAYS_S, strict=True)
        for _ in range(SPEC.destinations * 2)  # each copies the responses of a random destination
    ]
    modes = [
        Fault(FaultKind.ENDPOINT_MODE, 0.3, LOAD_S, endpoint, 0.1, 0.2, EndpointMode.OVERLOADED)
        for endpoint in ("e1", "e2")
    ]
    return run_soak(SPEC, folder / "run", None, [*copies, *modes])


def describe(result: SoakResult) -> str:
    stories = [
        "\n".join([f"{each.rule} {each.text}", *result.history.related_events(each.message)])
        for each in result.violations[:3]
    ]
    rules = sorted((each.rule.value, each.forwarder) for each in result.violations)
    return "\n".join([str(rules), *stories])


# Guards against: a copied response is taken for that of the next call on its connection.
@pytest.mark.parametrize(
    ("form", "timing"),
    [
        (CopyForm.WHOLE, CopyTiming.AFTER_DATA),
        (CopyForm.WHOLE, CopyTiming.AFTER_REQUEST),
        (CopyForm.TWICE, CopyTiming.AFTER_REQUEST),
        (CopyForm.PARTS, CopyTiming.AFTER_REQUEST),
        (CopyForm.CUT, CopyTiming.AFTER_DATA),
        (CopyForm.CUT, CopyTiming.AFTER_REQUEST),
    ],
)
def test_copied_responses_of_endpoints_break_no_rule(
    tmp_path: Path, form: CopyForm, timing: CopyTiming
) -> None:
    result = run_with_copies(tmp_path, form, timing)
    assert result.has_passed, describe(result)
    assert result.counts["accepted"] > 500

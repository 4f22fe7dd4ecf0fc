"""Names of one customer's settings never appear in the program or in the output for another customer."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.platform_harness import TARGET_ANSWER, PlatformHarness

ROOT = Path(__file__).parent.parent
SITES = sorted(ROOT.glob("deploy/sites/*/*.toml"))
# Header names of the platform's protocol, which all sites share.
PROTOCOL_HEADERS = {
    "X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left", "X-Consignee", "X-Repeat",
    "Idempotency-Key", "X-Backend-Load", "X-Line-Busy", "X-Come-Back-Ms",
}  # fmt: skip


def site_specific_names(site: Path) -> set[str]:
    """Return the names of classes, tenants, kinds, zones and headers that only this site uses."""
    values: dict[str, Any] = tomllib.loads(site.read_text())
    names = {values["name"], *values["net"]["zones"]}
    names |= {row["name"] for part in ("class", "tenant", "tier") for row in values.get(part, ())}
    names |= {kind["name"] for tier in values["tier"] for kind in tier["kind"]}
    real = site.parent / "real.json"
    if real.exists():
        names |= set(json.loads(real.read_text())["h"].values()) - PROTOCOL_HEADERS
    return names


@pytest.mark.parametrize("site", SITES, ids=lambda site: site.stem)
def test_no_name_of_a_site_occurs_in_the_program(site: Path) -> None:
    names = site_specific_names(site)
    assert len(names) >= 8
    pattern = re.compile("|".join(rf"(?<![\w-]){re.escape(name)}(?![\w-])" for name in names), re.I)
    files = [*ROOT.glob("honeybarrow/**/*.py"), *ROOT.glob("honeybarrow/**/*.star")]
    found = {(file.name, match[0]) for file in files for match in pattern.finditer(file.read_text())}
    assert len(files) > 100 and found == set()


def test_the_sites_of_the_project_share_no_class_tenant_or_kind() -> None:
    seen: set[str] = set()
    for site in SITES:
        names = site_specific_names(site) - set(
            json.loads((site.parent / "real.json").read_text())["h"].values()
        )
        assert not names & seen, site
        seen |= names
    assert len(SITES) >= 2


ONE: dict[str, Any] = {
    "services": [
        {"name": "tide-note", "aimUs": 3_000_000, "hardLimitUs": 9_000_000, "lateShare": 0.4},
        {"name": "berth-fee", "aimUs": 2_000_000, "hardLimitUs": 9_000_000, "idempotency": "single_shot"},
    ],
    "kinds": ["quay"],
    "tenants": [{"name": "nordby", "quotaPerS": 5.0}],
    "familyInfo": {"callSlots": 8},
    "limits": {"maxOpen": 100, "retryAfter": True, "maxRetryAfterUs": 3_000_000},
    "membershipMode": "on_request",
}
OTHER: dict[str, Any] = {
    "services": [
        {
            "name": "ward-call", "aimUs": 1_500_000, "hardLimitUs": 7_000_000, "idempotency": "guarded",
            "windowUs": 4_000_000,
        },
        {"name": "meal-list", "aimUs": 4_000_000, "hardLimitUs": 6_000_000, "idempotency": "free"},
    ],
    "kinds": ["ward"],
    "tenants": [{"name": "santiago", "quotaPerS": 7.0}],
    "familyInfo": {"callSlots": 5},
    "limits": {"maxOpen": 60, "retryAfter": True, "maxRetryAfterUs": 1_000_000},
    "membershipMode": "on_request",
}  # fmt: skip


async def post(platform: PlatformHarness, message: str, cls: str, account: str) -> int:
    return await platform.send_request(
        f"POST /{cls} HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: {message}\r\nX-Service-Class: {cls}\r\n"
        f"X-Account: {account}\r\nX-Time-Left: 6000m\r\nX-Consignee: dest=7\r\n"
        f"Idempotency-Key: k-{message}\r\nContent-Length: 2\r\n\r\n",
        b"hi",
    )


@pytest.mark.parametrize(("first", "second"), [(ONE, OTHER), (OTHER, ONE)])
def test_recovery_of_another_customers_state_folder_does_not_leak_its_names(
    tmp_path: Path, first: dict[str, Any], second: dict[str, Any]
) -> None:
    """Two forwarder processes use the same state folder with the settings of different customers."""

    async def run() -> None:
        platform = PlatformHarness(tmp_path, first)
        try:
            await platform.start_peers()
            old, new = ([row["name"] for row in each["services"]] for each in (first, second))
            old_account, account = (each["tenants"][0]["name"] for each in (first, second))
            platform.choose_answer = lambda message: None  # no call is answered
            await platform.start_forwarder()
            for number, cls in enumerate(old):
                assert await post(platform, f"m{number}", cls, old_account) == 202
            await platform.wait_until(lambda: len(platform.calls) == 2)
            await platform.end_forwarder(signal.SIGKILL)

            platform.settings = second
            platform.choose_answer = lambda message: TARGET_ANSWER
            await platform.start_forwarder()
            # A message whose class no longer exists fails with a notification and is never sent.
            await platform.wait_until(lambda: len(platform.notifications) == 2)
            given_up = [{"message": f"m{number}", "outcome": "given_up"} for number in (0, 1)]
            assert sorted(platform.notifications, key=str) == given_up and len(platform.calls) == 2
            for number, cls in enumerate(new):
                assert await post(platform, f"n{number}", cls, account) == 202
                assert await post(platform, f"o{number}", cls, old_account) == 400
                assert await post(platform, f"p{number}", old[number], account) == 400
            await platform.wait_until(lambda: sorted(platform.delivered) == ["n0", "n1"])
            log = platform.read_log().split("recovery_planned")[1]
            names = [*old, old_account, *first["kinds"]]
            assert not [name for name in names if name in log]
            assert await platform.end_forwarder(signal.SIGTERM) == 0
            left = b"".join(file.read_bytes() for file in platform.state.iterdir())
            assert not [name for name in new if name.encode() in left.split(b"n1")[-1]]
        finally:
            await platform.close()

    asyncio.run(run())

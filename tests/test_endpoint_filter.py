"""Tests of the endpoint filter, which publishes endpoints of avoided zones as draining."""

from __future__ import annotations

from honeybarrow.events import Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.fleet.endpoint_filter import EndpointFilter
from honeybarrow.fleet.zone_view import ZoneUsage

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE


def make_endpoint(target: str, zone: str, destination: int = 1, state: EndpointState = READY) -> Endpoint:
    return Endpoint(target, destination, state, "", zone, 10.0)


def full_update(*rows: Endpoint, version: int = 1) -> MembershipUpdate:
    return MembershipUpdate(UpdateKind.FULL, version, rows)


def changes_update(*rows: Endpoint, version: int = 2) -> MembershipUpdate:
    return MembershipUpdate(UpdateKind.CHANGES, version, rows)


def states_by_target(update: MembershipUpdate | None) -> dict[str, str]:
    return {entry.target: entry.state.value for entry in update.endpoints} if update else {}


class UsageTable:
    """Zone usage lookup that a test can change."""

    def __init__(self, **usage_by_zone: ZoneUsage) -> None:
        self.usage_by_zone = usage_by_zone

    def __call__(self, zone: str, destination: int) -> ZoneUsage:
        return self.usage_by_zone.get(zone, ZoneUsage.USED)


def test_avoided_zone_is_published_as_draining_and_later_as_ready() -> None:
    endpoint_filter, usages = EndpointFilter(), UsageTable()
    assert states_by_target(
        endpoint_filter.apply_update(full_update(make_endpoint("x", "a"), make_endpoint("y", "b")), usages)
    ) == {
        "x": "ready",
        "y": "ready",
    }
    assert endpoint_filter.refresh(usages) is None
    usages.usage_by_zone["b"] = ZoneUsage.AVOIDED
    assert states_by_target(endpoint_filter.refresh(usages)) == {"y": "draining"}
    assert endpoint_filter.refresh(usages) is None
    usages.usage_by_zone.clear()
    update = endpoint_filter.refresh(usages)
    assert states_by_target(update) == {"y": "ready"}
    assert update is not None and (update.kind, update.version) == (UpdateKind.CHANGES, 1)


def test_no_destination_remains_without_an_endpoint() -> None:
    endpoint_filter, usages = EndpointFilter(), UsageTable(b=ZoneUsage.AVOIDED)
    rows = (make_endpoint("x", "a"), make_endpoint("y", "b"), make_endpoint("z", "b", 2))
    assert states_by_target(endpoint_filter.apply_update(full_update(*rows), usages)) == {
        "x": "ready",
        "y": "draining",
        "z": "ready",
    }
    assert list(endpoint_filter.retained_destinations) == [2]
    # the register drains the last endpoint outside the avoided zone, so the other one is used again
    assert states_by_target(
        endpoint_filter.apply_update(changes_update(make_endpoint("x", "a", 1, DRAINING)), usages)
    ) == {
        "x": "draining",
        "y": "ready",
    }
    assert states_by_target(
        endpoint_filter.apply_update(changes_update(make_endpoint("x", "a")), usages)
    ) == {
        "x": "ready",
        "y": "draining",
    }
    assert states_by_target(
        endpoint_filter.apply_update(changes_update(make_endpoint("x", "a", 1, GONE)), usages)
    ) == {
        "x": "gone",
        "y": "ready",
    }
    assert states_by_target(
        endpoint_filter.apply_update(changes_update(make_endpoint("z", "b", 2, GONE)), usages)
    ) == {"z": "gone"}
    assert list(endpoint_filter.retained_destinations) == [1]


def test_the_registers_own_drain_takes_precedence() -> None:
    endpoint_filter, usages = EndpointFilter(), UsageTable()
    rows = (make_endpoint("x", "a"), make_endpoint("y", "b", 1, DRAINING))
    assert states_by_target(endpoint_filter.apply_update(full_update(*rows), usages)) == {
        "x": "ready",
        "y": "draining",
    }
    usages.usage_by_zone["b"] = ZoneUsage.AVOIDED
    assert endpoint_filter.refresh(usages) is None
    usages.usage_by_zone.clear()
    assert endpoint_filter.refresh(usages) is None
    assert states_by_target(
        endpoint_filter.apply_update(changes_update(make_endpoint("y", "b")), usages)
    ) == {
        "x": "ready",
        "y": "ready",
    }


def test_probed_zone_is_published_alone() -> None:
    endpoint_filter, usages = EndpointFilter(), UsageTable(b=ZoneUsage.AVOIDED)
    endpoint_filter.apply_update(
        full_update(make_endpoint("x", "a"), make_endpoint("y", "b"), make_endpoint("z", "a", 2)), usages
    )
    usages.usage_by_zone["b"] = ZoneUsage.PROBED
    assert states_by_target(endpoint_filter.refresh(usages)) == {"x": "draining", "y": "ready"}
    usages.usage_by_zone["b"] = ZoneUsage.AVOIDED
    assert states_by_target(endpoint_filter.refresh(usages)) == {"x": "ready", "y": "draining"}


def test_failed_update_is_passed_through_and_full_update_replaces_the_list() -> None:
    endpoint_filter, usages = EndpointFilter(), UsageTable(b=ZoneUsage.AVOIDED)
    failed = MembershipUpdate(UpdateKind.FAILED, 0)
    assert endpoint_filter.apply_update(failed, usages) is failed
    endpoint_filter.apply_update(full_update(make_endpoint("x", "a"), make_endpoint("y", "b")), usages)
    assert states_by_target(
        endpoint_filter.apply_update(full_update(make_endpoint("v", "b", 3), version=4), usages)
    ) == {"v": "ready"}
    assert (
        list(endpoint_filter.listed_endpoints) == ["v"] and endpoint_filter.get_published_state("x") is None
    )

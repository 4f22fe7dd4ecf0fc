"""Application of endpoint list updates: endpoints that are added, draining or removed."""

from honeybarrow import sender_state
from honeybarrow.actions import LogEvent, SetTimer, Subscribe
from honeybarrow.events import Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.policy.endpoint_health import INITIAL_LATENCY_US, eject
from honeybarrow.policy.rate_limit import new_scope
from honeybarrow.sender_state import EndpointHealth, EndpointRecord, SenderState
from honeybarrow.settings import WeightSource

POLL_BACKOFF_US = (500_000, 1_200_000)  # base and maximum delay of polls after a failure
POLL_TIMER = "ask"  # timer name on the wire


def on_membership_update(state: SenderState, update: MembershipUpdate) -> None:
    """Apply a full list, a saved list or changes; after a failed request, schedule the next one."""
    if update.kind is UpdateKind.FAILED:
        _schedule_poll(state)
        return
    if update.kind is UpdateKind.SAVED and state.settings.polls_endpoint_list:
        state.actions.append(Subscribe())
    state.failed_polls = 0
    if update.kind is not UpdateKind.CHANGES:
        listed = {entry.target for entry in update.endpoints}
        for endpoint in [each for each in state.endpoints.values() if each.target not in listed]:
            sender_state.remove_endpoint(state, endpoint)
    for entry in update.endpoints:
        known = state.endpoints.get(entry.target)
        if entry.state is EndpointState.GONE:
            if known:
                sender_state.remove_endpoint(state, known)
            continue
        endpoint = known or _add_endpoint(state, entry)
        endpoint.is_usable = entry.state is EndpointState.READY
        state.changed_destinations[endpoint.destination.index] = endpoint.destination
        if state.settings.weight_source is not WeightSource.NONE:
            endpoint.scope.listed_limit = entry.weight
    _remove_unused_destinations(state)


def _remove_unused_destinations(state: SenderState) -> None:
    """Remove destinations without endpoints and messages.

    Messages in flight count: when their attempts fail, they wait for the endpoints of this record.
    """
    empty = [number for number, each in state.destinations.items() if not each.endpoints and not each.waiting]
    if not empty:
        return
    used = {message.destination.index for message in state.messages.values()}
    for number in empty:
        if state.destinations[number].index not in used:
            del state.destinations[number]


def _schedule_poll(state: SenderState) -> None:
    """Schedule the next request for the endpoint list with jittered backoff.

    Polling never stops: without the list the sender would keep sending to endpoints that drain.
    """
    state.failed_polls += 1
    wait = min(POLL_BACKOFF_US[1], POLL_BACKOFF_US[0] << min(state.failed_polls, 8))
    if state.settings.poll_interval_us:
        wait = min(wait, state.settings.poll_interval_us // 2)
    if state.failed_polls == 1:
        state.actions.append(LogEvent("endpoint_list_lost"))
    state.actions.append(SetTimer(POLL_TIMER, int(wait * state.rng.uniform(0.7, 1.0))))


def _add_endpoint(state: SenderState, entry: Endpoint) -> EndpointRecord:
    """Create the record of a newly listed endpoint and attach it to its destination and scope."""
    destination = sender_state.get_or_create_destination(state, entry.destination, entry.kind, new_scope)
    # Rate limit, Retry-After and recovery budget belong to the whole destination, or to each endpoint.
    scope = new_scope() if destination.kind.has_separate_routes else destination.shared_scope
    added = EndpointRecord(entry.target, entry.zone, destination, scope, state.now, INITIAL_LATENCY_US)
    # A new endpoint of a failing scope starts as ejected. Otherwise the whole backlog of the destination
    # would be sent to it at once.
    if failing := [each for each in scope.endpoints if each.health is not EndpointHealth.HEALTHY]:
        added.outage_since_us = failing[0].outage_since_us
        eject(state, added, "like_its_siblings")
    scope.endpoints.append(added)
    destination.endpoints.append(added)
    state.endpoints[entry.target] = added
    return added

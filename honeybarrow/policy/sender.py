"""The entry of the decisions: events in, actions out."""

import random
from collections.abc import Sequence

from honeybarrow import events as event_types
from honeybarrow.actions import Action, SetTimer, Subscribe
from honeybarrow.events import (
    AttemptFinished,
    LogAvailability,
    MembershipUpdate,
    MessageArrived,
    MessageExpired,
    TimerFired,
)
from honeybarrow.policy import admission, lifecycle, membership
from honeybarrow.policy.backoff import min_retries
from honeybarrow.sender_state import NEVER, SenderState, TenantQuota, complete
from honeybarrow.settings import Settings, UtilityDecay, validate_settings

WAKE_TIMER = "wake"
REMAINING_FIELD, LIMIT_FIELD = "x0", "x1"  # of load reports: share of a limit that is left, and the limit


class Sender:
    """One sender. Raises :class:`honeybarrow.errors.InvalidValueError` for settings that make no sense."""

    def __init__(self, settings: Settings, seed: int) -> None:
        validate_settings(settings)
        decay, classes, fields = settings.utility_decay, settings.classes, settings.load_report_fields
        self.state = SenderState(
            settings=settings,
            rng=random.Random(seed),
            classes={each.name: each for each in classes},
            min_retries={each.name: min_retries(each, decay, settings.max_attempts) for each in classes},
            kinds={each.name: each for each in settings.kinds},
            remaining_field=fields.index(REMAINING_FIELD) if REMAINING_FIELD in fields else -1,
            limit_field=fields.index(LIMIT_FIELD) if LIMIT_FIELD in fields else -1,
            is_deadline_ordered=decay is UtilityDecay.LINEAR and all(c.late_utility > 0 for c in classes),
            quotas={each.name: TenantQuota(each.quota_per_s / settings.senders) for each in settings.tenants},
        )
        self.classes = self.state.classes

    def handle(self, now_us: int, events: Sequence[event_types.Event]) -> list[Action]:
        """Take what has happened by ``now_us``, in order; return the actions to carry out, in order.

        Raises ``ValueError`` for a clock that runs backwards, an id that is open and an unknown class.
        """
        state = self.state
        if now_us < state.now:
            raise ValueError(f"now_us runs backwards: {now_us} after {state.now}")
        state.now = now_us
        state.actions = []
        for event in events:
            self._dispatch(event)
        lifecycle.check_due(state)
        admission.admit(state)
        lifecycle.shed_load(state)
        self._set_wake_timer()
        return state.actions

    def _dispatch(self, event: event_types.Event) -> None:
        state = self.state
        if isinstance(event, MessageArrived):
            lifecycle.on_message_arrived(state, event)
        elif isinstance(event, AttemptFinished):
            lifecycle.on_attempt_finished(state, event)
        elif isinstance(event, MessageExpired) and event.message in state.messages:
            complete(state, state.messages[event.message])
        elif isinstance(event, MembershipUpdate):
            membership.on_membership_update(state, event)
        elif isinstance(event, LogAvailability):
            state.is_log_available = event.is_available
            state.touched.update((each.index, each) for each in state.destinations.values())
        elif event == TimerFired(membership.POLL_TIMER):
            state.actions.append(Subscribe())
        elif event == TimerFired(WAKE_TIMER):
            state.wake_us = NEVER

    def _set_wake_timer(self) -> None:
        state = self.state
        admission.refresh(state)
        due_us = state.due[0][0] if state.due else NEVER
        soonest = int(min(due_us, state.wakes.first_key(NEVER)))
        if soonest < state.wake_us:
            state.wake_us = max(soonest, state.now + 1)
            state.actions.append(SetTimer(WAKE_TIMER, state.wake_us - state.now))

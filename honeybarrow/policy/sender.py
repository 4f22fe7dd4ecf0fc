"""The entry point of the policy: :class:`Sender` takes events and returns actions."""

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
    OutcomeRefuted,
    RetryAfterReceived,
    TimerFired,
)
from honeybarrow.policy import admission, lifecycle, membership
from honeybarrow.policy.backoff import min_retries
from honeybarrow.sender_state import NEVER, SenderState, TenantQuota, complete
from honeybarrow.settings import Settings, UtilityDecay, validate_settings

WAKE_TIMER = "wake"  # timer name on the wire
REMAINING_FIELD, LIMIT_FIELD = "x0", "x1"  # load report fields: remaining share of the limit, and the limit


class Sender:
    """The policy of one sender: a deterministic function of settings, seed and events.

    :raises honeybarrow.errors.InvalidValueError: for inconsistent settings.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        validate_settings(settings)
        decay, classes, fields = settings.utility_decay, settings.classes, settings.load_report_fields
        self.state = SenderState(
            settings=settings,
            rng=random.Random(seed),
            classes={each.name: each for each in classes},
            min_retries={each.name: min_retries(each, decay, settings.max_attempts) for each in classes},
            kinds={each.name: each for each in settings.kinds},
            remaining_field_index=fields.index(REMAINING_FIELD) if REMAINING_FIELD in fields else -1,
            limit_field_index=fields.index(LIMIT_FIELD) if LIMIT_FIELD in fields else -1,
            is_deadline_ordered=decay is UtilityDecay.LINEAR and all(c.late_utility > 0 for c in classes),
            quotas={each.name: TenantQuota(each.quota_per_s / settings.senders) for each in settings.tenants},
        )
        self.classes = self.state.classes

    def handle(self, now_us: int, events: Sequence[event_types.Event]) -> list[Action]:
        """Process a batch of events; return the actions to carry out, in order.

        :param now_us: time on the caller's monotonic clock, in microseconds.
        :param events: events up to that time, in order.
        :raises ValueError: if ``now_us`` is before the previous call, or if an arriving message has an
            unknown class or the id of an open message.
        """
        state = self.state
        if now_us < state.now:
            raise ValueError(f"now_us runs backwards: got {now_us}, the previous call had {state.now}")
        state.now = now_us
        state.actions = []
        for event in events:
            self._dispatch(event)
        lifecycle.check_message_timers(state)
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
        elif isinstance(event, OutcomeRefuted):
            lifecycle.on_outcome_refuted(state, event)
        elif isinstance(event, RetryAfterReceived):
            lifecycle.on_retry_after(state, event)
        elif isinstance(event, MessageExpired) and event.message in state.messages:
            complete(state, state.messages[event.message])
        elif isinstance(event, MembershipUpdate):
            membership.on_membership_update(state, event)
        elif isinstance(event, LogAvailability):
            state.is_log_available = event.is_available
            state.changed_destinations.update((each.index, each) for each in state.destinations.values())
        elif event == TimerFired(membership.POLL_TIMER):
            state.actions.append(Subscribe())
        elif event == TimerFired(WAKE_TIMER):
            state.wake_timer_us = NEVER

    def _set_wake_timer(self) -> None:
        """Request a timer for the next message timer or blocked destination, unless an earlier one is set."""
        state = self.state
        admission.refresh(state)
        due_us = state.message_timers[0][0] if state.message_timers else NEVER
        soonest = int(min(due_us, state.blocked_destinations.first_key(NEVER)))
        if soonest < state.wake_timer_us:
            state.wake_timer_us = max(soonest, state.now + 1)
            state.actions.append(SetTimer(WAKE_TIMER, state.wake_timer_us - state.now))

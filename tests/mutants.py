"""Runs a short scenario with faults against the forwarder or a mutant of it that violates one rule.

``python -m tests.mutants NAME`` prints the violated rules, one per line, then ``rules checked``. The mutant
``none`` is the unmodified forwarder.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import Deferred, succeed

from honeybarrow import config, delivery
from honeybarrow.config.schema import ForwarderConfig as Settings
from honeybarrow.delivery import forwarder
from honeybarrow.events import AttemptFinished, EndpointState, MembershipUpdate, MessageArrived
from honeybarrow.message_guard import MessageGuard
from honeybarrow.policy import admission, backoff, endpoint_health, lifecycle, membership, rate_limit
from honeybarrow.reactor import get_reactor
from honeybarrow.rehearsal import (
    SCENARIO_RECORD_TYPES,
    EventLog,
    RuleCheckResult,
    Scenario,
    ScenarioRunner,
    format_report,
)
from honeybarrow.rehearsal.fault_injection import LinkCondition
from honeybarrow.service import Service
from tests.helpers import FakePermit
from tests.live import RecordingLog

reactor = get_reactor()
SCENARIO_SCRIPT = """
classes = [
    message_class("note", aim = "1s", deadline = "3s", late_share = 0.4),
    message_class("pay", aim = "1s", deadline = "4s", effect = "unsafe"),
    message_class("step", aim = "2s", deadline = "4s", effect = "unsafe", keep_order = True),
]
front = listen("smtp", port = %d)
solo = forwarder("solo", classes = classes, register = register(port = %d), listen = [front],
    routing = routing(key = "header:X-Order-Key", time_left_ms = "header:X-Time-Left-Ms"),
    pool = pool(connect_timeout = "500ms"), rules = rules(cold = "4s", fall = "1s", settle = "400ms"),
    slots = 30, max_open = 300, max_wait = "1s", stop_grace = "2s")
def one(name, number, **more):
    return partner(name, number = number, stations = [station(name + "-a", port = 0)], **more)
partners = [
    one("limit.example", 1, rate = 12.0, wait = "450ms", service = "20ms"),
    one("pay.example", 2, service = "20ms"),
    one("step.example", 3, service = "60ms"),
    partner("drain.example", number = 4, stations = [station("d-a", port = 0), station("d-b", port = 0)]),
    one("cold.example", 5, service = "60ms", workers = 2),
]
def to(name, rate, cls, partner_name, keys = 0):
    parts = [part(cls, partner_name, keys = keys)]
    return client(name, rate = rate, forwarders = ["solo"], retries = 1, parts = parts)
clients = [to("a", 25.0, "note", "limit.example"), to("b", 10.0, "pay", "pay.example"),
    to("c", 16.0, "step", "step.example", 3), to("d", 15.0, "note", "drain.example"),
    to("e", 30.0, "note", "cold.example")]
troubles = [trouble("answer_lost", at = "500ms", last = "4s", who = "pay.example", size = 0.4),
    trouble("answer_lost", at = "500ms", last = "4s", who = "step.example", size = 0.2),
    trouble("drain", at = "1500ms", who = "d-a"),
    trouble("hang", at = "1s", last = "2500ms", who = "cold.example")]
day = rehearsal("rough", length = "6s", settle = "6s", partners = partners, clients = clients,
    troubles = troubles, register = stand_in_register(port = %d, delay = "50ms"))
"""


def patch(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    """Replace an attribute by the result of ``make`` for its old value."""
    setattr(owner, name, make(getattr(owner, name)))


def patch_decision(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    """Replace a policy function in its module and in each policy module that imports it by name."""
    old = getattr(owner, name)
    for module in (admission, backoff, endpoint_health, lifecycle, membership, rate_limit):
        if getattr(module, name, None) is old:
            setattr(module, name, make(old))


# The functions from here to `ignore_retry_after` take an original function and return a faulty one.


def drop_rejections(old: Any) -> Any:
    def complete(self: Any, accepted: Any, outcome: Any) -> None:
        if not isinstance(outcome, delivery.Refused):
            old(self, accepted, outcome)

    return complete


def reject_failures(old: Any) -> Any:
    def complete(self: Any, accepted: Any, outcome: Any) -> None:
        old(
            self, accepted, delivery.Refused(0, "mutant") if isinstance(outcome, delivery.Failed) else outcome
        )

    return complete


def reply_late(old: Any) -> Any:
    def complete(self: Any, accepted: Any, outcome: Any) -> None:
        delay = 0.0 if isinstance(outcome, delivery.Delivered) else 1.0
        reactor.callLater(delay, old, self, accepted, outcome)

    return complete


def send_after_reply(old: Any) -> Any:
    def complete(self: Any, accepted: Any, outcome: Any) -> None:
        old(self, accepted, outcome)
        target = next(iter(self.sender.state.endpoints), None)
        addresses = self.context.get_addresses(target) if target else []
        if addresses:
            payload, permit = accepted.submission.payload, FakePermit()
            reactor.callLater(0.4, self.context.transport.call, target, addresses, payload, 1_000_000, permit)

    return complete


def ignore_drains(old: Any) -> Any:
    def on_membership_update(state: Any, update: MembershipUpdate) -> None:
        rows = tuple(replace(row, state=EndpointState.READY) for row in update.endpoints)
        old(state, replace(update, endpoints=rows))

    return on_membership_update


def ignore_order_keys(old: Any) -> Any:
    def on_message_arrived(state: Any, event: MessageArrived) -> None:
        old(
            state,
            MessageArrived(
                event.message, event.class_name, event.destination, event.time_left_us, event.tenant
            ),
        )

    return on_message_arrived


def ignore_ambiguity(old: Any) -> Any:
    def on_attempt_finished(state: Any, event: AttemptFinished) -> None:
        old(state, replace(event, not_run=True))

    return on_attempt_finished


def ignore_retry_after(old: Any) -> Any:
    def on_attempt_finished(state: Any, event: AttemptFinished) -> None:
        old(state, replace(event, retry_after_us=0))
        for destination in state.destinations.values():
            destination.shared_scope.failure_backoff_until_us = 0

    return on_attempt_finished


def patch_decision_without_guard(module: Any, name: str, change: Callable[[Any], Any]) -> None:
    """Patch a policy function and disable the guard, which would catch the wrong decisions."""
    patch_decision(module, name, change)
    disable_guard()


def disable_guard() -> None:
    """Make the guard allow everything; otherwise it refuses the wrong decisions of a policy mutant."""
    for method in ("may_forward", "may_end", "may_acknowledge"):
        patch(MessageGuard, method, lambda old: lambda self, *args: None)


def skip_key_cooldown(old: Any) -> Any:
    return lambda self: replace(old(self), order_key_cooldown_us=0)


def remove_overload_protection() -> None:
    """Remove endpoint health, rate limits, rests, the slot limit and exponential backoff."""
    patch_decision(endpoint_health, "health_opens_us", lambda old: lambda state, endpoint: state.now)
    patch_decision(
        endpoint_health, "failure_backoff_until_us", lambda old: lambda state, scope, silent_us=0: state.now
    )
    patch_decision(endpoint_health, "eject", lambda old: lambda state, endpoint, reason: None)
    patch(rate_limit.RateLimiter, "on_rejection", lambda old: lambda self, *args: None)
    admission.MAX_SLOT_MULTIPLE = 1000.0
    patch_decision(backoff, "backoff_us", lambda old: lambda retry, rng: 100_000)


def resend_non_idempotent() -> None:
    patch_decision(
        backoff,
        "latest_start_us",
        lambda old: lambda message, min_useful_us: message.expires_us - min_useful_us,
    )
    patch_decision(backoff, "can_return", lambda old: lambda message: True)
    disable_guard()


def reject_ambiguous_failures() -> None:
    patch(forwarder.Forwarder, "_complete", reject_failures)
    disable_guard()


MUTANTS: dict[str, tuple[str, Callable[[], None]]] = {
    "none": ("", lambda: None),
    "rejections are not answered": ("lost", lambda: patch(forwarder.Forwarder, "_complete", drop_rejections)),
    "replies come late": ("lost", lambda: patch(forwarder.Forwarder, "_complete", reply_late)),
    "sends after the reply": ("lost", lambda: patch(forwarder.Forwarder, "_complete", send_after_reply)),
    "resends non-idempotent messages": ("effect", resend_non_idempotent),
    "treats every lost call as not run": (
        "effect",
        lambda: patch_decision_without_guard(lifecycle, "on_attempt_finished", ignore_ambiguity),
    ),
    "rejects messages that may have run": ("effect", reject_ambiguous_failures),
    "ignores drains": (
        "drain",
        lambda: patch_decision_without_guard(membership, "on_membership_update", ignore_drains),
    ),
    "overloads a recovering partner": ("fail-back", remove_overload_protection),
    "ignores order keys": (
        "order",
        lambda: patch_decision_without_guard(lifecycle, "on_message_arrived", ignore_order_keys),
    ),
    "skips the rest of order keys": ("order", lambda: patch(Settings, "policy_settings", skip_key_cooldown)),
    "ignores Retry-After": (
        "wait",
        lambda: patch_decision_without_guard(lifecycle, "on_attempt_finished", ignore_retry_after),
    ),
}


class InProcessLauncher:
    """Launches the forwarder as a service in this process."""

    def __init__(self) -> None:
        self.service: Service | None = None

    def start(self, settings: Settings) -> Deferred[None]:
        self.service = Service(
            settings,
            reactor,
            lambda: time.monotonic_ns() // 1000,
            lambda: "today",
            "test",
            7,
            lambda: None,
            lambda data: None,
            RecordingLog(),
            lambda error: print(f"crash: {error}"),
        )
        self.service.start()
        return succeed(None)

    def pause(self, name: str, duration_us: int) -> None: ...

    def kill(self, name: str) -> None:
        raise NotImplementedError("needs a forwarder process")

    def set_link_condition(self, sender: str, receiver: str, condition: LinkCondition) -> None:
        raise NotImplementedError("a single forwarder has no links")

    def delete_saved_state(self, name: str) -> None:
        raise NotImplementedError("needs a forwarder process")

    def stop_all(self) -> Deferred[None]:
        assert self.service is not None
        return self.service.stop()


def main(name: str) -> None:
    MUTANTS[name][1]()
    # Below the ephemeral port range, and different for each mutant, because mutants run concurrently.
    register_port = 27000 + 2 * list(MUTANTS).index(name)
    records = config.evaluate_script(
        "day.star", SCENARIO_SCRIPT % (register_port + 1, register_port, register_port), SCENARIO_RECORD_TYPES
    )
    scenario = next(record for record in records.values() if isinstance(record, Scenario))
    settings = config.find_all(records, Settings)
    event_log = EventLog(lambda: time.monotonic_ns() // 1000)
    runner = ScenarioRunner(scenario, settings, InProcessLauncher(), reactor, event_log, lambda text: None)

    def print_result(result: RuleCheckResult) -> None:
        print(format_report(result, name, scenario.seed), file=sys.stderr)
        for rule in result.violated_rules:
            print(rule)
        print("rules checked")

    reactor.callWhenRunning(
        lambda: (
            runner.run()
            .addCallbacks(print_result, lambda failure: print(failure))
            .addBoth(lambda _: reactor.stop())
        )
    )
    reactor.callLater(40, reactor.stop)
    reactor.run()


if __name__ == "__main__":
    assert delivery.Forwarder is forwarder.Forwarder
    main(sys.argv[1])

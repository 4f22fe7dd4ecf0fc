"""Mutation test of the fault search: removes one safeguard at a time and checks that the search detects it.

    python -m benchmarks.mutants [--days 40] [--jobs 8]

Each mutant runs random faults of one small scenario with seeds 1, 2, ... until a run violates a rule or
raises an exception.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

from honeybarrow import config, lab
from honeybarrow.addressing.connection_race import CloseConnection, ConnectionRace
from honeybarrow.admission.duplicate_detection import DuplicateDetector
from honeybarrow.config.schema import ForwarderConfig as Settings
from honeybarrow.delivery import Delivered, mail_call, mail_connection, outcome
from honeybarrow.delivery.forwarder import Forwarder
from honeybarrow.events import AttemptStatus
from honeybarrow.lab import fault_search
from honeybarrow.policy import admission, backoff, endpoint_health, lifecycle, membership
from honeybarrow.rehearsal import SCENARIO_RECORD_TYPES, Scenario
from honeybarrow.sender_state import add_waiting
from tests import mutants
from tests.mutants import disable_guard, patch_decision

SPOTS = 'spots = [spot(name + "_2", host = "127.0.0.2", port = 3000 + number)]'


def make_config() -> lab.SimulationConfig:
    """Return the scenario of ``tests.mutants`` with a second address for most endpoints."""
    text = mutants.SCENARIO_SCRIPT % (2525, 2600, 2600)
    text = text.replace('station(name + "-a", port = 0)', f'station(name + "-a", port = 0, {SPOTS})')
    records = config.evaluate_script("mutants.star", text, SCENARIO_RECORD_TYPES)
    return lab.SimulationConfig(
        config.find_one(records, Scenario, Path("mutants.star")), tuple(config.find_all(records, Settings))
    )


def patch(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    """Replace an attribute by what ``make`` returns for its present value."""
    setattr(owner, name, make(getattr(owner, name)))


def return_always(value: Any) -> Callable[[Any], Any]:
    """Return a factory for :func:`patch` whose function ignores its arguments and returns ``value``."""
    return lambda old: lambda *_, **__: value


def reply_late() -> None:
    """Delay final replies other than successes by one second."""

    def make(old: Any) -> Any:
        def complete(self: Any, message: Any, result: Any) -> None:
            delay_s = 0.0 if isinstance(result, Delivered) else 1.0
            self.context.clock.callLater(delay_s, old, self, message, result)

        return complete

    patch(Forwarder, "_complete", make)


def keep_aborted_connections() -> None:
    """Keep the connections of aborted calls open for later calls."""

    def make(old: Any) -> Any:
        def execute(self: Any, steps: Any) -> None:
            old(self, [step for step in steps if not isinstance(step, CloseConnection)])

        return execute

    patch(mail_call.MailCall, "_execute", make)


def move_after_data() -> None:
    """Let a call move to another address after its content was written."""

    def make(old: Any) -> Any:
        def on_content_written(self: Any, now: int) -> None:
            self._await_reply(now)

        return on_content_written

    patch(ConnectionRace, "on_content_written", make)


def skip_key_cooldown() -> None:
    """Send the next message of an order key at once after an ambiguous result."""
    patch(Settings, "policy_settings", lambda old: lambda self: replace(old(self), order_key_cooldown_us=0))


def remove_last_start() -> None:
    """Start attempts up to two seconds after the deadline."""
    patch_decision(
        backoff, "latest_start_us", lambda old: lambda message, min_useful_us: message.expires_us + 2_000_000
    )


def send_while_in_flight() -> None:
    """Let a message that is in flight be sent again."""

    def make(old: Any) -> Any:
        def send(state: Any, message: Any, call: Any) -> None:
            old(state, message, call)
            if message.in_flight and message.id not in message.destination.waiting:
                message.in_flight = 0
                add_waiting(state, message)

        return send

    patch_decision(admission, "send", make)


MUTANTS: dict[str, Callable[[], None]] = {
    "none": lambda: None,
    "module: resends non-idempotent messages": mutants.resend_non_idempotent,
    "module: every lost call is not run": lambda: patch_decision(
        lifecycle, "on_attempt_finished", mutants.ignore_ambiguity
    ),
    "module: ignores drains": lambda: patch_decision(
        membership, "on_membership_update", mutants.ignore_drains
    ),
    "module: ignores Retry-After": lambda: patch_decision(
        lifecycle, "on_attempt_finished", mutants.ignore_retry_after
    ),
    "module: ignores order keys": lambda: patch_decision(
        lifecycle, "on_message_arrived", mutants.ignore_order_keys
    ),
    "module: order keys do not rest": skip_key_cooldown,
    "module: no slow start, no health checks": lambda: patch_decision(
        endpoint_health, "call_interval_us", return_always(0)
    ),
    "module: no health, rate limit, rest": mutants.remove_overload_protection,
    "module: no bound on the last start": remove_last_start,
    "module: sent while in flight": send_while_in_flight,
    "module: ambiguous is retriable": lambda: patch_decision(
        backoff, "can_return", lambda old: lambda message: True
    ),
    "module: nothing is due": lambda: patch_decision(lifecycle, "check_message_timers", return_always(None)),
    "forwarder: rejections not answered": lambda: patch(Forwarder, "_complete", mutants.drop_rejections),
    "forwarder: replies late": reply_late,
    "forwarder: failures as rejections": lambda: patch(Forwarder, "_complete", mutants.reject_failures),
    "forwarder: loss is never ambiguous": lambda: patch(
        mail_call,
        "classify_connection_loss",
        lambda old: lambda connected, committed, why: outcome.classify_connection_loss(connected, False, why),
    ),
    "forwarder: timeout is never ambiguous": lambda: patch(
        mail_call,
        "classify_timeout",
        lambda old: lambda connected, committed: replace(old(connected, committed), not_run=True),
    ),
    "forwarder: error is success": lambda: patch(
        mail_connection,
        "classify_reply",
        lambda old: lambda reply, phase: replace(old(reply, phase), status=AttemptStatus.OK),
    ),
    "addresses: moves after the end of data": move_after_data,
    "addresses: nothing is closed": keep_aborted_connections,
    "admission: a duplicate is new": lambda: patch(DuplicateDetector, "record_accepted", return_always(None)),
}


def find_violation(name: str, max_runs: int) -> str:
    """Apply a mutant; return the first seed that detects it, and the violated rules or the error."""
    MUTANTS[name]()
    if name != "none":
        disable_guard()  # the guard would prevent the faults of most mutants
    simulation = make_config()
    for seed in range(1, max_runs + 1):
        result = fault_search.run_and_check(fault_search.draw_faults(simulation, seed))
        if result.violated_rules or result.error:
            return f"seed {seed}: {result.error[:70] or ', '.join(result.violated_rules)}"
    return f"not found in {max_runs} runs"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--days", type=int, default=40)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--one", default="")
    args = parser.parse_args()
    if args.one:
        print(find_violation(args.one, args.days))
        return
    started_s = time.monotonic()

    def run(name: str) -> str:
        command = [sys.executable, "-m", "benchmarks.mutants", "--one", name, "--days", str(args.days)]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        return done.stdout.strip() or done.stderr.strip().splitlines()[-1]

    with ThreadPoolExecutor(args.jobs) as threads:
        for name, text in zip(MUTANTS, threads.map(run, MUTANTS), strict=True):
            print(f"{name:40} {text}", flush=True)
    print(f"{time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    main()

"""Mutation test of the soak: whether it detects faults that are introduced into the forwarder.

    python -m benchmarks.soak_mutants [--seeds 6] [--jobs 3] [--one NAME]

A mutant is a copy of the package with some lines changed. Each one is run with the kinds of faults that it
is sensitive to, with seeds 1, 2, ..., until a rule breaks. A violation that the forwarder's guard logs counts
as a broken rule.
"""

from __future__ import annotations

import argparse
import shutil
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

import honeybarrow
from honeybarrow.soak.fault_shim import build_shim
from honeybarrow.soak.plan import FaultKind, SoakSpec
from honeybarrow.soak.run import run_soak

PACKAGE = Path(honeybarrow.__file__).parent
FORWARDERS = 10
LOAD_S = 12.0
FAULTS = 40
CLOCK_FAULTS = (FaultKind.CLOCK_STEP, FaultKind.CLOCK_STEP_AT_RESTART)
ENDPOINT_FAULTS = (FaultKind.ENDPOINT_MODE, FaultKind.ENDPOINT_CRASH, FaultKind.LINK)
CRASH_FAULTS = (FaultKind.KILL, FaultKind.TORN_WRITE)
FOLDER_FAULTS = (FaultKind.FOLDER, *CRASH_FAULTS)


@dataclass(frozen=True, slots=True)
class SourceChange:
    """A replacement of lines in one file."""

    file: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class SoakMutant:
    """A defect of the program, and the faults of the runs that should expose it."""

    changes: tuple[SourceChange, ...]
    kinds: tuple[FaultKind, ...]
    forwarders: int = FORWARDERS  # fewer if several faults must hit the same forwarder
    faults: int = FAULTS


CLIENT_FAULTS = (FaultKind.CLIENT_CROWD,)
COPY_FAULTS = (FaultKind.COPY, FaultKind.COPY, FaultKind.ENDPOINT_MODE)


def _mutant(
    kinds: tuple[FaultKind, ...],
    *changes: tuple[str, str, str],
    forwarders: int = FORWARDERS,
    faults: int = FAULTS,
) -> SoakMutant:
    return SoakMutant(tuple(SourceChange(*each) for each in changes), kinds, forwarders, faults)


GUARD_FILE = "message_guard.py"
REMOVE_RETRY_GUARD = (
    GUARD_FILE,
    "        spec = tracked.message_class\n        if spec.idempotency",
    "        return None\n        spec = tracked.message_class\n        if spec.idempotency",
)
REMOVE_ENDPOINT_GUARD = (
    GUARD_FILE,
    "        endpoint = self._endpoints.get(target)\n        if endpoint is None or not",
    "        return None\n        endpoint = self._endpoints.get(target)\n        if endpoint is None or not",
)
MUTANTS: dict[str, SoakMutant] = {
    "none": _mutant((*CLOCK_FAULTS, *ENDPOINT_FAULTS, *FOLDER_FAULTS)),
    "timers use the wall clock": _mutant(
        (*CLOCK_FAULTS, *ENDPOINT_FAULTS),
        ("resilient_reactor.py", "staticmethod(time.monotonic)", "staticmethod(time.time)"),
    ),
    "log time uses the wall clock": _mutant(
        (*CLOCK_FAULTS, *ENDPOINT_FAULTS, FaultKind.KILL),
        (
            "node/write_ahead_log.py",
            "return self.timeline.to_log_time_us(self._clocks.monotonic_us())",
            "return self._clocks.wall_us()",
        ),
    ),
    "the clock anchor is ignored at startup": _mutant(
        (*CLOCK_FAULTS, *ENDPOINT_FAULTS),
        ("node/write_ahead_log.py", "start_timeline(self._anchor, ", "start_timeline(None, "),
    ),
    "a paused listener does not resume": _mutant(
        (FaultKind.SYSTEM_CALL,),
        (
            "tcp_transports.py",
            "        if self.connected:\n            _watch(self.reactor, self.startReading, self._resume_accepting)",
            "        return",
        ),
        forwarders=4,
        faults=100,
    ),
    "a result is notified before it is recorded": _mutant(
        (*FOLDER_FAULTS, *ENDPOINT_FAULTS),
        (
            GUARD_FILE,
            "        if not tracked.is_result_recorded and now_us < tracked.expires_us:",
            "        if False:",
        ),
        forwarders=3,
        faults=70,
    ),
    "an attempt starts although it can't be recorded": _mutant(
        (*FOLDER_FAULTS, *ENDPOINT_FAULTS),
        (
            "delivery/attempts.py",
            "context.is_idempotent(self.message.submission.class_name)",
            "context.is_idempotent(self.message.submission.class_name) or True",
        ),
        ("policy/admission.py", "return state.is_log_available or message", "return True or message"),
        (
            "delivery/attempts.py",
            "        if not is_logged and not context.is_idempotent(",
            "        if False and not context.is_idempotent(",
        ),
        forwarders=3,
        faults=70,
    ),
    "a torn write is not truncated": _mutant(
        (*FOLDER_FAULTS, *ENDPOINT_FAULTS),
        (
            "node/segment_files.py",
            "            os.ftruncate(self._descriptor, self.sizes[self.newest])",
            "            self.sizes[self.newest] += written",
        ),
    ),
    "an unreadable segment is treated as empty": _mutant(
        (FaultKind.FOLDER, FaultKind.KILL, *ENDPOINT_FAULTS),
        (
            "node/segment_files.py",
            '        with open(self._path(segment), "rb") as file:\n            return file.read()',
            '        try:\n            with open(self._path(segment), "rb") as file:\n                return file.read()\n        except OSError:\n            return b""',
        ),
    ),
    "no margin for process stalls": _mutant(
        (FaultKind.STALL, FaultKind.PAUSE, *ENDPOINT_FAULTS),
        ("node/process.py", "MAX_STALL_US = 150_000", "MAX_STALL_US = 0"),
    ),
    "the idempotency window starts at the last attempt": _mutant(
        ENDPOINT_FAULTS,
        ("policy/lifecycle.py", "if call.sent_us < message.ambiguous_since_us:", "if True:"),
        (
            GUARD_FILE,
            "        if not not_run and tracked.ambiguous_since_us is None:",
            "        if not not_run:",
        ),
    ),
    "202 is sent before the message is recorded": _mutant(
        FOLDER_FAULTS,
        ("delivery/forwarder.py", "            if self._is_turn_logged:\n", "            if True:\n"),
    ),
    "drains are ignored": _mutant(
        (FaultKind.REPLACE, FaultKind.RELOAD),
        (
            "policy/membership.py",
            "endpoint.is_usable = entry.state is EndpointState.READY",
            "endpoint.is_usable = True",
        ),
        (
            "node/endpoint_list.py",
            "            if endpoint.state is EndpointState.READY:",
            "            if True:",
        ),
        REMOVE_ENDPOINT_GUARD,
    ),
    "Retry-After is ignored": _mutant(
        (FaultKind.ENDPOINT_MODE,),
        (
            "policy/lifecycle.py",
            "    scope = call.endpoint.scope\n    scope.retry_after_until_us = max(scope.retry_after_until_us, state.now + event.retry_after_us)",
            "    scope = call.endpoint.scope",
        ),
        REMOVE_ENDPOINT_GUARD,
    ),
    "an attempt in flight at a kill is forgotten": _mutant(
        (FaultKind.KILL, *ENDPOINT_FAULTS),
        (
            "recovery.py",
            "return min([*self.in_flight.values(), *finished], default=None)",
            "return min(finished, default=None)",
        ),
    ),
    "expired messages are resumed": _mutant(
        (FaultKind.KILL, FaultKind.TERMINATE, *ENDPOINT_FAULTS),
        (GUARD_FILE, "    if time_left_us <= 0:\n        return Refusal.EXPIRED\n", ""),
        ("recovery.py", "min(time_left_us, message_class.deadline_us)", "message_class.deadline_us"),
    ),
    "failed calls to discovery count as an outage": _mutant(
        (FaultKind.DISCOVERY_CROWD,),
        (
            "node/list_validity.py",
            "    CallEnding.REJECTED: dict.fromkeys(_ALL_BUT_DOWN, DiscoveryState.REJECTING),",
            "    CallEnding.REJECTED: dict.fromkeys(_ALL_BUT_DOWN, DiscoveryState.WENT_DOWN),",
        ),
        (
            "node/list_validity.py",
            "dict.fromkeys(_ALL_BUT_DOWN - {DiscoveryState.REJECTING}, DiscoveryState.BREAKING),",
            "dict.fromkeys(_ALL_BUT_DOWN, DiscoveryState.WENT_DOWN),",
        ),
        faults=12,
    ),
    "a silent watch is not reopened": _mutant(
        (FaultKind.REPLACE, FaultKind.DISCOVERY_LINK),
        (
            "node/discovery.py",
            "            self._set_timer(WATCH_TIMEOUT_S)\n",
            "            self._set_timer(None)\n",
        ),
    ),
    "order keys are ignored": _mutant(
        ENDPOINT_FAULTS,
        ("policy/lifecycle.py", "if spec.is_ordered and event.order_key is not None:", "if False:"),
        (
            GUARD_FILE,
            "        if key is None:\n            return None\n        first",
            "        if True:\n            return None\n        first",
        ),
    ),
    "a call never times out": _mutant(
        ENDPOINT_FAULTS,
        (
            "node/http_call.py",
            "    def _on_timeout(self) -> None:\n        self.timer = None\n",
            "    def _on_timeout(self) -> None:\n        self.timer = None\n        return\n",
        ),
    ),
    "a reset is treated as a failed connect": _mutant(
        (FaultKind.ENDPOINT_MODE, FaultKind.LINK),
        (
            "node/http_call.py",
            "elif not self.is_started or self.is_request_incomplete(connection):",
            "elif True:",
        ),
    ),
    "a notification is not sent again": _mutant(
        (FaultKind.DISCOVERY_LINK, FaultKind.SYSTEM_CALL, *ENDPOINT_FAULTS),
        (
            "node/notifications.py",
            "        if self.unacknowledged:\n            log.info(",
            "        if False:\n            log.info(",
        ),
    ),
    "non-idempotent messages are repeated": _mutant(
        ENDPOINT_FAULTS,
        ("policy/backoff.py", "        return -1\n", "        return latest\n"),
        REMOVE_RETRY_GUARD,
    ),
    "each response is that of the call that is out": _mutant(
        COPY_FAULTS,
        ("node/response_pairing.py", "        return self.responses == 0\n", "        return True\n"),
    ),
    "a surplus response confirms what was read": _mutant(
        COPY_FAULTS,
        (
            "node/http_connection.py",
            "                response.verdict.refute(evidence)\n            return\n",
            "                response.verdict.confirm()\n            return\n",
        ),
        forwarders=4,
        faults=100,
    ),
    "non-idempotent messages reuse connections": _mutant(
        COPY_FAULTS,
        (
            GUARD_FILE,
            "        spec.idempotency is Idempotency.NON_IDEMPOTENT\n        or (spec.idempotency",
            "        False\n        or (spec.idempotency",
        ),
        ("node/response_pairing.py", "        return self.responses == 0\n", "        return True\n"),
    ),
    "a failure on a reused connection is repeated at once": _mutant(
        COPY_FAULTS,
        (
            "node/response_pairing.py",
            "        return int(min(MAX_RETRY_HOLD_US, max(MIN_RETRY_HOLD_US, longest_us)))\n",
            "        return 0\n",
        ),
        (
            "node/http_connection_pool.py",
            "        self.clock.callLater(hold_s, connection.close)\n",
            "        self.clock.callLater(hold_s + 5.0, connection.close)\n",
        ),
        forwarders=4,
        faults=100,
    ),
    "copies of old items of the watch are applied": _mutant(
        (FaultKind.COPY, FaultKind.REPLACE),
        (
            "node/discovery.py",
            "is_news = self.newest_version is None or update.version > self.newest_version",
            "is_news = True",
        ),
    ),
    "a refuted delivery stays a delivery": _mutant(
        COPY_FAULTS,
        (
            "delivery/refutation.py",
            "return Decision.NOTIFY if ends_message else Decision.AMBIGUOUS",
            "return Decision.AMBIGUOUS",
        ),
        forwarders=4,
        faults=100,
    ),
    "an end is not recorded": _mutant(
        (FaultKind.KILL_AFTER_END,),
        (
            "delivery/forwarder.py",
            "                message_log.record_completed(message_id)\n",
            "                pass\n",
        ),
    ),
    "a cut 410 is ambiguous": _mutant(
        (FaultKind.ENDPOINT_MODE,),
        (
            "node/http_outcome.py",
            "END_STATUSES = (GONE_STATUS, EXHAUSTED_STATUS)",
            "END_STATUSES: tuple[int, ...] = (0, 0)",
        ),
    ),
    "a message without an attempt left is repeated": _mutant(
        (FaultKind.RELOAD,),
        (
            "node/http_outcome.py",
            "                is_over=True,\n                owes_notification=True,\n",
            "",
        ),
    ),
    "input is read without a reservation": _mutant(
        CLIENT_FAULTS,
        (
            "node/memory_budget.py",
            "        granted_bytes = min(wanted_bytes, max(0, self.allowance_bytes + free_bytes - held_bytes))\n",
            "        return wanted_bytes\n        granted_bytes = 0\n",
        ),
    ),
    "messages are accepted whatever their memory": _mutant(
        CLIENT_FAULTS,
        ("node/memory_budget.py", "        return has_room\n", "        return True\n"),
    ),
    "ids are forgotten with their process": _mutant(
        (FaultKind.REPEAT, FaultKind.KILL),
        ("node/write_ahead_log.py", "        self._restore_ids()\n", ""),
        forwarders=4,
    ),
    "ids are forgotten when their messages end": _mutant(
        (FaultKind.REPEAT,),
        (
            "node/submission.py",
            "if message in self.write_ahead_log.remembered_ids or self.forwarder.is_known(message):",
            "if self.forwarder.is_known(message):",
        ),
    ),
    "idle connections outlive their endpoint": _mutant(
        (FaultKind.TAKE_OVER,),
        ("node/process.py", "            self.pool.close_idle(target)\n", "            pass\n"),
        ("node/endpoint_list.py", " and self.addresses[target] == address", ""),
    ),
    "concurrent attempts that only the guard prevents": _mutant(
        ENDPOINT_FAULTS,
        (
            "policy/lifecycle.py",
            "        complete(state, message)\n    elif message.is_rejected:",
            "        complete(state, message)\n    elif message.is_rejected or event.not_run:",
        ),
    ),
}


def make_source(mutant: SoakMutant, folder: Path) -> Path:
    """Copy the package into a folder, apply the mutant's changes and return the folder.

    :raises ValueError: If the text to replace does not occur exactly once in its file.
    """
    copy = folder / "honeybarrow"
    shutil.copytree(PACKAGE, copy, ignore=shutil.ignore_patterns("__pycache__"))
    for change in mutant.changes:
        path = copy / change.file
        text = path.read_text(encoding="utf-8")
        if text.count(change.old) != 1:
            raise ValueError(f"{change.file}: found {text.count(change.old)} times, not once: {change.old!r}")
        path.write_text(text.replace(change.old, change.new), encoding="utf-8")
    return folder


def find_failing_seed(name: str, seeds: int) -> str:
    """Run a mutant and return a text with the first seed that breaks a rule, and the broken rules."""
    mutant = MUTANTS[name]
    with tempfile.TemporaryDirectory(prefix="honeybarrow-mutant-") as temporary_folder:
        folder = Path(temporary_folder)
        try:
            source = make_source(mutant, folder / "source")
        except ValueError as error:
            return f"can't be created: {error}"
        library = build_shim(folder)
        for seed in range(1, seeds + 1):
            spec = SoakSpec(seed, mutant.forwarders, load_s=LOAD_S, faults=mutant.faults, kinds=mutant.kinds)
            result = run_soak(spec, folder / f"run-{seed}", library, source=source)
            if not result.has_passed:
                rules = sorted({violation.rule.value for violation in result.violations})
                return f"seed {seed}: {', '.join(rules)}"
    return f"not found in {seeds} seeds"


def main(arguments: Sequence[str] | None = None) -> None:
    """Run all mutants, or the one named, and print the result of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--one", default="")
    args = parser.parse_args(arguments)
    names = [args.one] if args.one else list(MUTANTS)
    started_s = time.monotonic()
    with ThreadPoolExecutor(args.jobs) as threads, get_context("spawn").Pool(args.jobs) as pool:
        results = threads.map(lambda name: pool.apply(find_failing_seed, (name, args.seeds)), names)
        for name, text in zip(names, results, strict=True):
            print(f"{name:55} {text}", flush=True)
    print(f"{time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    main()

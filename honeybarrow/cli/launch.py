"""Rehearsals that run each forwarder in a separate process."""

from __future__ import annotations

import contextlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.error import CannotListenError, ProcessExitedAlready
from twisted.internet.protocol import ClientFactory, ProcessProtocol, Protocol
from twisted.python.failure import Failure

from honeybarrow.cli.lab import draw_plot
from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.reactor import get_reactor
from honeybarrow.rehearsal import EventLog, RuleCheckResult, Scenario, ScenarioRunner, format_report
from honeybarrow.rehearsal.fault_injection import LinkCondition, LinkRelays

START_TIMEOUT_S = 20.0  # enough to start an interpreter on a busy machine
POLL_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 40.0

reactor = get_reactor()


class ForwarderChild(ProcessProtocol):
    """A forwarder process whose output is appended to a file."""

    def __init__(self, log: Path) -> None:
        self.log = log.open("ab")
        self.ended: Deferred[None] = Deferred()

    def childDataReceived(self, childFD: int, data: bytes) -> None:
        """Append the output of the process to the file."""
        self.log.write(data)

    def processEnded(self, reason: Failure) -> None:
        """Close the file and fire :attr:`ended`."""
        self.log.close()
        self.ended.callback(None)


class _ConnectProbe(ClientFactory):
    """Checks once whether a front accepts connections."""

    noisy = False

    def __init__(self) -> None:
        self.is_open: Deferred[bool] = Deferred()

    def buildProtocol(self, addr: Any) -> Protocol:
        self.is_open.callback(True)
        return _ClosingProtocol()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.is_open.callback(False)


class _ClosingProtocol(Protocol):
    """Closes a connection as soon as it is made."""

    transport: Any = None

    def connectionMade(self) -> None:
        self.transport.abortConnection()


class ForwarderProcesses:
    """The forwarders of a scenario file, each run as a ``honeybarrow run`` process."""

    def __init__(
        self, file: Path, folder: Path, forwarders: Sequence[ForwarderConfig] = (), seed: int = 1
    ) -> None:
        self.file, self.folder = file, folder
        self.children: dict[str, tuple[ForwarderChild, Any]] = {}
        self.settings = {forwarder.name: forwarder for forwarder in forwarders}
        self.relays = LinkRelays(reactor, forwarders, random.Random(f"links/{seed}"))

    def set_link_condition(self, sender: str, receiver: str, condition: LinkCondition) -> None:
        """Set the condition of the link from one forwarder to another."""
        self.relays.set_link_condition(sender, receiver, condition)

    def start(self, settings: ForwarderConfig) -> Deferred[None]:
        """Start a forwarder; the Deferred fires when its first front accepts connections."""
        name = settings.name
        child = ForwarderChild(self.folder / f"{name}.log")
        arguments = [sys.executable, "-m", "honeybarrow", "run", str(self.file), "--name", name]
        arguments += ["--log-format", "json", "--log-level", "debug"]
        process = reactor.spawnProcess(child, sys.executable, arguments, env=None)
        self.children[name] = (child, process)
        ready: Deferred[None] = Deferred()
        self._probe_until_open(settings, ready, time.monotonic() + START_TIMEOUT_S, child)
        return ready

    def _probe_until_open(
        self, settings: ForwarderConfig, ready: Deferred[None], deadline_s: float, child: ForwarderChild
    ) -> None:
        """Probe the first front of a forwarder until it accepts connections or the deadline passes."""
        if child.ended.called or time.monotonic() > deadline_s:
            ready.errback(RuntimeError(f"forwarder {settings.name} did not start; see {child.log.name}"))
            return
        listener = settings.listeners[0]
        probe = _ConnectProbe()

        def on_probe_finished(is_open: bool) -> None:
            if is_open:
                ready.callback(None)
            else:
                reactor.callLater(POLL_INTERVAL_S, self._probe_until_open, settings, ready, deadline_s, child)

        probe.is_open.addCallback(on_probe_finished)
        reactor.connectTCP(listener.host, listener.port, probe, timeout=1)

    def kill(self, name: str) -> None:
        """Kill a forwarder with SIGKILL."""
        self._signal(name, "KILL")

    def delete_saved_state(self, name: str) -> None:
        """Remove the files in which a forwarder keeps state between starts."""
        settings = self.settings[name]
        for file in (settings.register.saved_list, settings.fleet.saved_verdicts if settings.fleet else ""):
            if file:
                Path(file).unlink(missing_ok=True)

    def pause(self, name: str, duration_us: int) -> None:
        """Suspend a forwarder for a duration in microseconds."""
        self._signal(name, signal.SIGSTOP)
        reactor.callLater(duration_us / 1e6, self._signal, name, signal.SIGCONT)

    def stop_all(self) -> Deferred[None]:
        """Stop all forwarders with SIGTERM, and after ``STOP_TIMEOUT_S`` with SIGKILL.

        The returned Deferred fires when all processes have ended.
        """
        for name in self.children:
            self._signal(name, "TERM")
        kill_timer = reactor.callLater(STOP_TIMEOUT_S, self._kill_all)
        all_ended = DeferredList([child.ended for child, _ in self.children.values()])
        done: Deferred[None] = Deferred()

        def on_all_ended(_: Any) -> None:
            if kill_timer.active():
                kill_timer.cancel()
            self.relays.close()
            done.callback(None)

        all_ended.addCallback(on_all_ended)
        return done

    def _kill_all(self) -> None:
        for name in self.children:
            self.kill(name)

    def _signal(self, name: str, signal_to_send: str | int) -> None:
        with contextlib.suppress(ProcessExitedAlready):
            self.children[name][1].signalProcess(signal_to_send)


def run_rehearsal(
    file: Path,
    scenario: Scenario,
    forwarders: list[ForwarderConfig],
    report_file: Path | None,
    keep: Path | None,
    plot_file: Path | None = None,
) -> int:
    """Run a scenario, print its report and return the exit status.

    ``keep`` is a folder for the logs of the forwarders and of the stand-ins.
    """
    with contextlib.ExitStack() as stack:
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
        folder = keep if keep is not None else Path(stack.enter_context(tempfile.TemporaryDirectory()))
        try:
            run = RehearsalRun(file, scenario, forwarders, folder)
        except CannotListenError as error:
            click.echo(f"honeybarrow: {error}", err=True)
            return 3
        result = run.run()
        if result is None:
            return 1
        text = format_report(result, scenario.name, scenario.seed)
        click.echo(text)
        if plot_file is not None:
            draw_plot(run.event_log.entries, scenario, plot_file)
        if report_file is not None:
            report_file.write_text(text + "\n", encoding="utf-8")
        if keep is not None:
            run.event_log.write(folder / "sockets.jsonl")
        return 0 if result.has_passed else 1


class RehearsalRun:
    """A rehearsal on the reactor of this process, with its forwarders in separate processes."""

    def __init__(
        self, file: Path, scenario: Scenario, forwarders: list[ForwarderConfig], folder: Path
    ) -> None:
        self._started = time.monotonic()
        self._result: RuleCheckResult | None = None
        self.event_log = EventLog(lambda: time.monotonic_ns() // 1000)
        self.processes = ForwarderProcesses(file, folder, forwarders, scenario.seed)
        self.runner = ScenarioRunner(
            scenario, forwarders, self.processes, reactor, self.event_log, self._print
        )

    def run(self) -> RuleCheckResult | None:
        """Run the rehearsal and return its result, or ``None`` if it failed or was interrupted."""
        signal.signal(signal.SIGINT, self._interrupt)
        signal.signal(signal.SIGTERM, self._interrupt)
        reactor.callWhenRunning(self._begin)
        reactor.run(installSignalHandlers=True)
        return self._result

    def _print(self, text: str) -> None:
        click.echo(f"{time.monotonic() - self._started:6.1f} s  {text}", err=True)

    def _begin(self) -> None:
        self.runner.run().addCallbacks(self._finish, self._print_failure).addBoth(lambda _: reactor.stop())

    def _finish(self, result: RuleCheckResult) -> None:
        self._result = result

    def _print_failure(self, failure: Failure) -> None:
        click.echo(f"honeybarrow: {failure.getErrorMessage()}", err=True)

    def _interrupt(self, *_: Any) -> None:
        """Kill the forwarders and stop the reactor."""
        for name in self.processes.children:
            self.processes.kill(name)
        reactor.callFromThread(reactor.stop)

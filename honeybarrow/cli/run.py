"""``honeybarrow run``: a forwarder's service in this process until SIGTERM."""

from __future__ import annotations

import os
import signal
import time
from email.utils import formatdate
from pathlib import Path
from typing import Any

from honeybarrow.admission.identity import check_password, parse_accounts
from honeybarrow.cli.exits import CANNOT_LISTEN, FAULT, fail
from honeybarrow.clocks import steady_wall_clock_ns
from honeybarrow.config import schema
from honeybarrow.errors import USAGE_EXIT_STATUS, HoneybarrowError
from honeybarrow.gc_tuning import reduce_gc_frequency

CRASH_DELAY_S = 0.1  # the last results are written before the reactor stops


class ForwarderProcess:
    """One forwarder's service on the reactor of this process."""

    def __init__(self, settings: schema.ForwarderConfig, log: Any) -> None:
        from honeybarrow.reactor import get_reactor
        from honeybarrow.service import Service, StateStorage

        self.reactor = get_reactor()
        self.log = log
        self.exit_status = 0
        saved_list = _path(settings.register.saved_list)
        verdicts = _path(settings.fleet.saved_verdicts) if settings.fleet else None
        tls, password = read_secrets(settings, self.reactor)
        self.spans = open_tracer(settings)
        self.service = Service(
            settings,
            self.reactor,
            monotonic_us,
            lambda: formatdate(localtime=False),
            format(time.time_ns() // 1000, "x"),
            settings.seed or int.from_bytes(os.urandom(6), "big"),
            lambda: read_state_file(saved_list),
            lambda data: write_state_file(saved_list, data, log),
            log,
            self._on_crash,
            tls,
            password,
            self.spans,
            StateStorage(
                lambda: read_state_file(verdicts), lambda data: write_state_file(verdicts, data, log)
            ),
        )

    def run(self) -> int:
        """Listen and deliver until SIGTERM or SIGINT; the exit status."""
        from twisted.internet.error import CannotListenError

        try:
            places = self.service.start()
        except CannotListenError as error:
            fail(str(error), CANNOT_LISTEN)
        except HoneybarrowError as error:
            fail(error)
        for protocol, host, port in places:
            self.log.info("listening", protocol=protocol, host=host, port=port)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.reactor.callFromThread(self._stop))
        reduce_gc_frequency()
        self.reactor.run(installSignalHandlers=False)
        if self.spans is not None:
            self.spans.close()
        self.log.info("stopped", **message_counts(self.service))
        return self.exit_status

    def _stop(self) -> None:
        self.log.info("drain_started", open=self.service.forwarder.open_count)
        self.service.stop().addBoth(lambda _: self._stop_reactor())

    def _on_crash(self, error: Exception) -> None:
        self.exit_status = FAULT
        self.reactor.callLater(CRASH_DELAY_S, self._stop_reactor)

    def _stop_reactor(self) -> None:
        if self.reactor.running:
            self.reactor.stop()


def _path(name: str) -> Path | None:
    return Path(name) if name else None


def monotonic_us() -> int:
    """Microseconds of the system's monotonic clock."""
    return time.monotonic_ns() // 1000


def read_secrets(settings: schema.ForwarderConfig, reactor: Any) -> tuple[Any, Any]:
    """The TLS context and the check of passwords, or an exit that names the file, not what is in it."""
    if settings.tls is None:
        return None, None
    from twisted.internet.threads import deferToThreadPool

    from honeybarrow.tls import TlsError, build_server_context

    ca = Path(settings.tls.client_ca) if settings.tls.client_ca else None
    try:
        context = build_server_context(Path(settings.tls.certificate), Path(settings.tls.key), ca)
        if not settings.accounts_file:
            return context, None
        accounts = parse_accounts(Path(settings.accounts_file).read_text(encoding="utf-8"))
    except TlsError as error:
        fail(error)
    except (OSError, ValueError) as error:
        fail(f"{settings.accounts_file}: {error}", USAGE_EXIT_STATUS)

    def password(name: str, given: bytes) -> Any:
        return deferToThreadPool(reactor, reactor.getThreadPool(), check_password, accounts, name, given)

    return context, password


def open_tracer(settings: schema.ForwarderConfig) -> Any:
    """The spans, written by a thread of their own; ``None`` if they are off."""
    if not settings.observability.spans_file:
        return None
    from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter

    from honeybarrow.tracing import MessageTracer

    try:
        file = Path(settings.observability.spans_file).open("a", encoding="utf-8")  # noqa: SIM115 - for the whole run
    except OSError as error:
        fail(str(error), USAGE_EXIT_STATUS)
        raise AssertionError from None
    exporter = ConsoleSpanExporter(out=file, formatter=lambda span: span.to_json(indent=None) + "\n")
    processor = BatchSpanProcessor(exporter, max_queue_size=20_000)
    wall_ns = steady_wall_clock_ns()
    return MessageTracer(settings.name, settings.observability.sampled_share, processor, wall_ns)


def message_counts(service: Any) -> dict[str, Any]:
    """What became of the messages, for the last log line."""
    values = service.forwarder.counters
    return {
        name: getattr(values, name)
        for name in ("accepted", "rejected", "delivered", "refused", "failed", "withdrawn", "attempts")
    }


def read_state_file(path: Path | None) -> bytes | None:
    """What the last run kept in a file; ``None`` without a file."""
    try:
        return path.read_bytes() if path is not None else None
    except OSError:
        return None


def write_state_file(path: Path | None, data: bytes, log: Any) -> None:
    """Write a file for the next start by renaming: the old content or the new one, never a part."""
    if path is None:
        return
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        fresh = path.with_name(path.name + ".new")
        fresh.write_bytes(data)
        fresh.replace(path)
    except OSError as error:
        log.warning("state_file_write_failed", reason=str(error))

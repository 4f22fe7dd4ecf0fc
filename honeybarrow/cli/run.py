"""``honeybarrow run``: runs the service of a forwarder in this process until SIGTERM."""

from __future__ import annotations

import os
import signal
import time
from email.utils import formatdate
from pathlib import Path
from typing import Any

from honeybarrow.admission.identity import check_password, parse_accounts
from honeybarrow.cli.exits import CANNOT_LISTEN, INTERNAL_ERROR, fail
from honeybarrow.clocks import steady_wall_clock_ns
from honeybarrow.config import schema
from honeybarrow.errors import USAGE_EXIT_STATUS, HoneybarrowError
from honeybarrow.gc_tuning import reduce_gc_frequency

CRASH_DELAY_S = 0.1  # lets the reactor write the last results


class ForwarderProcess:
    """The service of one forwarder on the reactor of this process."""

    def __init__(self, settings: schema.ForwarderConfig, log: Any) -> None:
        from honeybarrow.reactor import get_reactor
        from honeybarrow.service import Service, StateStorage

        self.reactor = get_reactor()
        self.log = log
        self.exit_status = 0
        saved_list = _optional_path(settings.register.saved_list)
        verdicts = _optional_path(settings.fleet.saved_verdicts) if settings.fleet else None
        tls_context, check_account_password = read_secrets(settings, self.reactor)
        self.tracer = open_tracer(settings)
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
            tls_context,
            check_account_password,
            self.tracer,
            StateStorage(
                lambda: read_state_file(verdicts), lambda data: write_state_file(verdicts, data, log)
            ),
        )

    def run(self) -> int:
        """Listen and deliver until SIGTERM or SIGINT, and return the exit status."""
        from twisted.internet.error import CannotListenError

        try:
            addresses = self.service.start()
        except CannotListenError as error:
            fail(str(error), CANNOT_LISTEN)
        except HoneybarrowError as error:
            fail(error)
        for protocol, host, port in addresses:
            self.log.info("listening", protocol=protocol, host=host, port=port)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: self.reactor.callFromThread(self._stop))
        reduce_gc_frequency()
        self.reactor.run(installSignalHandlers=False)
        if self.tracer is not None:
            self.tracer.close()
        self.log.info("stopped", **message_counts(self.service))
        return self.exit_status

    def _stop(self) -> None:
        """Drain the service, then stop the reactor."""
        self.log.info("drain_started", open=self.service.forwarder.open_count)
        self.service.stop().addBoth(lambda _: self._stop_reactor())

    def _on_crash(self, error: Exception) -> None:
        """Stop the reactor after an internal error."""
        self.exit_status = INTERNAL_ERROR
        self.reactor.callLater(CRASH_DELAY_S, self._stop_reactor)

    def _stop_reactor(self) -> None:
        if self.reactor.running:
            self.reactor.stop()


def _optional_path(name: str) -> Path | None:
    """Return the path of a file, or ``None`` for an empty name."""
    return Path(name) if name else None


def monotonic_us() -> int:
    """Return the time of the system's monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


def read_secrets(settings: schema.ForwarderConfig, reactor: Any) -> tuple[Any, Any]:
    """Return the TLS context and the function that checks passwords; each ``None`` if not configured.

    Exits with an error that names the file, without its content, if a file can't be used.
    """
    if settings.tls is None:
        return None, None
    from twisted.internet.threads import deferToThreadPool

    from honeybarrow.tls import TlsError, build_server_context

    client_ca = Path(settings.tls.client_ca) if settings.tls.client_ca else None
    try:
        context = build_server_context(Path(settings.tls.certificate), Path(settings.tls.key), client_ca)
        if not settings.accounts_file:
            return context, None
        accounts = parse_accounts(Path(settings.accounts_file).read_text(encoding="utf-8"))
    except TlsError as error:
        fail(error)
    except (OSError, ValueError) as error:
        fail(f"{settings.accounts_file}: {error}", USAGE_EXIT_STATUS)

    def check_account_password(name: str, password: bytes) -> Any:
        return deferToThreadPool(reactor, reactor.getThreadPool(), check_password, accounts, name, password)

    return context, check_account_password


def open_tracer(settings: schema.ForwarderConfig) -> Any:
    """Return the tracer, whose spans are written by a separate thread, or ``None`` if traces are off."""
    if not settings.observability.spans_file:
        return None
    from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter

    from honeybarrow.tracing import MessageTracer

    try:
        file = Path(settings.observability.spans_file).open("a", encoding="utf-8")  # noqa: SIM115 - stays open
    except OSError as error:
        fail(str(error), USAGE_EXIT_STATUS)
        raise AssertionError from None
    exporter = ConsoleSpanExporter(out=file, formatter=lambda span: span.to_json(indent=None) + "\n")
    processor = BatchSpanProcessor(exporter, max_queue_size=20_000)
    wall_ns = steady_wall_clock_ns()
    return MessageTracer(settings.name, settings.observability.sampled_share, processor, wall_ns)


def message_counts(service: Any) -> dict[str, Any]:
    """Return the counts of messages for the last log line."""
    counters = service.forwarder.counters
    return {
        name: getattr(counters, name)
        for name in ("accepted", "rejected", "delivered", "refused", "failed", "withdrawn", "attempts")
    }


def read_state_file(path: Path | None) -> bytes | None:
    """Return the content of a state file, or ``None`` if it is missing or unreadable."""
    try:
        return path.read_bytes() if path is not None else None
    except OSError:
        return None


def write_state_file(path: Path | None, data: bytes, log: Any) -> None:
    """Replace a state file atomically, so that a reader finds the old content or the new one."""
    if path is None:
        return
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        temporary = path.with_name(path.name + ".new")
        temporary.write_bytes(data)
        temporary.replace(path)
    except OSError as error:
        log.warning("state_file_write_failed", reason=str(error))

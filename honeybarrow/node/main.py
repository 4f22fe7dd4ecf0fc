"""Entry point of the platform process; the only module of the package that uses the global reactor."""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import Any

from twisted.logger import globalLogPublisher

from honeybarrow import gc_tuning
from honeybarrow.clocks import system_clocks
from honeybarrow.errors import HoneybarrowError, format_error
from honeybarrow.message_guard import MessageGuard
from honeybarrow.node import signals
from honeybarrow.node.config import ConfigError, ForwarderConfig, read_config
from honeybarrow.node.log_format import TwoClockFormatter
from honeybarrow.node.process import ForwarderProcess
from honeybarrow.node.process_memory import read_memory_usage
from honeybarrow.reactor import get_reactor

CONFIG_ERROR_STATUS = 2
FAILURE_STATUS = 1
CONFIG_READ_TRIES, CONFIG_READ_DELAY_S = 20, 0.1
STRICT_GUARD_VARIABLE = "HONEYBARROW_STRICT_GUARD"  # if set, guard violations raise an exception
log = logging.getLogger("honeybarrow.node")


def main() -> int:
    """Run one forwarder until SIGTERM; return the exit status."""
    _configure_logging()
    try:
        config = _read_config_with_retries()
    except ConfigError as error:
        _log_config_error(error)
        return CONFIG_ERROR_STATUS
    return FAILURE_STATUS if _run(config) else 0


def _read_config_with_retries() -> ForwarderConfig:
    """Read the configuration; retry for two seconds if the file can't be read.

    :raises ConfigError: if the file still can't be read, or immediately if it is invalid
    """
    for _ in range(CONFIG_READ_TRIES - 1):
        try:
            return read_config(os.environ)
        except ConfigError as error:
            if not isinstance(error.__cause__, OSError):
                raise
            time.sleep(CONFIG_READ_DELAY_S)
    return read_config(os.environ)


def _configure_logging() -> None:
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(TwoClockFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def _log_reactor_failure(event: dict[str, Any]) -> None:
    """Log an exception of a protocol or timer that Twisted caught; the reactor continues."""
    failure = event.get("log_failure")
    if failure is not None:
        log.error("reactor_failure %s", failure.getTraceback())


def _log_config_error(error: ConfigError) -> None:
    log.error("honeybarrow.node: %s", format_error(error))


def _run(config: ForwarderConfig) -> list[Exception]:
    """Run until the reactor stops; return the errors that stopped it."""
    publisher: Any = globalLogPublisher
    publisher.addObserver(_log_reactor_failure)
    reactor = get_reactor()
    failures: list[Exception] = []

    def on_failure(error: Exception) -> None:
        failures.append(error)
        if isinstance(error, HoneybarrowError):
            log.error("process_failed %s", format_error(error))
        else:
            log.error("policy_failed", exc_info=error)
        reactor.stop()

    MessageGuard.is_strict = bool(os.environ.get(STRICT_GUARD_VARIABLE))
    gc_tuning.reduce_gc_frequency()  # also before the measurement, which is of what stays
    process = ForwarderProcess(
        config, reactor, system_clocks(), on_failure, read_memory_usage().resident_bytes
    )
    gc_tuning.reduce_gc_frequency()
    reactor.callWhenRunning(process.start)
    reactor.callWhenRunning(
        signals.deliver_to, lambda request: reactor.callFromThread(process.handle_signal, request)
    )
    reactor.run(installSignalHandlers=False)
    return failures

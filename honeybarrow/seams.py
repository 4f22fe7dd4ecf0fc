"""What the program asks of its surroundings, as types: clock, network, log. Handed in, never imported.

Twisted's reactor and its ``task.Clock`` fit, and so will a simulated one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class Delayed(Protocol):
    """A call that is due later."""

    def active(self) -> bool: ...

    def cancel(self) -> None: ...


class Clock(Protocol):
    """Seconds, and calls after so many of them."""

    def seconds(self) -> float: ...

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Any: ...


class Network(Protocol):
    """TCP connections, out and in."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> Any: ...

    def connectUNIX(self, address: str, factory: Any, timeout: float = 30) -> Any: ...

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any: ...


class Reactor(Clock, Network, Protocol):
    """Both, and Unix sockets to listen at."""

    def listenUNIX(self, address: str, factory: Any) -> Any: ...


class Logger(Protocol):
    """What is used of a structured logger."""

    def debug(self, event: str, **fields: Any) -> Any: ...

    def info(self, event: str, **fields: Any) -> Any: ...

    def warning(self, event: str, **fields: Any) -> Any: ...

    def error(self, event: str, **fields: Any) -> Any: ...

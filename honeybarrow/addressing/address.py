"""Network addresses of endpoints."""

from __future__ import annotations

from dataclasses import dataclass

MAX_PORT = 65535


def parse_host_port(text: str) -> tuple[str, int] | None:
    """Parse ``host:port``; return ``None`` if the text is malformed."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return None
    return host.strip("[]"), int(port)


@dataclass(frozen=True, slots=True)
class Address:
    """An address on which an endpoint listens: host and port, or the path of a Unix socket.

    Addresses with a lower ``priority`` are tried first. Within a priority, addresses in other zones than the
    forwarder's come last. Among addresses of equal rank, calls are distributed by ``weight`` if the weights
    differ. Addresses with the same ``machine`` are assumed to fail together.
    """

    host: str = ""
    port: int = 0
    is_lmtp: bool = False
    path: str = ""
    priority: int = 0
    weight: int = 1
    zone: str = ""
    machine: str = ""

    @property
    def socket_key(self) -> tuple[str, int, str]:
        """The part that identifies the socket, without the protocol and the fields for ranking."""
        return self.host, self.port, self.path

    @property
    def family(self) -> str:
        """Address family: ``unix``, ``ipv6`` or ``ipv4``."""
        if self.path:
            return "unix"
        return "ipv6" if ":" in self.host else "ipv4"

    def __str__(self) -> str:
        if self.path:
            return f"unix:{self.path}"
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"

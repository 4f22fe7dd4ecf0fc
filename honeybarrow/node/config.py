"""The configuration of a forwarder on the platform: ``ROUTER_*`` and the file they name, checked."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from honeybarrow import interface as hb
from honeybarrow.node.listing import ListError, Listing, parse_listing
from honeybarrow.settings import WireError, settings_of

CONFIG_MOST = 8 << 20  # bytes of a file that is read at all


class ConfigError(ValueError):
    """The configuration can't be used; the text says which part."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the platform gives one forwarder."""

    sockets: int
    disk_bytes: int


@dataclass(frozen=True, slots=True)
class Config:
    """One reading of the configuration."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: str
    seed: int
    limits: Limits
    known: Listing
    settings: hb.Settings


def parse_place(text: str, what: str = "address") -> tuple[str, int]:
    """``host:port`` with a numeric IPv4 host; the network has no names."""
    host, colon, port = text.rpartition(":")
    parts = host.split(".")
    digits = len(parts) == 4 and all(p.isdigit() and len(p) <= 3 and int(p) < 256 for p in parts)
    if not colon or not digits or not port.isdigit() or len(port) > 5 or not 0 < int(port) < 65536:
        raise ConfigError(f"{what} {text[:60]!r} is not address:port")
    return host, int(port)


def _text(value: Any, what: str) -> str:
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{what} is missing or no text")
    return value


def _number(values: Mapping[str, Any], key: str, default: float) -> float:
    value = values.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ConfigError(f"limits.{key} is no number above 0")
    return float(value)


def parse_config(text: str, environ: Mapping[str, str]) -> Config:
    """The file's text, with what it lacks from the environment.

    :raises ConfigError: for what can't be used, naming the part.
    """
    try:
        top = json.loads(text)
    except ValueError as error:
        raise ConfigError(f"the file is not JSON: {error}") from None
    if not isinstance(top, dict):
        raise ConfigError("the file holds no object")
    limits, seed = top.get("limits", {}), top.get("seed", "0")
    if not isinstance(limits, dict):
        raise ConfigError("limits is no object")
    try:
        number = int(str(seed), 16)
    except ValueError:
        raise ConfigError("seed is no hexadecimal number") from None
    try:
        settings = settings_of(top.get("settings"))
        hb.check(settings)
    except (WireError, ValueError) as error:
        raise ConfigError(f"settings: {error}") from None
    try:
        known = parse_listing(top.get("known") or {"index": 0, "snapshot": True, "endpoints": []})
    except ListError as error:
        raise ConfigError(f"known: {error}") from None
    return Config(
        name=_text(top.get("name") or environ.get("ROUTER_NAME"), "name"),
        listen=parse_place(_text(top.get("listen") or environ.get("ROUTER_LISTEN"), "listen"), "listen"),
        discovery=parse_place(
            _text(top.get("discovery") or environ.get("ROUTER_DISCOVERY"), "discovery"), "discovery"
        ),
        state=_text(environ.get("ROUTER_STATE"), "ROUTER_STATE"),
        seed=number,
        limits=Limits(
            int(_number(limits, "sockets", 1024)), int(_number(limits, "disk_mb", 3.0) * 1_000_000)
        ),
        known=known,
        settings=settings,
    )


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the file that ``ROUTER_CONFIG`` names."""
    path = _text(environ.get("ROUTER_CONFIG"), "ROUTER_CONFIG")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(CONFIG_MOST)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {error}") from None
    return parse_config(text, environ)

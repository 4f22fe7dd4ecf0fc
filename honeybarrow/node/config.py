"""Configuration of a forwarder on the platform: ``ROUTER_*`` and the file that they name, validated."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from honeybarrow.errors import HoneybarrowError
from honeybarrow.node.endpoint_list import EndpointList, SocketAddress, parse_address, parse_endpoint_list
from honeybarrow.settings import Settings, validate_settings
from honeybarrow.wire_settings import parse_settings

MAX_CONFIG_BYTES = 8 << 20  # of the file; the rest is not read


class ConfigError(HoneybarrowError, ValueError):
    """The configuration can't be used; the text says which part."""

    code = "HB110"
    remedy = "correct that part of the platform's configuration; a forwarder that runs keeps its old one"
    status = 2


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What the platform allows one forwarder."""

    descriptors: int
    disk_bytes: int


@dataclass(frozen=True, slots=True)
class ForwarderConfig:
    """The configuration as it was read once."""

    name: str
    listen_address: SocketAddress
    discovery_address: SocketAddress
    state_folder: str
    seed: int
    limits: ResourceLimits
    saved_list: EndpointList
    settings: Settings


def _require_text(value: Any, what: str) -> str:
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{what} is missing or no text")
    return value


def _require_address(value: Any, what: str) -> SocketAddress:
    try:
        return parse_address(_require_text(value, what), what)
    except ValueError as error:
        raise ConfigError(str(error)) from None


def _positive_number(values: Mapping[str, Any], key: str, default: float) -> float:
    value = values.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ConfigError(f"limits.{key} is no number above 0")
    return float(value)


def parse_config(text: str, environ: Mapping[str, str]) -> ForwarderConfig:
    """Parse the file's text, with what it lacks from the environment.

    :raises ConfigError: for what can't be used; its text names the part.
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
        settings = parse_settings(top.get("settings"))
        validate_settings(settings)
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    try:
        known = parse_endpoint_list(top.get("known") or {"index": 0, "snapshot": True, "endpoints": []})
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None
    return ForwarderConfig(
        name=_require_text(top.get("name") or environ.get("ROUTER_NAME"), "name"),
        listen_address=_require_address(top.get("listen") or environ.get("ROUTER_LISTEN"), "listen"),
        discovery_address=_require_address(
            top.get("discovery") or environ.get("ROUTER_DISCOVERY"), "discovery"
        ),
        state_folder=_require_text(environ.get("ROUTER_STATE"), "ROUTER_STATE"),
        seed=number,
        limits=ResourceLimits(
            int(_positive_number(limits, "sockets", 1024)),
            int(_positive_number(limits, "disk_mb", 3.0) * 1_000_000),
        ),
        saved_list=known,
        settings=settings,
    )


def read_config(environ: Mapping[str, str]) -> ForwarderConfig:
    """Read the file that ``ROUTER_CONFIG`` names.

    :raises ConfigError: if it can't be read or used.
    """
    path = _require_text(environ.get("ROUTER_CONFIG"), "ROUTER_CONFIG")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_CONFIG_BYTES)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {error}") from error
    return parse_config(text, environ)

"""Configuration of a platform forwarder, read from ``ROUTER_*`` variables and a JSON file."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from honeybarrow.errors import HoneybarrowError
from honeybarrow.node.endpoint_list import EndpointList, SocketAddress, parse_address, parse_endpoint_list
from honeybarrow.settings import Settings, validate_settings
from honeybarrow.wire_settings import parse_settings

MAX_CONFIG_BYTES = 8 << 20
MEGABYTE = 1_000_000
DEFAULT_MEMORY_MB = 192


class ConfigError(HoneybarrowError, ValueError):
    """The platform configuration is invalid; the message names the field."""

    code = "HB110"
    remedy = "correct the field named in the message; a running forwarder keeps its previous configuration"
    status = 2


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Resource limits that the platform sets for a forwarder."""

    descriptors: int
    disk_bytes: int
    memory_bytes: int = DEFAULT_MEMORY_MB * MEGABYTE


@dataclass(frozen=True, slots=True)
class ForwarderConfig:
    """Validated configuration of a platform forwarder."""

    name: str
    listen_address: SocketAddress
    discovery_address: SocketAddress
    state_folder: str
    seed: int
    limits: ResourceLimits
    saved_list: EndpointList
    settings: Settings


def _require_text(value: Any, label: str) -> str:
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{label} must be a non-empty string, got {value!r:.60}")
    return value


def _require_address(value: Any, label: str) -> SocketAddress:
    try:
        return parse_address(_require_text(value, label), label)
    except ValueError as error:
        raise ConfigError(str(error)) from None


def _require_positive_number(values: Mapping[str, Any], key: str, default: float) -> float:
    value = values.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ConfigError(f"limits.{key} must be a positive number, got {value!r:.60}")
    return float(value)


def parse_config(text: str, environ: Mapping[str, str]) -> ForwarderConfig:
    """Parse the text of the configuration file; missing values come from the environment.

    :raises ConfigError: if a value is missing or invalid.
    """
    try:
        values = json.loads(text)
    except ValueError as error:
        raise ConfigError(f"the file is not JSON: {error}") from None
    if not isinstance(values, dict):
        raise ConfigError("the file does not contain a JSON object")
    limits, seed = values.get("limits", {}), values.get("seed", "0")
    if not isinstance(limits, dict):
        raise ConfigError("limits is not an object")
    try:
        seed_number = int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed must be a hexadecimal number, got {str(seed)[:60]!r}") from None
    try:
        settings = parse_settings(values.get("settings"))
        validate_settings(settings)
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    try:
        saved = parse_endpoint_list(values.get("known") or {"index": 0, "snapshot": True, "endpoints": []})
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None
    return ForwarderConfig(
        name=_require_text(values.get("name") or environ.get("ROUTER_NAME"), "name"),
        listen_address=_require_address(values.get("listen") or environ.get("ROUTER_LISTEN"), "listen"),
        discovery_address=_require_address(
            values.get("discovery") or environ.get("ROUTER_DISCOVERY"), "discovery"
        ),
        state_folder=_require_text(environ.get("ROUTER_STATE"), "ROUTER_STATE"),
        seed=seed_number,
        limits=ResourceLimits(
            int(_require_positive_number(limits, "sockets", 1024)),
            int(_require_positive_number(limits, "disk_mb", 3.0) * MEGABYTE),
            int(_require_positive_number(limits, "memory_mb", DEFAULT_MEMORY_MB) * MEGABYTE),
        ),
        saved_list=saved,
        settings=settings,
    )


def read_config(environ: Mapping[str, str]) -> ForwarderConfig:
    """Read the file named by ``ROUTER_CONFIG``.

    :raises ConfigError: if the file can't be read or is invalid.
    """
    path = _require_text(environ.get("ROUTER_CONFIG"), "ROUTER_CONFIG")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_CONFIG_BYTES)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {error}") from error
    return parse_config(text, environ)

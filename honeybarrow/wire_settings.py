"""Parser of the platform's JSON settings object into :class:`honeybarrow.settings.Settings`.

The simulator's first message and the configuration file of a forwarder carry this object. The module uses the
standard library only.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, TypeVar

from honeybarrow.errors import HoneybarrowError
from honeybarrow.settings import (
    DestinationKind,
    Idempotency,
    MessageClass,
    Settings,
    Tenant,
    UtilityDecay,
    WeightSource,
)

IDEMPOTENCIES = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENT_WITH_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
DECAYS = {"line": UtilityDecay.LINEAR, "halves": UtilityDecay.HALVING}
WEIGHTS = {"off": WeightSource.NONE, "nominal": WeightSource.NOMINAL, "rough": WeightSource.APPROXIMATE}

Choice = TypeVar("Choice")


class SettingsError(HoneybarrowError, ValueError):
    """The settings are invalid; the message names the setting."""

    code = "HB112"
    remedy = "correct the setting named; the description of the settings lists the allowed values"
    status = 2


class JsonObjectReader:
    """Typed access to a JSON object; errors name the path of the value, and unknown keys are ignored.

    Each method raises :class:`SettingsError` for a value that is missing or of the wrong type.
    """

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise SettingsError(f"{path or 'options'} is not an object")
        self.value: dict[str, Any] = value
        self.path = path

    def get(self, key: str, kinds: tuple[type, ...], default: Any, what: str) -> Any:
        """Return a value of one of the given types, or the default; ``what`` names the type in errors.

        A value without a default is required.
        """
        value = self.value.get(key)
        if value is None:
            if default is None:
                raise SettingsError(f"setting '{self.path}{key}' is missing")
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise SettingsError(f"setting '{self.path}{key}' is not {what}")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        """Return an integer; a fractional number is truncated."""
        return int(self.get(key, (int, float), default, "a number"))

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number."""
        return float(self.get(key, (int, float), default, "a number"))

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        return str(self.get(key, (str,), default, "a string"))

    def flag(self, key: str) -> bool:
        """Return a boolean; false if it is missing."""
        return bool(self.get(key, (bool, int), False, "a boolean"))

    def items(self, key: str, default: list[Any] | None = None) -> list[Any]:
        """Return a list."""
        return list(self.get(key, (list,), default, "a list"))

    def rows(self, key: str, default: list[Any] | None = None) -> Iterator[JsonObjectReader]:
        """Yield a reader for each object of a list."""
        for index, row in enumerate(self.items(key, default)):
            yield JsonObjectReader(row, f"{self.path}{key}[{index}].")

    def section(self, key: str) -> JsonObjectReader:
        """Return a reader for a nested object; an empty one if it is missing."""
        return JsonObjectReader(self.get(key, (dict,), {}, "an object"), f"{self.path}{key}.")

    def choice(self, key: str, table: dict[str, Choice], default: str) -> Choice:
        """Return the value to which ``table`` maps a string."""
        value = self.text(key, default)
        if value not in table:
            raise SettingsError(f"setting '{self.path}{key}' has the unknown value '{value}'")
        return table[value]


def read_settings(text: str) -> Settings:
    """Parse settings from JSON text.

    :raises SettingsError: if the text is not JSON or a setting is invalid.
    """
    try:
        return parse_settings(json.loads(text))
    except json.JSONDecodeError as error:
        raise SettingsError(f"options are not JSON ({error.msg})") from None


def parse_settings(value: Any) -> Settings:
    """Parse settings from a decoded JSON object.

    :raises SettingsError: if a setting is missing or invalid.
    """
    top = JsonObjectReader(value, "")
    family, limits, rules = top.section("familyInfo"), top.section("limits"), top.section("guarantees")
    return Settings(
        classes=_parse_classes(top),
        kinds=_parse_kinds(top, family),
        tenants=_parse_tenants(top),
        slots=family.integer("callSlots"),
        max_open=limits.integer("maxOpen"),
        senders=top.integer("balancers", 1),
        utility_decay=family.choice("fades", DECAYS, "line"),
        weight_source=top.choice("weightSource", WEIGHTS, "off"),
        load_report_fields=tuple(str(name) for name in top.section("report").items("fields", [])),
        over_quota_weight=top.number("overShareWorth", 1.0),
        max_attempts=limits.integer("sendCap", 1_000_000),
        allows_hedging=limits.flag("secondCopies"),
        allows_retry_after=limits.flag("retryAfter"),
        max_retry_after_us=limits.integer("maxRetryAfterUs", 0),
        connect_timeout_us=limits.integer("connectTimeoutUs", 1_000_000),
        idle_timeout_us=limits.integer("connIdleUs", 10_000_000),
        polls_endpoint_list=top.text("membershipMode", "pushed") == "on_request",
        poll_interval_us=rules.integer("askWithinUs", 0),
        drain_grace_us=rules.integer("drainGraceUs", 0),
        answer_grace_us=rules.integer("graceToAnswerUs", 0),
        collapse_multiple=rules.number("fallMultiple", 2.0),
        collapse_window_us=rules.integer("fallUs", 2_000_000),
        start_capacity=rules.number("startCapacity", 0.2),
        warm_up_us=rules.integer("coldUs", 10_000_000),
        order_key_cooldown_us=rules.integer("settleAfterDoubtUs", 0),
    )


def _parse_classes(top: JsonObjectReader) -> tuple[MessageClass, ...]:
    return tuple(
        MessageClass(
            name=row.text("name"),
            latency_objective_us=row.integer("aimUs"),
            deadline_us=row.integer("hardLimitUs"),
            idempotency=row.choice("idempotency", IDEMPOTENCIES, "free"),
            key_scope=row.text("group", "all"),
            key_window_us=row.integer("windowUs", 0),
            priority_weight=row.number("value", 1.0),
            late_utility=row.number("lateShare", 0.0),
            is_ordered=row.flag("keepOrder"),
        )
        for row in top.rows("services")
    )


def _parse_kinds(top: JsonObjectReader, family: JsonObjectReader) -> tuple[DestinationKind, ...]:
    """Return the kinds; missing trailing items of ``bundleMax`` and ``separateRoutes`` have defaults."""
    batch_sizes, separate_routes = family.items("bundleMax", []), family.items("separateRoutes", [])
    return tuple(
        DestinationKind(
            str(name),
            int(batch_sizes[index]) if index < len(batch_sizes) else 1,
            bool(separate_routes[index]) if index < len(separate_routes) else False,
        )
        for index, name in enumerate(top.items("kinds", []))
    )


def _parse_tenants(top: JsonObjectReader) -> tuple[Tenant, ...]:
    return tuple(Tenant(row.text("name"), row.number("quotaPerS", 0.0)) for row in top.rows("tenants", []))

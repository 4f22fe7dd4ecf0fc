"""The settings object of the platform, as the library's own type.

The simulator's first message and the configuration file of a real forwarder carry the same object; this is
its only reader. Standard library only.
"""

from __future__ import annotations

import json
from typing import Any, TypeVar

from honeybarrow import interface as hb
from honeybarrow.errors import Problem

EFFECTS = {"free": hb.Effect.SAFE, "guarded": hb.Effect.KEYED, "single_shot": hb.Effect.UNSAFE}
WEIGHTS = {"off": hb.Weights.NONE, "nominal": hb.Weights.NOMINAL, "rough": hb.Weights.ROUGH}

Value = TypeVar("Value")


class SettingsError(Problem, ValueError):
    """The settings are not what the library can use; the text names the part."""

    code = "HB112"
    remedy = "correct the setting named; the wire's page says what each may be"
    status = 2


class Options:
    """A JSON object of the settings, read by path and type; unknown keys are skipped."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise SettingsError(f"{path or 'options'} is not an object")
        self.value: dict[str, Any] = value
        self.path = path

    def get(self, key: str, kinds: tuple[type, ...], default: Any, what: str) -> Any:
        value = self.value.get(key)
        if value is None:
            if default is None:
                raise SettingsError(f"setting '{self.path}{key}' is missing")
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise SettingsError(f"setting '{self.path}{key}' is not {what}")
        return value

    def whole(self, key: str, default: int | None = None) -> int:
        return int(self.get(key, (int, float), default, "a number"))

    def number(self, key: str, default: float | None = None) -> float:
        return float(self.get(key, (int, float), default, "a number"))

    def text(self, key: str, default: str | None = None) -> str:
        return str(self.get(key, (str,), default, "a text"))

    def flag(self, key: str) -> bool:
        return bool(self.get(key, (bool, int), False, "a flag"))

    def rows(self, key: str, default: list[Any] | None = None) -> list[Any]:
        return list(self.get(key, (list,), default, "a list"))

    def part(self, key: str) -> Options:
        return Options(self.get(key, (dict,), {}, "an object"), f"{self.path}{key}.")

    def one_of(self, key: str, table: dict[str, Value], default: str) -> Value:
        value = self.text(key, default)
        if value not in table:
            raise SettingsError(f"setting '{self.path}{key}' has the unknown value '{value}'")
        return table[value]


def read_settings(text: str) -> hb.Settings:
    """The settings as JSON text, as the library's own."""
    try:
        return settings_of(json.loads(text))
    except json.JSONDecodeError as error:
        raise SettingsError(f"options are not JSON ({error.msg})") from None


def settings_of(value: Any) -> hb.Settings:
    """The settings as a JSON object that was read, as the library's own."""
    top = Options(value, "")
    family, limits, rules = top.part("familyInfo"), top.part("limits"), top.part("guarantees")
    classes = []
    for index, row in enumerate(top.rows("services")):
        item = Options(row, f"services[{index}].")
        classes.append(
            hb.MessageClass(
                name=item.text("name"),
                aim_us=item.whole("aimUs"),
                deadline_us=item.whole("hardLimitUs"),
                effect=item.one_of("idempotency", EFFECTS, "free"),
                group=item.text("group", "all"),
                window_us=item.whole("windowUs", 0),
                worth=item.number("value", 1.0),
                late_share=item.number("lateShare", 0.0),
                keep_order=item.flag("keepOrder"),
            )
        )
    names, bundles = top.rows("kinds", []), family.rows("bundleMax", [])
    apart = family.rows("separateRoutes", [])
    kinds = [
        hb.Kind(
            str(name),
            int(bundles[i]) if i < len(bundles) else 1,
            bool(apart[i]) if i < len(apart) else False,
        )
        for i, name in enumerate(names)
    ]
    tenants = []
    for index, row in enumerate(top.rows("tenants", [])):
        item = Options(row, f"tenants[{index}].")
        tenants.append(hb.Tenant(item.text("name"), item.number("quotaPerS", 0.0)))
    via = top.part("report")
    return hb.Settings(
        classes=tuple(classes),
        kinds=tuple(kinds),
        tenants=tuple(tenants),
        slots=family.whole("callSlots"),
        max_open=limits.whole("maxOpen"),
        senders=top.whole("balancers", 1),
        fade=family.one_of("fades", {"line": hb.Fade.LINE, "halves": hb.Fade.HALVES}, "line"),
        weights=top.one_of("weightSource", WEIGHTS, "off"),
        load_fields=tuple(str(name) for name in via.rows("fields", [])),
        over_share_worth=top.number("overShareWorth", 1.0),
        attempt_cap=limits.whole("sendCap", 1_000_000),
        second_copies=limits.flag("secondCopies"),
        retry_after=limits.flag("retryAfter"),
        max_retry_after_us=limits.whole("maxRetryAfterUs", 0),
        connect_timeout_us=limits.whole("connectTimeoutUs", 1_000_000),
        idle_us=limits.whole("connIdleUs", 10_000_000),
        on_request=top.text("membershipMode", "pushed") == "on_request",
        ask_within_us=rules.whole("askWithinUs", 0),
        drain_grace_us=rules.whole("drainGraceUs", 0),
        answer_grace_us=rules.whole("graceToAnswerUs", 0),
        fall_multiple=rules.number("fallMultiple", 2.0),
        fall_us=rules.whole("fallUs", 2_000_000),
        start_capacity=rules.number("startCapacity", 0.2),
        cold_us=rules.whole("coldUs", 10_000_000),
        settle_us=rules.whole("settleAfterDoubtUs", 0),
    )

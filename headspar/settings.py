"""Parser of the settings object, found in the simulator's first message and in a node's configuration file."""

from __future__ import annotations

import json
from math import isfinite
from typing import Any

from headspar.interface import Effect, Group, RequestClass, Settings, Tenant


class SettingsError(ValueError):
    """A settings object with a missing key or an invalid value; the message names it."""


def number(raw: Any, name: str, default: float | None = None) -> float:
    """The finite number at ``name``; the default, if given, where it is missing, null or 0."""
    value = raw[name] if default is None else raw.get(name) or default
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise SettingsError(f"settings: {name}: needs a number, not {value!r}")
    return value


def parse_settings(text: str) -> Settings:
    """Read the settings from JSON text; unknown keys are ignored.  Raises ``SettingsError``."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: {error}") from error
    return read_settings(raw)


def read_settings(raw: Any) -> Settings:
    """Read the settings from the decoded object.  Raises ``SettingsError``."""
    try:
        rules: dict[str, Any] = raw["invariants"]
        limits: dict[str, Any] = raw["policy_limits"]
        classes = [
            RequestClass(
                name=c["name"],
                aim_us=int(number(c, "aim_us")),
                deadline_us=int(number(c, "give_up_us")),
                worth=number({"worth": 1.0, **c}, "worth"),
                late_worth=number(c, "late_worth", 0.0),
                effect=Effect(c["effect"]),
                group=Group(c.get("group") or "all"),
                window_us=int(number(c, "window_us", 0)),
                stream=bool(c.get("stream", False)),
                aim_stretch=number(c, "aim_stretch", 0.0),
            )
            for c in raw["classes"]
        ]
        return Settings(
            classes=classes,
            me=int(number(raw, "me")),
            balancers=int(number(raw, "balancers")),
            zone=raw.get("az", ""),
            tenants=[
                Tenant(t["name"], number(t, "quota_rps", 0.0), number(t, "share", 0.0))
                for t in raw.get("customers") or []
            ],
            over_share_worth=number({"over_share_worth": 1.0, **raw}, "over_share_worth"),
            worth_by_work=raw.get("counted_by") == "work",
            must_subscribe=raw.get("registry_mode") == "subscribe",
            warm_keys=bool((raw.get("family_info") or {}).get("warm_keys", False)),
            worst_class_weight=float((raw.get("result_mix") or {}).get("worst_class", 0.0)),
            cross_zone_price=float((raw.get("prices") or {}).get("cross_zone", 0.0)),
            report_fields=tuple((raw.get("telemetry") or {}).get("fields") or ()),
            quantum_us=int(number({"quantum_us": 1000, **raw}, "quantum_us")),
            answer_slack_us=int(number(rules, "answer_slack_us")),
            drain_grace_us=int(number(rules, "drain_grace_us")),
            ask_every_us=int(number(rules, "ask_every_us", 10_000_000)),
            cold_share=number(rules, "cold_share"),
            ramp_us=int(number(rules, "ramp_time_us")),
            fall_multiple=number(rules, "fall_multiple"),
            fall_us=int(number(rules, "fall_us")),
            max_attempts=int(number(limits, "try_limit")),
            may_cancel=bool(limits.get("cancel", False)),
            may_probe=bool(limits.get("probes", False)),
            may_tell_peers=bool(limits.get("may_tell", False)),
            second_copies=bool(limits.get("second_copies", False)),
            retry_after=bool(limits.get("retry_after", False)),
            max_retry_after_us=int(number(limits, "max_retry_after_us", 0)),
            connect_timeout_us=int(number(limits, "connect_timeout_us", 250_000)),
            idle_close_us=int(number(limits, "idle_close_us", 15_000_000)),
            most_held=int(number(limits, "most_held", 20_000)),
        )
    except KeyError as error:
        raise SettingsError(f"settings: missing key {error}") from error
    except (TypeError, AttributeError, ValueError) as error:
        raise SettingsError(f"settings: {error}") from error

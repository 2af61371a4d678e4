"""The settings object, as the simulator's first message and a real node's configuration hold it."""

from __future__ import annotations

import json
from typing import Any

from headspar.interface import Effect, Group, RequestClass, Settings, Tenant


class SettingsError(ValueError):
    """A settings object that lacks a key or holds an impossible value; the text names it."""


def parse_settings(text: str) -> Settings:
    """Read the settings from JSON; keys that are unknown are passed over."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: {error}") from error
    return read_settings(raw)


def read_settings(raw: Any) -> Settings:
    """Read the settings from the decoded object."""
    try:
        rules: dict[str, Any] = raw["invariants"]
        limits: dict[str, Any] = raw["policy_limits"]
        classes = [
            RequestClass(
                name=c["name"],
                aim_us=int(c["aim_us"]),
                deadline_us=int(c["give_up_us"]),
                worth=float(c.get("worth", 1.0)),
                late_worth=float(c.get("late_worth", 0.0)),
                effect=Effect(c["effect"]),
                group=Group(c.get("group") or "all"),
                window_us=int(c.get("window_us") or 0),
                stream=bool(c.get("stream", False)),
                aim_stretch=float(c.get("aim_stretch", 0.0)),
            )
            for c in raw["classes"]
        ]
        return Settings(
            classes=classes,
            me=int(raw["me"]),
            balancers=int(raw["balancers"]),
            zone=raw.get("az", ""),
            tenants=[
                Tenant(t["name"], float(t.get("quota_rps", 0.0)), float(t.get("share", 0.0)))
                for t in raw.get("customers") or []
            ],
            over_share_worth=float(raw.get("over_share_worth", 1.0)),
            worth_by_work=raw.get("counted_by") == "work",
            must_subscribe=raw.get("registry_mode") == "subscribe",
            warm_keys=bool((raw.get("family_info") or {}).get("warm_keys", False)),
            worst_class_weight=float((raw.get("result_mix") or {}).get("worst_class", 0.0)),
            cross_zone_price=float((raw.get("prices") or {}).get("cross_zone", 0.0)),
            report_fields=tuple((raw.get("telemetry") or {}).get("fields") or ()),
            quantum_us=int(raw.get("quantum_us", 1000)),
            answer_slack_us=int(rules["answer_slack_us"]),
            drain_grace_us=int(rules["drain_grace_us"]),
            ask_every_us=int(rules.get("ask_every_us") or 10_000_000),
            cold_share=float(rules["cold_share"]),
            ramp_us=int(rules["ramp_time_us"]),
            fall_multiple=float(rules["fall_multiple"]),
            fall_us=int(rules["fall_us"]),
            max_attempts=int(limits["try_limit"]),
            may_cancel=bool(limits.get("cancel", False)),
            may_probe=bool(limits.get("probes", False)),
            may_tell_peers=bool(limits.get("may_tell", False)),
            second_copies=bool(limits.get("second_copies", False)),
            retry_after=bool(limits.get("retry_after", False)),
            max_retry_after_us=int(limits.get("max_retry_after_us") or 0),
            connect_timeout_us=int(limits.get("connect_timeout_us") or 250_000),
            idle_close_us=int(limits.get("idle_close_us") or 15_000_000),
            most_held=int(limits.get("most_held") or 20_000),
        )
    except KeyError as error:
        raise SettingsError(f"settings: missing key {error}") from error
    except (TypeError, AttributeError, ValueError) as error:
        raise SettingsError(f"settings: {error}") from error

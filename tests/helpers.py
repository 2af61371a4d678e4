"""Settings and shorthands that the tests share."""

from __future__ import annotations

from headspar.interface import (
    BackendEntry,
    BackendList,
    Effect,
    Group,
    Health,
    ListKind,
    RequestClass,
    Settings,
    Tenant,
)

LOOK = RequestClass("look", 400_000, 2_000_000, worth=1.0, effect=Effect.RETRYABLE)
PAY = RequestClass(
    "pay", 400_000, 1_200_000, worth=10.0, effect=Effect.DEDUP, group=Group.CELL, window_us=900_000
)
CREW = RequestClass("crew", 800_000, 2_500_000, worth=5.0, effect=Effect.FRAGILE)
BATCH = RequestClass(
    "batch", 800_000, 2_500_000, worth=5.0, effect=Effect.DEDUP, group=Group.ALL, window_us=600_000
)


def settings(**changes: object) -> Settings:
    base: dict[str, object] = {
        "classes": [LOOK, PAY, CREW, BATCH],
        "balancers": 3,
        "zone": "a",
        "tenants": [Tenant("t1", 100.0, 0.6), Tenant("t2", 60.0, 0.4)],
        "over_share_worth": 0.1,
        "worth_by_work": True,
        "must_subscribe": True,
        "quantum_us": 5_000,
        "max_attempts": 3,
        "second_copies": True,
    }
    base.update(changes)
    return Settings(**base)  # type: ignore[arg-type]


def entry(i: int, health: Health = Health.READY, started: int = 0) -> BackendEntry:
    return BackendEntry(f"10.0.0.{i}:80", "ab"[i % 2], "xy"[i % 2], i % 4, health, 1.0, started)


def full(n: int, kind: ListKind = ListKind.CACHED) -> BackendList:
    return BackendList(kind, 1, [entry(i) for i in range(n)])

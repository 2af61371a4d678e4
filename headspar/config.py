"""Configuration of a node: environment variables and the configuration file."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from headspar.interface import Settings
from headspar.operations.reload import shape
from headspar.operator_file import Operator, OperatorError, load
from headspar.settings import SettingsError, read_settings

Address = tuple[str, int]


class ConfigError(ValueError):
    """An invalid configuration; the message is a single line that names the field."""


@dataclass(slots=True)
class Config:
    """Validated configuration: the node's name, addresses, limits and settings."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: int
    sockets: int
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    known: dict[str, Any]
    ops: Address | None  # address for the operators' endpoints
    settings: Settings
    operator: Operator
    shape: dict[str, frozenset[str]]  # keys present in the file, by section
    raw_settings: Any  # the settings object as decoded from the file


def parse_address(text: object, field: str) -> Address:
    """``host:port`` as a pair; the host may be a bracketed IPv6 address.  Raises ``ConfigError``."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{field}: needs host:port, not {text!r}")
    return host.strip("[]"), int(port)


def _known(raw: Any) -> dict[str, Any]:
    if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
        raise ConfigError("known: needs an object with a list of instances")
    return raw


def _limit(limits: Any, name: str, minimum: int) -> int:
    value = limits.get(name) if isinstance(limits, dict) else None
    if isinstance(value, bool) or not isinstance(value, int | float) or value < minimum:
        raise ConfigError(f"limits.{name}: needs a number of at least {minimum}, not {value!r}")
    return int(value)


def _seed(raw: object) -> int:
    try:
        return int(str(raw), 16)
    except ValueError:
        raise ConfigError(f"seed: needs hexadecimal digits, not {raw!r}") from None


def _operator(environ: Mapping[str, str]) -> Operator:
    """The operator's settings from the file named in the environment, or the defaults."""
    path = environ.get("HEADSPAR_OPERATOR")
    if not path:
        return Operator()
    try:
        return load(Path(path))
    except OperatorError as error:
        raise ConfigError(str(error)) from None


def load_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration that the environment names; raises ``ConfigError``."""
    for name in ("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG"):
        if not environ.get(name):
            raise ConfigError(f"{name}: not set")
    path = environ["ROUTER_CONFIG"]
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"ROUTER_CONFIG: {path}: needs an object")
    for field in ("seed", "limits", "known", "settings"):
        if field not in raw:
            raise ConfigError(f"{field}: missing from {path}")
    try:
        settings = read_settings(raw["settings"])
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    peers = raw.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigError("peers: needs a list of addresses")
    ops = environ.get("ROUTER_OPS") or raw.get("ops")
    peer_listen, peers_all = raw.get("peer_listen"), raw.get("peers_all")
    # The file can be replaced while the node runs, the environment can't, so the address in the file takes
    # precedence.
    discovery = parse_address(environ["ROUTER_DISCOVERY"], "ROUTER_DISCOVERY")
    if raw.get("discovery") is not None:
        discovery = parse_address(raw["discovery"], "discovery")
    return Config(
        name=environ["ROUTER_NAME"],
        listen=parse_address(environ["ROUTER_LISTEN"], "ROUTER_LISTEN"),
        discovery=discovery,
        seed=_seed(raw["seed"]),
        memory_mb=_limit(raw["limits"], "memory_mb", 64),
        sockets=_limit(raw["limits"], "sockets", 64),
        peer_listen=parse_address(peer_listen, "peer_listen") if peer_listen else None,
        peers=[parse_address(p, f"peers[{i}]") for i, p in enumerate(peers)],
        peers_all=parse_address(peers_all, "peers_all") if peers_all else None,
        known=_known(raw["known"]),
        ops=parse_address(ops, "ROUTER_OPS or ops") if ops else None,
        settings=settings,
        operator=_operator(environ),
        shape=shape(raw),
        raw_settings=raw["settings"],
    )

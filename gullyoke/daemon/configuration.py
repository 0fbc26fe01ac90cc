"""The one place where the server's own configuration is read, checked and given defaults."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import NamedTuple

from gullyoke.settings.site_settings import ConfigurationError, SiteFacts, flat, parse_site_facts

Address = tuple[str, int]


class DaemonConfiguration(NamedTuple):
    """What this server is told at its start."""

    name: str
    listen: Address
    engine: Address | None
    naming: Address | None
    database: Address | None
    seed: int
    stop: int  # microseconds from the notice to leave to the stop
    sockets: int
    facts: SiteFacts
    level: str
    settings: dict[str, str]

    def strange(self, new: DaemonConfiguration) -> str | None:
        """What shows that another configuration is not this server's.

        Its name, or the names of its classes or tenants; None where it may be. Figures may differ:
        they are those of another start.
        """
        if new.name != self.name:
            return "name"
        if [h.name for h in new.facts.request_classes] != [
            h.name for h in self.facts.request_classes
        ]:
            return "settings.Profiles"
        if [c.name for c in new.facts.tenants] != [c.name for c in self.facts.tenants]:
            return "settings.Orgs"
        return None

    def changed(self, old: DaemonConfiguration) -> list[str]:
        """The names of what differs from another configuration.

        The seed is new with each file.
        """
        return [
            name
            for name in self._fields
            if name not in ("facts", "seed") and getattr(self, name) != getattr(old, name)
        ]


def load_configuration(env: Mapping[str, str], apart: bool = False) -> DaemonConfiguration:
    """From the environment and the file that it names.

    NODE_NAME and NODE_LISTEN stand over the file's. Where the operator's file names the back ends
    (`apart`), engine, database and name service may be absent; the database also where the settings
    name nothing below.
    """
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigurationError("missing environment variable 'NODE_CONFIG'")
    try:
        with open(path, encoding="utf-8") as file:
            found = json.load(file)
    except (OSError, ValueError) as fault:
        raise ConfigurationError(f"NODE_CONFIG: {path} can't be read: {fault}") from None
    if not isinstance(found, dict):
        raise ConfigurationError(f"NODE_CONFIG: {path} holds no object")
    found = found | {
        key: env[name]
        for key, name in (("name", "NODE_NAME"), ("listen", "NODE_LISTEN"))
        if env.get(name)
    }
    limits = part(found, "limits", {})
    level = env.get("GULLYOKE_LOG", "INFO").upper()
    if level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise ConfigurationError(
            f"environment variable 'GULLYOKE_LOG' is {level!r}, not a level of logging"
        )
    settings = flat(part(found, "settings"))
    facts = parse_site_facts(settings)
    missing = {"engine": apart, "naming": apart, "db": apart or not facts.dependency.exists}
    engine, naming, database = (
        None if may_miss and key not in found else address(found, key)
        for key, may_miss in missing.items()
    )
    return DaemonConfiguration(
        word(found, "name"),
        address(found, "listen"),
        engine,
        naming,
        database,
        seed(found),
        whole(found, "stop_ms", 1) * 1000,
        whole(limits, "limits.sockets", 20, 1024),
        facts,
        level,
        settings,
    )


def get(found: dict, key: str, default: object = None) -> object:
    value = found.get(key.rsplit(".", 1)[-1], default)
    if value is None:
        raise ConfigurationError(f"missing key '{key}'")
    return value


def part(found: dict, key: str, default: dict | None = None) -> dict:
    value = get(found, key, default)
    if not isinstance(value, dict):
        raise ConfigurationError(f"key '{key}' is {value!r}, not an object")
    return value


def word(found: dict, key: str) -> str:
    value = get(found, key)
    if (
        not isinstance(value, str)
        or not value
        or not value.isprintable()
        or set(value) & set(" /?#%")
    ):
        raise ConfigurationError(f"key '{key}' is {value!r}, not a name")
    return value


def whole(found: dict, key: str, least: int, default: int | None = None) -> int:
    value = get(found, key, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or value != int(value)
        or value < least
    ):
        raise ConfigurationError(f"key '{key}' is {value!r}, not a whole number from {least} on")
    return int(value)


def seed(found: dict) -> int:
    value = get(found, "seed")
    try:
        return value if isinstance(value, int) else int(str(value), 16)
    except ValueError:
        raise ConfigurationError(f"key 'seed' is {value!r}, not hex digits") from None


def address(found: dict, key: str) -> Address:
    value = get(found, key)
    host, _, port = str(value).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ConfigurationError(f"key '{key}' is {value!r}, not an address such as 127.0.0.1:7001")
    return host, int(port)

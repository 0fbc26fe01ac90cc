"""The daemon's configuration, read from the environment and from the JSON file that it names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any, Final

from gullyoke.admission.interface import SiteFacts
from gullyoke.errors import ConfigurationError
from gullyoke.settings.reader import MAX_NUMBER, flatten_settings
from gullyoke.settings.site_settings import parse_site_facts

Address = tuple[str, int]
Json = dict[str, Any]

US_PER_MS: Final = 1000
MIN_DESCRIPTORS: Final = 20
DEFAULT_DESCRIPTORS: Final = 1024
MAX_WHOLE_NUMBER: Final = MAX_NUMBER // 1000  # as milliseconds, still a number in microseconds
LOG_LEVELS: Final = ("DEBUG", "INFO", "WARNING", "ERROR")
#: The environment variables that override keys of the file.
ENVIRONMENT_KEYS: Final = {"name": "NODE_NAME", "listen": "NODE_LISTEN"}
#: Characters not allowed in a server's name, which is used as a segment of a URL path.
FORBIDDEN_IN_NAME: Final = frozenset(" /?#%")
#: Fields that are ignored when two configurations are compared: the platform draws a new seed for
#: each file, and the facts are derived from the settings.
NOT_COMPARED: Final = ("facts", "seed")


@dataclass(frozen=True)
class DaemonConfiguration:
    """The configuration of one daemon.

    Attributes:
        name: the server's name, unique among the servers of the site.
        listen: the address of the HTTP/1.1 front end.
        engine: the engine's address; None if back ends of the operator's file run the requests.
        name_service: the address of the service registry; None for none.
        database: the dependency's address; None for none.
        seed: the seed of all random draws.
        stop_after_us: microseconds from the stop signal to the end of the drain.
        max_descriptors: the maximum number of file descriptors that the daemon may use.
        facts: the parsed settings of the site.
        log_level: the lowest level that is logged, one of `LOG_LEVELS`.
        settings: the settings of the site as texts, by dotted path.
    """

    name: str
    listen: Address
    engine: Address | None
    name_service: Address | None
    database: Address | None
    seed: int
    stop_after_us: int
    max_descriptors: int
    facts: SiteFacts
    log_level: str
    settings: dict[str, str]

    def mismatch_with(self, new: DaemonConfiguration) -> str | None:
        """Return the key that shows that another configuration belongs to another server.

        A reload must not apply such a configuration, since the engine of another server does not
        know the requests in flight here. Other values may differ between two starts.

        Returns:
            The key of the server's name, the request classes or the tenants, whichever differs
            first; None if all of them agree.
        """
        if new.name != self.name:
            return "name"
        if [each.name for each in new.facts.request_classes] != [
            each.name for each in self.facts.request_classes
        ]:
            return "settings.Profiles"
        if [each.name for each in new.facts.tenants] != [each.name for each in self.facts.tenants]:
            return "settings.Orgs"
        return None

    def changed_fields(self, old: DaemonConfiguration) -> list[str]:
        """Return the names of the fields that differ from another configuration, in order."""
        return [
            field.name
            for field in fields(self)
            if field.name not in NOT_COMPARED
            and getattr(self, field.name) != getattr(old, field.name)
        ]


def load_configuration(
    environment: Mapping[str, str], engine_optional: bool = False
) -> DaemonConfiguration:
    """Read and check the configuration.

    Args:
        environment: names the file (NODE_CONFIG), overrides some of its keys (NODE_NAME,
            NODE_LISTEN) and sets the log level (GULLYOKE_LOG).
        engine_optional: whether back ends of an operator's file run the requests. The keys of the
            engine, the service registry and the database may then be missing. The key of the
            database may also be missing if the settings name no dependency.

    Raises:
        ConfigurationError: a variable, the file, or a key is missing or invalid.
    """
    file = _read_file(environment)
    try:
        return _check(file, environment, engine_optional)
    except RecursionError:
        path = environment["NODE_CONFIG"]
        raise ConfigurationError(f"NODE_CONFIG: {path} is nested too deeply") from None


def _check(
    file: Json, environment: Mapping[str, str], engine_optional: bool
) -> DaemonConfiguration:
    limits = _object(file, "limits", {})
    log_level = _log_level(environment)
    settings = flatten_settings(_object(file, "settings"))
    facts = parse_site_facts(settings)
    no_dependency = not facts.dependency.exists
    # The order of the checks decides which of several errors in a file is reported.
    engine = _optional_address(file, "engine", engine_optional)
    name_service = _optional_address(file, "naming", engine_optional)
    database = _optional_address(file, "db", engine_optional or no_dependency)
    return DaemonConfiguration(
        name=_name(file, "name"),
        listen=_address(file, "listen"),
        engine=engine,
        name_service=name_service,
        database=database,
        seed=_seed(file, "seed"),
        stop_after_us=_whole_number(file, "stop_ms", 1) * US_PER_MS,
        max_descriptors=_whole_number(
            limits, "limits.sockets", MIN_DESCRIPTORS, DEFAULT_DESCRIPTORS
        ),
        facts=facts,
        log_level=log_level,
        settings=settings,
    )


def _read_file(environment: Mapping[str, str]) -> Json:
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigurationError("missing environment variable 'NODE_CONFIG'")
    try:
        with open(path, encoding="utf-8") as opened:
            found = json.load(opened)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationError(f"NODE_CONFIG: {path} can't be read: {error}") from None
    if not isinstance(found, dict):
        raise ConfigurationError(f"NODE_CONFIG: {path} does not contain a JSON object")
    replaced = {
        key: environment[variable]
        for key, variable in ENVIRONMENT_KEYS.items()
        if environment.get(variable)
    }
    return found | replaced


def _log_level(environment: Mapping[str, str]) -> str:
    level = environment.get("GULLYOKE_LOG", "INFO").upper()
    if level not in LOG_LEVELS:
        raise ConfigurationError(
            f"environment variable 'GULLYOKE_LOG' is {level!r}, not one of {', '.join(LOG_LEVELS)}"
        )
    return level


def _value(found: Json, key: str, default: object = None) -> Any:
    """Return the value of a key; for a dotted key, only the last part is looked up."""
    value = found.get(key.rsplit(".", 1)[-1], default)
    if value is None:
        raise ConfigurationError(f"missing key '{key}'")
    return value


def _object(found: Json, key: str, default: Json | None = None) -> Json:
    value = _value(found, key, default)
    if not isinstance(value, dict):
        raise ConfigurationError(f"key '{key}' is {value!r}, not a JSON object")
    return value


def _name(found: Json, key: str) -> str:
    value = _value(found, key)
    valid = isinstance(value, str) and value and value.isprintable()
    if not valid or FORBIDDEN_IN_NAME & set(value):
        raise ConfigurationError(
            f"key '{key}' is {value!r}, not a name of printable characters without any of ' /?#%'"
        )
    return str(value)


def _whole_number(found: Json, key: str, minimum: int, default: int | None = None) -> int:
    value = _value(found, key, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # No comparison with NaN holds; infinity is too large.
    if not is_number or not minimum <= value <= MAX_WHOLE_NUMBER or value != int(value):
        raise ConfigurationError(
            f"key '{key}' is {value!r}, not a whole number of at least {minimum}"
            f" and at most {MAX_WHOLE_NUMBER}"
        )
    return int(value)


def _seed(found: Json, key: str) -> int:
    """Return the seed, which is a number or a text of hexadecimal digits."""
    value = _value(found, key)
    try:
        return value if isinstance(value, int) else int(str(value), 16)
    except ValueError:
        raise ConfigurationError(
            f"key '{key}' is {value!r}, not a whole number or a text of hex digits"
        ) from None


def _address(found: Json, key: str) -> Address:
    value = _value(found, key)
    host, _, port = str(value).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ConfigurationError(f"key '{key}' is {value!r}, not an address such as 127.0.0.1:7001")
    return host, int(port)


def _optional_address(found: Json, key: str, optional: bool) -> Address | None:
    return None if optional and key not in found else _address(found, key)

"""Typed reading of settings, which are pairs of a dotted path and a text.

The simulator sends settings in this form; `flatten_settings` converts the JSON of the daemon's
configuration file to it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final, TypeVar

from gullyoke.errors import ConfigurationError

#: The largest number of a setting: whole numbers up to here are exact as floats, and as
#: microseconds (285 years) they can be waited for.
MAX_NUMBER: Final = 2**53
BOOLEANS: Final = {"true": True, "false": False, "1": True, "0": False}

NOT_TOO_LARGE: Final = f", at most {MAX_NUMBER}"

Value = TypeVar("Value")
Number = TypeVar("Number", int, float)


class SettingsReader:
    """Reads the settings below one path; each error names the full path of the setting.

    A setting without a default is required. The defaults of `choice`, `boolean` and `text` are
    given as the text of a setting.
    """

    def __init__(self, pairs: Mapping[str, str], prefix: str = "") -> None:
        """Create a reader.

        Args:
            pairs: the texts of all settings, by dotted path.
            prefix: the path before each key, with a trailing dot.
        """
        self.pairs = pairs
        self.prefix = prefix

    def section(self, path: str) -> SettingsReader:
        """Return a reader of the settings below `path`."""
        return SettingsReader(self.pairs, f"{self.prefix}{path}.")

    def text(self, key: str, default: str | None = None) -> str:
        """Return the text of a setting.

        Raises:
            ConfigurationError: the setting is missing and there is no default.
        """
        value = self.pairs.get(self.prefix + key, default)
        if value is None:
            raise ConfigurationError(f"missing setting '{self.prefix}{key}'")
        return value

    def number(self, key: str, default: float | None = None, minimum: float = 0.0) -> float:
        """Return a number of `minimum` or more, and at most `MAX_NUMBER`.

        Raises:
            ConfigurationError: the text is not such a number, or is missing without a default.
        """
        if default is not None and not self._has(key):
            return default
        return self._convert(
            key,
            self.text(key),
            lambda text: parse_number(text, minimum),
            f"a number, {minimum:g} or more{NOT_TOO_LARGE}",
        )

    def optional_number(self, key: str) -> float | None:
        """Return a number of 0 or more, or None if the setting is absent.

        Raises:
            ConfigurationError: the text is not such a number.
        """
        return self.number(key) if self._has(key) else None

    def whole_number(self, key: str, default: int | None = None, minimum: int = 0) -> int:
        """Return a whole number of `minimum` or more, and at most `MAX_NUMBER`.

        Raises:
            ConfigurationError: the text is not such a number, or is missing without a default.
        """
        if default is not None and not self._has(key):
            return default
        return self._convert(
            key,
            self.text(key),
            lambda text: _checked(_whole(text), minimum),
            f"a whole number, {minimum} or more{NOT_TOO_LARGE}",
        )

    def boolean(self, key: str, default: str | None = None) -> bool:
        """Return whether a setting is on.

        Raises:
            ConfigurationError: the text is not in `BOOLEANS`, or is missing without a default.
        """
        return self.choice(key, BOOLEANS, default)

    def choice(self, key: str, values: Mapping[str, Value], default: str | None = None) -> Value:
        """Return the value of `values` that the text of a setting selects.

        Raises:
            ConfigurationError: the text is not in `values`, or is missing without a default.
        """
        expected = "one of " + ", ".join(values)
        return self._convert(key, self.text(key, default), values.__getitem__, expected)

    def list_of(self, key: str, convert: Callable[[str], Value]) -> list[Value]:
        """Return the values of a comma-separated list, or an empty list if the setting is absent.

        Raises:
            ConfigurationError: `convert` does not accept a value.
        """
        return self._convert(
            key,
            self.text(key, ""),
            lambda text: [convert(value) for value in text.split(",")] if text else [],
            "a comma-separated list of valid values",
        )

    def _has(self, key: str) -> bool:
        return self.prefix + key in self.pairs

    def _convert(
        self, key: str, text: str, convert: Callable[[str], Value], expected: str
    ) -> Value:
        try:
            return convert(text)
        except (ValueError, KeyError, OverflowError):
            raise ConfigurationError(
                f"setting '{self.prefix}{key}' is {text!r}, not {expected}"
            ) from None


def flatten_settings(value: object, path: str = "") -> dict[str, str]:
    """Convert nested JSON to pairs of a dotted path and a text.

    A list that contains no objects or lists becomes one text, its values joined by commas. In any
    other list the key of each item is its index, and the key `count` holds the number of items.
    Null values are left out.
    """
    if value is None:
        return {}
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for key, inner in value.items():
            pairs.update(flatten_settings(inner, f"{path}.{key}" if path else key))
        return pairs
    if not isinstance(value, list):
        return {path: _plain_text(value)}
    if not any(isinstance(inner, dict | list) for inner in value):
        return {path: ",".join(_plain_text(inner) for inner in value)}
    pairs = {f"{path}.count": str(len(value))}
    for index, inner in enumerate(value):
        pairs.update(flatten_settings(inner, f"{path}.{index}"))
    return pairs


def _plain_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def parse_number(text: str, minimum: float = 0.0) -> float:
    """Return the number in a text.

    Raises:
        ValueError: the text is not a number from `minimum` to `MAX_NUMBER`.
    """
    return _checked(float(text), minimum)


def _checked(value: Number, minimum: Number) -> Number:
    if not minimum <= value <= MAX_NUMBER:  # which no comparison with NaN satisfies
        raise ValueError(value)
    return value


def _whole(text: str) -> int:
    """Parse a whole number, which may be written as 3.0 or 1e6."""
    try:
        return int(text)
    except ValueError:
        if not float(text).is_integer():
            raise
        return int(float(text))

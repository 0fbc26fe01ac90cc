"""The base of the errors that gullyoke raises on purpose, and the one of its configuration."""


class GullyokeError(Exception):
    """Base of all errors that gullyoke raises for a stated reason, which its text says."""


class ConfigurationError(GullyokeError, ValueError):
    """A configuration that is missing or invalid; the text names the key or the file."""

"""The base class of gullyoke's own exceptions, and the exception for invalid configurations."""


class GullyokeError(Exception):
    """Base class of all exceptions that gullyoke raises on purpose; the text states the reason."""


class ConfigurationError(GullyokeError, ValueError):
    """The configuration is missing or invalid; the text names the key or the file."""

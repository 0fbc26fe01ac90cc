"""The base of the errors that gullyoke raises on purpose."""


class GullyokeError(Exception):
    """Base of all errors that gullyoke raises for a stated reason, which its text says."""

"""Messages and answers, in a form that does not depend on the protocol of the front end."""

from __future__ import annotations

from typing import Final, NamedTuple

from gullyoke.errors import GullyokeError

REASON_PHRASES: Final = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


class BadRequestError(GullyokeError):
    """An invalid message; it is answered with a status and an empty body.

    Args:
        status: The HTTP status of the answer.
        why: What is wrong with the message, for the log.
    """

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Message(NamedTuple):
    """A complete message.

    Args:
        start_line: Method, path and version of a request; version, status and reason phrase of a
            response.
        fields: The header fields by their names in lower case.
        body: The body.
    """

    start_line: tuple[str, str, str]
    fields: dict[str, str]
    body: bytes

    def wants_close(self) -> bool:
        """Return whether the peer wants the connection closed after this message."""
        return "close" in self.fields.get("connection", "").lower()


class Answer(NamedTuple):
    """A complete answer.

    Args:
        status: The HTTP status.
        body: The body.
        fields: The header fields in order, without the content length; a name may occur twice.
    """

    status: int
    body: bytes = b""
    fields: tuple[tuple[str, str], ...] = ()

    def status_line(self) -> str:
        """Return the status and its standard reason phrase."""
        return f"{self.status} {REASON_PHRASES.get(self.status, 'Other')}"

    def size(self) -> int:
        """Return the approximate size in memory, in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.fields)

    def header_lines(self) -> str:
        """Return the header fields as lines that end in CR LF."""
        return "".join(f"{name}: {value}\r\n" for name, value in self.fields)

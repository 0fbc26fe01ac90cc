"""Messages and answers as all frontends see them, whatever their protocol."""

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
    """A message that is answered with a plain status and a close.

    Args:
        status: The HTTP status of the answer.
        why: What is wrong with the message.
    """

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Message(NamedTuple):
    """A whole message.

    Args:
        start_line: Its first line in three parts: method, path and version of a request; version,
            status and reason phrase of a response.
        fields: Its header fields, by their names in lower case.
        body: Its body.
    """

    start_line: tuple[str, str, str]
    fields: dict[str, str]
    body: bytes

    def wants_close(self) -> bool:
        """Return whether the peer wants the connection closed after this message."""
        return "close" in self.fields.get("connection", "").lower()


class Answer(NamedTuple):
    """A whole answer.

    Args:
        status: Its HTTP status.
        body: Its body.
        fields: Its header fields except its length, in their order; a name may occur twice.
    """

    status: int
    body: bytes = b""
    fields: tuple[tuple[str, str], ...] = ()

    def status_line(self) -> str:
        """Return the status and its usual reason phrase."""
        return f"{self.status} {REASON_PHRASES.get(self.status, 'Other')}"

    def size(self) -> int:
        """Return about how many bytes it takes to keep."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.fields)

    def header_lines(self) -> str:
        """Return the header fields as lines, each with its end."""
        return "".join(f"{name}: {value}\r\n" for name, value in self.fields)

"""What a front reads and what it answers, whatever the protocol it came by."""

from __future__ import annotations

from typing import NamedTuple

from gullyoke.errors import GullyokeError

REASONS = {
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
    """A message that is answered with a plain status and a close."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Message(NamedTuple):
    """A first line in its three parts, the fields by their names in lower case, and the body."""

    first: tuple[str, str, str]
    fields: dict[str, str]
    body: bytes

    def closes(self) -> bool:
        """Whether the peer wants the connection closed after this."""
        return "close" in self.fields.get("connection", "").lower()


class Answer(NamedTuple):
    """A whole answer.

    `fields` are those beside its length, in their order; a name may stand twice.
    """

    status: int
    body: bytes = b""
    fields: tuple[tuple[str, str], ...] = ()

    def line(self) -> str:
        """The status and its usual reason."""
        return f"{self.status} {REASONS.get(self.status, 'Other')}"

    def size(self) -> int:
        """What it takes to keep, about, in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.fields)

    def head(self) -> str:
        return "".join(f"{name}: {value}\r\n" for name, value in self.fields)

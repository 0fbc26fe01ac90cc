"""The client's side of SCGI: requests written to a backend, and its answers (see `scgi`)."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

from gullyoke.codec.buffer import Buffer
from gullyoke.codec.scgi import TOKEN
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.messages import Answer, Message

ANSWER_HEAD: Final = 8192  # the most bytes of a backend's answer before its body
ANSWER_BODY: Final = 2**20  # the most bytes of its body
MAX_ANSWER_LENGTH_DIGITS: Final = 12
# Fields about one connection or one message's framing (RFC 9110, 7.6.1), which are not passed on.
HOP_BY_HOP: Final = frozenset(
    {
        "content-length",
        "connection",
        "keep-alive",
        "transfer-encoding",
        "status",
        "trailer",
        "upgrade",
    }
)


def netstring(headers: Iterable[tuple[str, str]]) -> bytes:
    """Return headers, name NUL value NUL each, with their length before and a comma after them."""
    block = "".join(f"{name}\0{value}\0" for name, value in headers).encode("latin-1")
    return b"%d:%b," % (len(block), block)


def request(message: Message, overrides: dict[str, str]) -> bytes:
    """Return a request's bytes.

    Args:
        message: The request.
        overrides: Fields that take the place of the message's own; an empty one is left out.
    """
    method, path, _ = message.start_line
    fields = {
        name: value
        for name, value in (message.fields | overrides).items()
        if value and name not in HOP_BY_HOP
    }
    headers = [
        ("CONTENT_LENGTH", str(len(message.body))),
        ("SCGI", "1"),
        ("REQUEST_METHOD", method),
        ("REQUEST_URI", path),
        ("SCRIPT_NAME", ""),
        ("PATH_INFO", path),
        ("QUERY_STRING", ""),
        ("SERVER_PROTOCOL", "HTTP/1.1"),
    ]
    if content_type := fields.pop("content-type", ""):
        headers.append(("CONTENT_TYPE", content_type))
    headers += [("HTTP_" + name.upper().replace("-", "_"), value) for name, value in fields.items()]
    return netstring(headers) + message.body


def read_answer(buffer: Buffer, max_body_bytes: int = ANSWER_BODY) -> Answer:
    """Read a backend's answer, waiting for it.

    Raises:
        ConnectionClosedError: CLOSED where nothing came, CUT where the connection closed within
            the answer, GARBLED where it is no answer, is too long, or is followed by anything.
    """
    while (head_bytes := _take_answer_head(buffer)) is None:
        if len(buffer) > ANSWER_HEAD:
            raise ConnectionClosedError(CloseReason.GARBLED, "an answer's head too long")
        if not buffer.fill(True):
            raise ConnectionClosedError(CloseReason.CUT if len(buffer) else CloseReason.CLOSED)
    head = _parse_answer_head(head_bytes)
    if head.length is None:
        body = _read_body_to_close(buffer, max_body_bytes)
    else:
        body = _read_body(buffer, head.length, max_body_bytes)
    return Answer(head.status, body, head.fields)


def _read_body_to_close(buffer: Buffer, max_body_bytes: int) -> bytes:
    while len(buffer) <= max_body_bytes and buffer.fill(True):
        pass
    if len(buffer) > max_body_bytes:
        raise _answer_too_long(max_body_bytes)
    return buffer.take(len(buffer)) or b""


def _read_body(buffer: Buffer, length: int, max_body_bytes: int) -> bytes:
    if length > max_body_bytes:
        raise _answer_too_long(max_body_bytes)
    while (body := buffer.take(length)) is None:
        if not buffer.fill(True):
            raise ConnectionClosedError(CloseReason.CUT)
    if len(buffer):
        raise ConnectionClosedError(CloseReason.GARBLED, "more than one answer")
    return body


def _answer_too_long(max_body_bytes: int) -> ConnectionClosedError:
    return ConnectionClosedError(CloseReason.GARBLED, f"an answer of over {max_body_bytes} bytes")


def _take_answer_head(buffer: Buffer) -> bytes | None:
    """Take everything up to and with the blank line, whose line ends may be bare."""
    seen = buffer.peek(ANSWER_HEAD)
    found = [at + len(mark) for mark in (b"\r\n\r\n", b"\n\n") if (at := seen.find(mark)) >= 0]
    return buffer.take(min(found)) if found else None


class AnswerHead(NamedTuple):
    """The head of a backend's answer.

    Args:
        status: The HTTP status.
        fields: The fields that are passed on, in their order.
        length: The body's length in bytes; None where it ends with the connection.
    """

    status: int
    fields: tuple[tuple[str, str], ...]
    length: int | None


def _parse_answer_head(head: bytes) -> AnswerHead:
    status: int | None = None
    length: int | None = None
    fields: list[tuple[str, str]] = []
    seen: set[str] = set()
    for line in head.decode("latin-1").rstrip("\r\n").split("\n"):
        name, value = _parse_answer_field(line)
        lower = name.lower()
        if lower in ("status", "content-length") and lower in seen:
            raise ConnectionClosedError(CloseReason.GARBLED, f"two values of {lower}")
        seen.add(lower)
        if lower == "status":
            status = _parse_answer_status(value)
        elif lower == "content-length":
            length = _parse_answer_length(value)
        elif lower not in HOP_BY_HOP:
            fields.append((name, value))
    if not seen & {"status", "content-type", "location"}:
        raise ConnectionClosedError(CloseReason.GARBLED, "neither status nor type nor location")
    if status is None:
        status = 302 if "location" in seen else 200
    return AnswerHead(status, tuple(fields), length)


def _parse_answer_field(line: str) -> tuple[str, str]:
    name, colon, value = line.removesuffix("\r").partition(":")
    value = value.strip(" \t")
    if not colon or not name or not TOKEN.issuperset(name) or not _is_plain(value):
        raise ConnectionClosedError(CloseReason.GARBLED, f"a field {name[:20]!r}")
    return name, value


def _parse_answer_status(value: str) -> int:
    digits = value[:3]
    ends = value[3:4] in ("", " ")
    if not (digits.isascii() and digits.isdigit() and ends and digits >= "200"):
        raise ConnectionClosedError(CloseReason.GARBLED, "status")
    return int(digits)


def _parse_answer_length(value: str) -> int:
    if not (value.isascii() and value.isdigit()) or len(value) > MAX_ANSWER_LENGTH_DIGITS:
        raise ConnectionClosedError(CloseReason.GARBLED, "length")
    return int(value)


def _is_plain(value: str) -> bool:
    """Return whether nothing in a value ends the field for some readers."""
    return not any(character in value for character in "\0\r\n")

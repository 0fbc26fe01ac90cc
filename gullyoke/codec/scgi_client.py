"""The client side of SCGI: encodes requests to a back end and parses its answers (see `scgi`)."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

from gullyoke.codec.buffer import Buffer
from gullyoke.codec.scgi import TOKEN_CHARACTERS
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.messages import Answer, Message

MAX_ANSWER_HEAD_BYTES: Final = (
    8192  # the maximum size of a back end's answer before its body, in bytes
)
MAX_ANSWER_BODY_BYTES: Final = (
    2**20
)  # the maximum size of the body of a back end's answer, in bytes
MAX_ANSWER_LENGTH_DIGITS: Final = 12
# Fields that concern one connection or the framing of one message (RFC 9110, 7.6.1). They are not
# forwarded.
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
    """Encode headers as a netstring, each header as name NUL value NUL."""
    block = "".join(f"{name}\0{value}\0" for name, value in headers).encode("latin-1")
    return b"%d:%b," % (len(block), block)


def encode_request(message: Message, overrides: dict[str, str]) -> bytes:
    """Encode a request.

    Args:
        message: The request.
        overrides: Fields that replace those of the message; an empty value removes the field.
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


def read_answer(buffer: Buffer, max_body_bytes: int = MAX_ANSWER_BODY_BYTES) -> Answer:
    """Read a back end's answer, blocking until it is complete.

    Raises:
        ConnectionClosedError: CLOSED if the connection closed before the first byte, CUT if it
            closed within the answer, GARBLED if the answer is malformed, too long, or followed by
            more bytes.
    """
    while (head_bytes := _take_answer_head(buffer)) is None:
        if len(buffer) > MAX_ANSWER_HEAD_BYTES:
            raise ConnectionClosedError(
                CloseReason.GARBLED, f"answer head too long, over {MAX_ANSWER_HEAD_BYTES} bytes"
            )
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
    return ConnectionClosedError(
        CloseReason.GARBLED, f"body of the answer exceeds {max_body_bytes} bytes"
    )


def _take_answer_head(buffer: Buffer) -> bytes | None:
    """Consume everything up to the end of the blank line, whose line ends may be bare LF."""
    received = buffer.peek(MAX_ANSWER_HEAD_BYTES)
    ends = [at + len(mark) for mark in (b"\r\n\r\n", b"\n\n") if (at := received.find(mark)) >= 0]
    return buffer.take(min(ends)) if ends else None


class AnswerHead(NamedTuple):
    """The head of a back end's answer.

    Args:
        status: The HTTP status.
        fields: The fields that are forwarded, in the order received.
        length: The length of the body in bytes; None if the body ends when the connection closes.
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
            raise ConnectionClosedError(CloseReason.GARBLED, f"answer has two values of {lower}")
        seen.add(lower)
        if lower == "status":
            status = _parse_answer_status(value)
        elif lower == "content-length":
            length = _parse_answer_length(value)
        elif lower not in HOP_BY_HOP:
            fields.append((name, value))
    if not seen & {"status", "content-type", "location"}:
        raise ConnectionClosedError(
            CloseReason.GARBLED, "answer has neither status nor content-type nor location"
        )
    if status is None:
        status = 302 if "location" in seen else 200
    return AnswerHead(status, tuple(fields), length)


def _parse_answer_field(line: str) -> tuple[str, str]:
    name, colon, value = line.removesuffix("\r").partition(":")
    value = value.strip(" \t")
    if not colon or not name or not TOKEN_CHARACTERS.issuperset(name) or not _is_plain(value):
        raise ConnectionClosedError(
            CloseReason.GARBLED, f"answer has a malformed field {name[:20]!r}"
        )
    return name, value


def _parse_answer_status(value: str) -> int:
    digits = value[:3]
    ends = value[3:4] in ("", " ")
    if not (digits.isascii() and digits.isdigit() and ends and digits >= "200"):
        raise ConnectionClosedError(
            CloseReason.GARBLED, f"answer has an invalid status {value[:20]!r}"
        )
    return int(digits)


def _parse_answer_length(value: str) -> int:
    if not (value.isascii() and value.isdigit()) or len(value) > MAX_ANSWER_LENGTH_DIGITS:
        raise ConnectionClosedError(
            CloseReason.GARBLED, f"answer has an invalid content-length {value[:20]!r}"
        )
    return int(value)


def _is_plain(value: str) -> bool:
    """Return whether a value has no NUL, CR or LF, at which some parsers end a value."""
    return not any(character in value for character in "\0\r\n")

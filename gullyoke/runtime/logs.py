"""The server's log: one line an event, with fields; writing it never holds anybody up."""

from __future__ import annotations

import contextlib
import logging
import logging.handlers
import queue
import sys

log = logging.getLogger("gullyoke")


def log_fields(**given: object) -> dict[str, object]:
    """The pairs of a log line, under one name of their own.

    None of them can meet one that logging uses.
    """
    return {"pairs": given}


class KeyValueFormatter(logging.Formatter):
    """time=... level=... thread=... event="..." and the line's own pairs."""

    def format(self, record: logging.LogRecord) -> str:
        row = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "thread": record.threadName,
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            row["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={quoted(str(value))}" for key, value in row.items())


def quoted(text: str) -> str:
    if text and not any(c in text for c in ' "=\\') and text.isprintable():
        return text
    text = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return '"' + "".join(c if c.isprintable() else "?" for c in text) + '"'


class RateLimitedQueueHandler(logging.handlers.QueueHandler):
    """Hands lines to the writing thread; a full queue drops them.

    A log that is stuck must not stop reqs.

    Guards against a log that grows with what comes in: of one event so many lines a span are
    written, and the next one says how many were left out. Table: one row an event; the events are
    fixed in the code.
    """

    def __init__(self, lines: queue.Queue, most: int = 10, span: float = 10.0) -> None:
        super().__init__(lines)
        self.most, self.span, self.rows = most, span, {}

    def filter(self, record: logging.LogRecord) -> bool:
        began, written, left = self.rows.get(record.msg, (record.created, 0, 0))
        if record.created - began >= self.span:
            began, written = record.created, 0
        if record.levelno < logging.ERROR and written >= self.most:
            self.rows[record.msg] = began, written, left + 1
            return False
        if left:
            record.pairs = getattr(record, "pairs", {}) | {"left_out": left}
        self.rows[record.msg] = began, written + 1, 0
        return True

    def enqueue(self, record: logging.LogRecord) -> None:
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(record)

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        return record  # formatted by the writing thread, with its pairs


def start_logging(
    level: str, form: logging.Formatter | None = None
) -> logging.handlers.QueueListener:
    """The log, from now on; in key=value lines where no other `form` is given."""
    out = logging.StreamHandler(sys.stderr)
    out.setFormatter(form or KeyValueFormatter())
    lines: queue.Queue = queue.Queue(2000)
    log.addHandler(RateLimitedQueueHandler(lines))
    log.setLevel(level)
    log.propagate = False
    writer = logging.handlers.QueueListener(lines, out)
    writer.start()
    return writer

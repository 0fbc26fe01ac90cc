"""The server's log: one line with fields for each event; logging never blocks the caller."""

from __future__ import annotations

import contextlib
import logging
import logging.handlers
import queue
import sys
from dataclasses import dataclass
from typing import Final

log: Final = logging.getLogger("gullyoke")

MAX_QUEUED_LINES: Final = 2000  # further lines are dropped
LINES_PER_WINDOW: Final = 10  # for each event
WINDOW_S: Final = 10.0


def log_fields(**fields: object) -> dict[str, object]:
    """Return the fields of a log line as the `extra` argument of a logging call.

    They are grouped under one key, so that none collides with an attribute of the log record.
    """
    return {"pairs": fields}


class KeyValueFormatter(logging.Formatter):
    """Formats a line as time=... level=... thread=... event="..." followed by its fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as a line."""
        fields = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "thread": record.threadName,
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={quoted(str(value))}" for key, value in fields.items())


def quoted(text: str) -> str:
    """Return the value of a field, quoted and escaped if it would be ambiguous otherwise."""
    if text and not any(c in text for c in ' "=\\') and text.isprintable():
        return text
    text = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return '"' + "".join(c if c.isprintable() else "?" for c in text) + '"'


@dataclass(slots=True)
class _EventWindow:
    """How many lines of one event were written and dropped since `started_at` (Unix seconds)."""

    started_at: float
    written: int = 0
    left_out: int = 0


class RateLimitedQueueHandler(logging.handlers.QueueHandler):
    """Queues lines for the writing thread, with a limit on repeated events.

    Neither a blocked log nor a repeated event may delay requests or fill the disk. Lines are
    dropped while the queue is full. The number of lines of an event in a time window is limited,
    and the next line written says how many were dropped. Errors are not limited. The events are
    fixed in the code, so the table is bounded.

    Args:
        lines: The queue to the writing thread.
        lines_per_window: The maximum number of lines of an event in a window.
        window_s: The length of a window in seconds.
    """

    def __init__(
        self,
        lines: queue.Queue[logging.LogRecord],
        lines_per_window: int = LINES_PER_WINDOW,
        window_s: float = WINDOW_S,
    ) -> None:
        super().__init__(lines)
        self.lines_per_window = lines_per_window
        self.window_s = window_s
        self.windows: dict[str, _EventWindow] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Count a line, add the number of dropped lines to it, and return whether it is written."""
        window = self.windows.setdefault(record.msg, _EventWindow(record.created))
        if record.created - window.started_at >= self.window_s:
            window.started_at = record.created
            window.written = 0
        if record.levelno < logging.ERROR and window.written >= self.lines_per_window:
            window.left_out += 1
            return False
        if window.left_out:
            record.pairs = getattr(record, "pairs", {}) | {"left_out": window.left_out}
        window.written += 1
        window.left_out = 0
        return True

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line; drop it if the queue is full."""
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(record)

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the writing thread formats it."""
        return record


def start_logging(
    level: str, formatter: logging.Formatter | None = None
) -> logging.handlers.QueueListener:
    """Start the thread that writes the log to standard error.

    Args:
        level: The lowest level that is written.
        formatter: Formats the lines; None for key=value lines.

    Returns:
        The owner of the writing thread, to be stopped at the end of the process.
    """
    stream = logging.StreamHandler(sys.stderr)
    stream.setFormatter(formatter or KeyValueFormatter())
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    log.addHandler(RateLimitedQueueHandler(lines))
    log.setLevel(level)
    log.propagate = False
    writer = logging.handlers.QueueListener(lines, stream)
    writer.start()
    return writer

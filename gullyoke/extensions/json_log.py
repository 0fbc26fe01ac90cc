"""Log lines as JSON: each is one flat object with the names of the key=value lines."""

from __future__ import annotations

import logging
from typing import Any

from pythonjsonlogger.core import RESERVED_ATTRS
from pythonjsonlogger.json import JsonFormatter


class JsonLogFormatter(JsonFormatter):
    """Formats a record as one flat JSON object; values of types that JSON lacks become strings."""

    def __init__(self) -> None:
        super().__init__(reserved_attrs=RESERVED_ATTRS, json_default=str)

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Put the fields of a record into the object; the base class calls this."""
        log_data |= {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "thread": record.threadName,
            "event": record.getMessage(),
        }
        log_data |= getattr(record, "pairs", {})
        if record.exc_info:
            log_data["trace"] = self.formatException(record.exc_info)

"""The log's lines as JSON objects: one flat object a line, the same names as in key=value lines."""

from __future__ import annotations

import logging

from pythonjsonlogger.core import RESERVED_ATTRS
from pythonjsonlogger.json import JsonFormatter


class JsonLogFormatter(JsonFormatter):
    """Formats a record as one flat JSON object."""

    def __init__(self) -> None:
        """Create the formatter; values that JSON does not have become texts."""
        super().__init__(reserved_attrs=RESERVED_ATTRS, json_default=str)

    def add_fields(self, log_data: dict, record: logging.LogRecord, message_dict: dict) -> None:
        """Put the fields of a record into the object; called by the base class."""
        log_data |= {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "thread": record.threadName,
            "event": record.getMessage(),
        }
        log_data |= getattr(record, "pairs", {})
        if record.exc_info:
            log_data["trace"] = self.formatException(record.exc_info)

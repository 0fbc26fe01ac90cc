"""Parsing and formatting of the simulator's wire protocol: lines of `name field=value ...`."""

from __future__ import annotations

import traceback
from typing import Final

from gullyoke.admission.interface import (
    AwaitDuplicate,
    CallDependency,
    Cancel,
    Command,
    Fail,
    ForgetKey,
    Gauges,
    Reject,
    RememberKey,
    RequestEvent,
    Run,
    SkipDependencyCall,
)
from gullyoke.errors import GullyokeError

Fields = dict[str, str]
"""The texts of a message's fields, by the names of the fields on the wire."""

RUN_RESULTS: Final = {
    "200": RequestEvent.COMPLETED,
    "500": RequestEvent.FAILED,
    "499": RequestEvent.CANCELLED,
    "410": RequestEvent.NOT_STARTED,
}
CALL_RESULTS: Final = {
    "200": RequestEvent.CALL_SUCCEEDED,
    "500": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "503": RequestEvent.CALL_NOT_SENT,
    "504": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "502": RequestEvent.CALL_NOT_SENT,
    "598": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "499": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "410": RequestEvent.CALL_NOT_SENT,
}
ACTIONS: Final[dict[type[Command], str]] = {
    Run: "start",
    SkipDependencyCall: "bypass",
    AwaitDuplicate: "answer_from",
    Cancel: "suspend",
    ForgetKey: "forget",
    Fail: "error",
}
FLAGS: Final = {"1": True, "0": False, "true": True, "false": False}


class MalformedMessageError(GullyokeError):
    """The input does not follow the wire protocol; the message names the line."""


def parse_fields(parts: list[str]) -> Fields:
    """Parse the fields of a message.

    Raises:
        ValueError: If a part is not `name=value`.
    """
    fields: Fields = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator or not name:
            raise ValueError(f"'{part}' is not name=value")
        fields[name] = value
    return fields


def parse_gauges(text: str) -> Gauges:
    """Parse `name:value,...`; absent gauges are None, and unknown ones are ignored.

    Raises:
        ValueError: If a part is not `name:number`.
    """
    pairs = (pair.split(":", 1) for pair in text.split(",") if pair)
    values = {name: float(value) for name, value in pairs}
    return Gauges(
        busy=values.get("core_use"),
        runnable=values.get("on_cores"),
        connections=values.get("links"),
    )


def format_command(request_id: str, command: Command) -> str | None:
    """Return the line for a command, or None if the simulator need not carry it out."""
    if isinstance(command, Reject):
        text = f"bounce Tid={request_id}"
        if command.stop_retrying:
            text += " DontRetry=1"
        if command.retry_after:
            text += f" RetryInUs={command.retry_after}"
        return text
    if isinstance(command, CallDependency):
        return f"ask_below Tid={request_id} TryForUs={command.timeout}"
    if isinstance(command, RememberKey):
        return f"keep Tid={request_id} SpanUs={command.duration}"
    action = ACTIONS.get(type(command))
    return None if action is None else f"{action} Tid={request_id}"


def format_internal_error(error: Exception) -> str:
    """Return the line that reports an error in the controller, and where it was raised."""
    place = traceback.extract_tb(error.__traceback__)[-1]
    message = " ".join(str(error).split())
    return f"bug Words={type(error).__name__}: {message} in {place.name}, line {place.lineno}"

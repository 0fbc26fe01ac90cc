"""The engine's protocol: encodes commands and parses lines into typed notices.

On a new link the engine repeats the numbered notices that follow the one named in `ATTACH`.
"""

from __future__ import annotations

import contextlib
import math
from typing import Final, NamedTuple

from gullyoke.codec import lines
from gullyoke.codec.buffer import Buffer
from gullyoke.codec.lines import encode_message
from gullyoke.executors import EngineState, RunOutcome
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError

ENGINE_STATES: Final = {state.value: state for state in EngineState}
RUN_OUTCOMES: Final = {outcome.value: outcome for outcome in RunOutcome}
LONGEST_REPORTED_LINE: Final = 100  # characters of an invalid line that are logged


class Hello(NamedTuple):
    """HELLO: the first notice on a link."""

    state: EngineState
    uptime_ms: int


class RunEndedNotice(NamedTuple):
    """DONE: a run has ended."""

    number: int
    request_id: str
    outcome: RunOutcome
    result: bytes


class CallNeededNotice(NamedTuple):
    """NEED: a run waits for a call to the dependency."""

    number: int
    request_id: str
    body: bytes


class GaugesNotice(NamedTuple):
    """STATS: the gauges that were polled with this tag, as text."""

    tag: str
    values: tuple[str, ...]


class CommandRefused(NamedTuple):
    """NO: the engine refused a command."""

    command: str
    request_id: str


class UnknownNotice(NamedTuple):
    """NOTE: a notice that is ignored except that it counts as read."""

    number: int


Notice = Hello | RunEndedNotice | CallNeededNotice | GaugesNotice | CommandRefused | UnknownNotice


def attach(last_notice: int) -> bytes:
    """Return the first message on a link, which requests the notices after `last_notice`."""
    return encode_message("ATTACH", last_notice)


def run(request_id: str, request_class: str, body: bytes) -> bytes:
    """Return the command that starts a run."""
    return encode_message("RUN", request_id, request_class, body=body)


def call_reply(request_id: str, reply: bytes) -> bytes:
    """Return the command that gives a run the reply that it waits for."""
    return encode_message("FEED", request_id, body=reply)


def skip_call(request_id: str, notice: int) -> bytes:
    """Return the command that continues a run without the call that `notice` requested."""
    return encode_message("SKIP", request_id, notice)


def cancel(request_id: str) -> bytes:
    """Return the command that cancels a run."""
    return encode_message("HALT", request_id)


def poll_gauges(tag: int | str) -> bytes:
    """Return the command that requests the gauges with this tag."""
    return encode_message("STAT", tag)


def read_notice(buffer: Buffer, gauge_count: int) -> Notice | None:
    """Wait for and return the next notice; None if the engine closed the link between two notices.

    Raises:
        ConnectionClosedError: The link ended within a notice, or the line is not a valid notice.
    """
    parts = lines.read(buffer)
    if parts is None:
        return None
    match parts:
        case ["DONE", number, request_id, outcome, _, size] if outcome in RUN_OUTCOMES:
            result = lines.read_body(buffer, size)
            return RunEndedNotice(
                lines.parse_whole_number(number), request_id, RUN_OUTCOMES[outcome], result
            )
        case ["NEED", number, request_id, size]:
            body = lines.read_body(buffer, size)
            return CallNeededNotice(lines.parse_whole_number(number), request_id, body)
        case ["STATS", tag, *values] if len(values) == gauge_count:
            return GaugesNotice(tag, tuple(values))
        case ["NO", refused, request_id]:
            return CommandRefused(refused, request_id)
        case ["HELLO", state, uptime_ms] if state in ENGINE_STATES:
            return Hello(ENGINE_STATES[state], lines.parse_whole_number(uptime_ms))
        case ["NOTE", number, *_]:
            return UnknownNotice(lines.parse_whole_number(number))
    raise ConnectionClosedError(CloseReason.GARBLED, " ".join(parts)[:LONGEST_REPORTED_LINE])


def parse_gauge(text: str) -> float:
    """Return the value of a gauge.

    Raises:
        ConnectionClosedError: The text is not a finite number.
    """
    with contextlib.suppress(ValueError):
        value = float(text)
        if math.isfinite(value):
            return value
    raise ConnectionClosedError(CloseReason.GARBLED, f"gauge value {text[:20]!r} is not a number")

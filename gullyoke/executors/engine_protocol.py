"""The engine's protocol: commands to bytes, and lines to typed notices.

A notice that bears a number is repeated by the engine on a new link unless `ATTACH` names a later
one.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from gullyoke.codec import lines
from gullyoke.codec.buffer import Buffer
from gullyoke.codec.lines import encode_message
from gullyoke.executors import EngineState, RunOutcome
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError

ENGINE_STATES: Final = {state.value: state for state in EngineState}
RUN_OUTCOMES: Final = {outcome.value: outcome for outcome in RunOutcome}
LONGEST_REPORTED_LINE: Final = 100  # characters of a garbled line that go into the log


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
    """STATS: the gauges that were polled under this tag, as text."""

    tag: str
    values: tuple[str, ...]


class CommandRefused(NamedTuple):
    """NO: a command was not carried out."""

    command: str
    request_id: str


class UnknownNotice(NamedTuple):
    """NOTE: a notice of no meaning here, which is counted as read."""

    number: int


Notice = Hello | RunEndedNotice | CallNeededNotice | GaugesNotice | CommandRefused | UnknownNotice


def attach(last_notice: int) -> bytes:
    """The first message on a link: repeat the notices after this one."""
    return encode_message("ATTACH", last_notice)


def run(request_id: str, request_class: str, body: bytes) -> bytes:
    """The command to begin a run."""
    return encode_message("RUN", request_id, request_class, body=body)


def call_reply(request_id: str, reply: bytes) -> bytes:
    """The command to hand a run the reply that it waits for."""
    return encode_message("FEED", request_id, body=reply)


def skip_call(request_id: str, notice: int) -> bytes:
    """The command to go on without the call that this notice asked for."""
    return encode_message("SKIP", request_id, notice)


def cancel(request_id: str) -> bytes:
    """The command to end a run."""
    return encode_message("HALT", request_id)


def poll_gauges(tag: int | str) -> bytes:
    """The command to report the gauges under this tag."""
    return encode_message("STAT", tag)


def read_notice(buffer: Buffer, gauge_count: int) -> Notice | None:
    """The next notice, waiting for it; None when the engine closed the link between two.

    Raises:
        ConnectionClosedError: The link ended within a notice, or what came is none.
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
    """The value of a gauge.

    Raises:
        ConnectionClosedError: It is no number.
    """
    try:
        return float(text)
    except ValueError:
        raise ConnectionClosedError(CloseReason.GARBLED, f"gauge {text[:20]!r}") from None

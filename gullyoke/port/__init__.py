"""The interface between the decisions (gullyoke/choice.py) and whatever carries reqs to them.

A front (the drill's adapter today, others later) makes one server of decisions per process, fills
in the types of `facts`, carries out what comes through its `Door`. A req's path is a generator;
`stage` steps it. Nothing here decides anything or knows any wire.
"""

from gullyoke.port.beside import ALONE, UNSHARED, Beside, Slots
from gullyoke.port.facts import (
    PAST,
    Below,
    Customer,
    Fleet,
    Gauges,
    Handler,
    Kind,
    Limits,
    Machine,
    Permits,
    Repeat,
    Req,
    StopMode,
)
from gullyoke.port.stage import (
    FAIL,
    FORGET,
    HOLD,
    REUSE,
    RUN,
    SKIP,
    STOP,
    WAIT,
    Call,
    Command,
    Door,
    Keep,
    Shed,
    Stage,
    Word,
)

__all__ = [
    "ALONE",
    "FAIL",
    "FORGET",
    "HOLD",
    "PAST",
    "REUSE",
    "RUN",
    "SKIP",
    "STOP",
    "UNSHARED",
    "WAIT",
    "Below",
    "Beside",
    "Call",
    "Command",
    "Customer",
    "Door",
    "Fleet",
    "Gauges",
    "Handler",
    "Keep",
    "Kind",
    "Limits",
    "Machine",
    "Permits",
    "Repeat",
    "Req",
    "Shed",
    "Slots",
    "Stage",
    "StopMode",
    "Word",
]

"""Batches read and replies written.

One `Seat` for each server, which shares nothing with the others.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from typing import TextIO

from gullyoke.admission.controller import AdmissionController
from gullyoke.admission.interface import (
    PAST,
    AwaitDuplicate,
    CallDependency,
    Cancel,
    Command,
    Fail,
    ForgetKey,
    Gauges,
    Reject,
    RememberKey,
    Request,
    RequestEvent,
    Run,
    SkipDependencyCall,
)
from gullyoke.errors import GullyokeError
from gullyoke.settings.site_settings import SiteFacts, parse_site_facts

RUN_ENDS = {
    "200": RequestEvent.COMPLETED,
    "500": RequestEvent.FAILED,
    "499": RequestEvent.CANCELLED,
    "410": RequestEvent.NOT_STARTED,
}
CALL_ENDS = {
    "200": RequestEvent.CALL_SUCCEEDED,
    "500": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "503": RequestEvent.CALL_NOT_SENT,
    "504": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "502": RequestEvent.CALL_NOT_SENT,
    "598": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "499": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "410": RequestEvent.CALL_NOT_SENT,
}
ACTIONS: dict[type[Command], str] = {
    Run: "start",
    SkipDependencyCall: "bypass",
    AwaitDuplicate: "answer_from",
    Cancel: "suspend",
    ForgetKey: "forget",
    Fail: "error",
}


class MalformedMessageError(GullyokeError):
    """What came in is not the wire; the text names the line."""


class Ticketed(Request):
    """A req with its id on the wire."""

    __slots__ = ("request_id",)


class Seat:
    """One server's decisions at their place on the wire; the port's Door.

    `reqs` holds those in hand.
    """

    def __init__(self, now: int, seed: int, facts: SiteFacts) -> None:
        self.lines: list[str] = []
        self.requests: dict[str, Ticketed] = {}
        self.request_classes = {h.name: h for h in facts.request_classes}
        self.tenants = {c.name: c for c in facts.tenants}
        self.server = None
        guarded(self, lambda: self.open(now, seed, facts))

    def open(self, now: int, seed: int, facts: SiteFacts) -> None:
        self.server = AdmissionController(now, self, facts)

    # The Door.

    def execute(self, request: Ticketed, command) -> None:
        if isinstance(command, Reject):
            text = f"bounce Tid={request.request_id}"
            if command.stop_retrying:
                text += " DontRetry=1"
            if command.retry_after:
                text += f" RetryInUs={command.retry_after}"
        elif isinstance(command, CallDependency):
            text = f"ask_below Tid={request.request_id} TryForUs={command.timeout}"
        elif isinstance(command, RememberKey):
            text = f"keep Tid={request.request_id} SpanUs={command.duration}"
        else:
            action = ACTIONS.get(type(command))
            if action is None:
                return
            text = f"{action} Tid={request.request_id}"
        self.lines.append(text)

    def finished(self, request: Ticketed) -> None:
        self.requests.pop(request.request_id, None)

    def schedule_tick(self, after: int) -> None:
        self.lines.append(f"notify_me SpanUs={after} Token=1")

    def set_health(self, good: bool, cheap: bool) -> None:
        self.lines.append(f"mark_health On={good:d} Cheap={cheap:d}")

    def set_load_signal(self, level: float) -> None:
        self.lines.append(f"stamp Level={level}")

    def set_idle_timeout(self, span: int) -> None:
        self.lines.append(f"keepalive SpanUs={span}")

    def log(self, text: str) -> None:
        self.lines.append(f"log Words={text}")

    def run_in_background(self, work: Iterable) -> None:
        for _ in work:  # no time passes within a batch
            pass

    # Events.

    def arrival(self, now: int, get: dict[str, str]) -> None:
        request_class = self.request_classes[get["Type"]]
        arrived = now - int(get.get("BacklogTimeUs", 0))
        prior = get.get("Forerunner", "0")
        owner = get.get("Owner", "0")
        request = Ticketed(
            request_class,
            arrived,
            int(get.get("NotAfterUs", 0)) or arrived + request_class.timeout,
            float(get.get("Footprint", 0)),
            flag(get.get("Resent", "0")),
            None if prior == "0" else self.requests.get(prior, PAST),
            "NameKey" in get,
            None if owner == "0" else self.tenants[owner],
            int(get.get("CostUs", 0)),
            float(get.get("Standing", 0)),
        )
        request.request_id = get["Tid"]
        self.requests[request.request_id] = request
        self.server.on_request(now, request)

    def tell(self, now: int, get: dict[str, str], word: RequestEvent) -> None:
        request = self.requests.get(get["Tid"])
        if request is not None:
            self.server.on_event(now, request, word)

    def fired(self, now: int, get: dict[str, str]) -> None:
        int(get["Token"])
        pairs = (pair.split(":", 1) for pair in get.get("Telemetry", "").split(",") if pair)
        got = {name: float(value) for name, value in pairs}
        self.server.on_tick(now, Gauges(got.get("core_use"), got.get("on_cores"), got.get("links")))

    def quiesce(self, now: int, get: dict[str, str]) -> None:
        self.server.begin_drain(now, int(get["NotAfterUs"]))

    def event(self, name: str, now: int, get: dict[str, str]) -> None:
        if name == "finished":
            self.tell(now, get, RUN_ENDS[get["Result"]])
        elif name == "call_done":
            self.tell(now, get, CALL_ENDS[get["Result"]])
        elif name == "needs":
            self.tell(now, get, RequestEvent.DEPENDENCY_CALL_NEEDED)
        elif name == "timed_out_client":
            self.tell(now, get, RequestEvent.CLIENT_GONE)
        else:
            getattr(self, name)(now, get)


EVENTS = {"arrival", "finished", "call_done", "needs", "timed_out_client", "fired", "quiesce"}


def flag(text: str) -> bool:
    return {"1": True, "0": False, "true": True, "false": False}[text]


def fields(parts: list[str]) -> dict[str, str]:
    get = {}
    for part in parts:
        name, mark, value = part.partition("=")
        if not mark or not name:
            raise ValueError(f"'{part}' is not name=value")
        get[name] = value
    return get


def guarded(seat: Seat, act: Callable[[], None]) -> None:
    """Run decision code; what breaks there is told on the wire."""
    try:
        act()
    except Exception as fault:
        where = traceback.extract_tb(fault.__traceback__)[-1]
        text = " ".join(str(fault).split())
        seat.lines.append(
            f"bug Words={type(fault).__name__}: {text} in {where.name}, line {where.lineno}"
        )


class Checked:
    """A seat's server behind `guarded`, so that the wire's own errors and the decisions' stay
    apart.
    """

    def __init__(self, seat: Seat) -> None:
        self.seat, self.server = seat, seat.server

    def __getattr__(self, name: str) -> Callable[..., None]:
        def call(*given: object) -> None:
            guarded(self.seat, lambda: getattr(self.server, name)(*given))

        return call


class Play:
    """All seats of one adapter process, and where the reading of the batch stands."""

    def __init__(self) -> None:
        self.seats: dict[str, Seat] = {}
        self.touched: dict[str, None] = {}
        self.now = self.seq = -1
        self.within, self.who = False, ""

    def line(self, text: str) -> list[str] | None:
        """Take one line; at a batch's end, the reply's lines."""
        parts = text.split(" ")
        name = parts[0]
        if name == "frame":
            self.frame(fields(parts[1:]))
            return None
        if not self.within:
            raise ValueError(f"'{name}' outside a batch")
        if name == "eob":
            return self.reply()
        get = fields(parts[1:])
        if name == "on":
            self.who = get["Who"]
            if not self.who:
                raise ValueError("no instance named")
        elif not self.who:
            raise ValueError(f"'{name}' before any 'on'")
        elif name == "configure":
            seat = Seat(self.now, int(get["Entropy"]), parse_site_facts(get))
            seat.server = Checked(seat)
            self.seats[self.who], self.touched[self.who] = seat, None
        elif name == "power_off":
            self.seats.pop(self.who, None)
            self.touched.pop(self.who, None)
        elif name in EVENTS:
            if self.who not in self.seats:
                raise ValueError(f"'{name}' for '{self.who}', which has not started")
            self.touched[self.who] = None
            self.seats[self.who].event(name, self.now, get)
        else:
            raise ValueError(f"unknown message '{name}'")
        return None

    def frame(self, get: dict[str, str]) -> None:
        now, seq = int(get["TimeUs"]), int(get["seq"])
        if self.within:
            raise ValueError("a batch inside a batch")
        if seq <= self.seq or now < self.now:
            raise ValueError(f"batch {seq} at {now} out of order after {self.seq} at {self.now}")
        self.now, self.seq, self.within, self.who = now, seq, True, ""

    def reply(self) -> list[str]:
        out = []
        for who in self.touched:
            seat = self.seats[who]
            seat.server.dispatch(self.now)
            if seat.lines:
                out.append(f"source Who={who}")
                out += seat.lines
                seat.lines.clear()
        self.touched.clear()
        self.within = False
        out.append(f"eor seq={self.seq}")
        return out


def play(source: Iterable[bytes], sink: TextIO) -> None:
    """Answer batch after batch until the input ends."""
    game = Play()
    for number, raw in enumerate(source, 1):
        try:
            text = raw.decode("utf-8").rstrip("\r\n")
            reply = game.line(text) if text else None
        except KeyError as fault:
            raise MalformedMessageError(f"line {number}: missing or unknown {fault}") from None
        except ValueError as fault:
            raise MalformedMessageError(f"line {number}: {fault}") from None
        if reply is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    if game.within:
        raise MalformedMessageError("the input ended inside a batch")

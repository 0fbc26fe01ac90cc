"""Batches read and replies written.

One `Seat` for each server, which shares nothing with the others.
"""

from __future__ import annotations

import random
import traceback
from collections.abc import Callable, Iterable
from typing import TextIO

from gullyoke.choice import Server
from gullyoke.options import Facts, facts_of
from gullyoke.port import PAST, Call, Gauges, Keep, Req, Shed, Word

RUN_ENDS = {"200": Word.DONE, "500": Word.ERRORED, "499": Word.STOPPED, "410": Word.MOOT}
CALL_ENDS = {
    "200": Word.CALL_OK,
    "500": Word.CALL_LOST,
    "503": Word.CALL_UNRUN,
    "504": Word.CALL_LOST,
    "502": Word.CALL_UNRUN,
    "598": Word.CALL_LOST,
    "499": Word.CALL_LOST,
    "410": Word.CALL_UNRUN,
}
ACTIONS = {
    "run": "start",
    "skip": "bypass",
    "reuse": "answer_from",
    "stop": "suspend",
    "forget": "forget",
    "fail": "error",
}


class Malformed(Exception):
    """What came in is not the wire; the text names the line."""


class Ticketed(Req):
    """A req with its id on the wire."""

    __slots__ = ("tid",)


class Seat:
    """One server's decisions at their place on the wire; the port's Door.

    `reqs` holds those in hand.
    """

    def __init__(self, now: int, seed: int, facts: Facts) -> None:
        self.lines: list[str] = []
        self.reqs: dict[str, Ticketed] = {}
        self.handlers = {h.name: h for h in facts.handlers}
        self.customers = {c.name: c for c in facts.customers}
        self.server = None
        guarded(self, lambda: self.open(now, seed, facts))

    def open(self, now: int, seed: int, facts: Facts) -> None:
        self.server = Server(
            now,
            self,
            random.Random(seed),
            facts.handlers,
            facts.customers,
            facts.machine,
            facts.limits,
            facts.below,
            facts.permits,
            facts.fleet,
        )

    # The Door.

    def do(self, req: Ticketed, command) -> None:
        if isinstance(command, Shed):
            text = f"bounce Tid={req.tid}"
            if command.dont_retry:
                text += " DontRetry=1"
            if command.retry_in:
                text += f" RetryInUs={command.retry_in}"
        elif isinstance(command, Call):
            text = f"ask_below Tid={req.tid} TryForUs={command.try_for}"
        elif isinstance(command, Keep):
            text = f"keep Tid={req.tid} SpanUs={command.span}"
        elif command.name in ACTIONS:
            text = f"{ACTIONS[command.name]} Tid={req.tid}"
        else:
            return
        self.lines.append(text)

    def over(self, req: Ticketed) -> None:
        self.reqs.pop(req.tid, None)

    def wake(self, after: int) -> None:
        self.lines.append(f"notify_me SpanUs={after} Token=1")

    def health(self, good: bool, cheap: bool) -> None:
        self.lines.append(f"mark_health On={good:d} Cheap={cheap:d}")

    def stamp(self, level: float) -> None:
        self.lines.append(f"stamp Level={level}")

    def idle(self, span: int) -> None:
        self.lines.append(f"keepalive SpanUs={span}")

    def log(self, text: str) -> None:
        self.lines.append(f"log Words={text}")

    def think(self, work: Iterable) -> None:
        for _ in work:  # no time passes within a batch
            pass

    # Events.

    def arrival(self, now: int, get: dict[str, str]) -> None:
        handler = self.handlers[get["Type"]]
        arrived = now - int(get.get("BacklogTimeUs", 0))
        prior = get.get("Forerunner", "0")
        owner = get.get("Owner", "0")
        req = Ticketed(
            handler,
            arrived,
            int(get.get("NotAfterUs", 0)) or arrived + handler.timeout,
            float(get.get("Footprint", 0)),
            flag(get.get("Resent", "0")),
            None if prior == "0" else self.reqs.get(prior, PAST),
            "NameKey" in get,
            None if owner == "0" else self.customers[owner],
            int(get.get("CostUs", 0)),
            float(get.get("Standing", 0)),
        )
        req.tid = get["Tid"]
        self.reqs[req.tid] = req
        self.server.read(now, req)

    def tell(self, now: int, get: dict[str, str], word: Word) -> None:
        req = self.reqs.get(get["Tid"])
        if req is not None:
            self.server.tell(now, req, word)

    def fired(self, now: int, get: dict[str, str]) -> None:
        int(get["Token"])
        pairs = (pair.split(":", 1) for pair in get.get("Telemetry", "").split(",") if pair)
        got = {name: float(value) for name, value in pairs}
        self.server.gauges(now, Gauges(got.get("core_use"), got.get("on_cores"), got.get("links")))

    def quiesce(self, now: int, get: dict[str, str]) -> None:
        self.server.leave(now, int(get["NotAfterUs"]))

    def event(self, name: str, now: int, get: dict[str, str]) -> None:
        if name == "finished":
            self.tell(now, get, RUN_ENDS[get["Result"]])
        elif name == "call_done":
            self.tell(now, get, CALL_ENDS[get["Result"]])
        elif name == "needs":
            self.tell(now, get, Word.NEEDS)
        elif name == "timed_out_client":
            self.tell(now, get, Word.GONE)
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
            seat = Seat(self.now, int(get["Entropy"]), facts_of(get))
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
            seat.server.settle(self.now)
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
            raise Malformed(f"line {number}: missing or unknown {fault}") from None
        except ValueError as fault:
            raise Malformed(f"line {number}: {fault}") from None
        if reply is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    if game.within:
        raise Malformed("the input ended inside a batch")

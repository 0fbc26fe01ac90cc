"""Relay: what engine and database say becomes the port's words.

Results and replies go on unchanged.
"""

from __future__ import annotations

from gullyoke.core import clock
from gullyoke.core.book import Book, log, pairs
from gullyoke.core.desk import Desk, Taken
from gullyoke.core.message import Answer
from gullyoke.daemon.route import Route
from gullyoke.port import FAIL, Word

RUN_ENDS = {"ok": Word.DONE, "failed": Word.ERRORED, "halted": Word.STOPPED, "void": Word.MOOT}


class Relay:
    """Heard by engine and database on their reading threads."""

    def __init__(self, desk: Desk, route: Route, book: Book) -> None:
        self.desk, self.route, self.book = desk, route, book

    def hello(self, state: str, ms: int) -> None:
        """The engine is up; the decisions begin with it, cold if it is."""
        if self.desk.server is None:
            self.desk.facts.machine.fresh_start |= state == "cold"
            self.desk.open(self.route, clock.now() - ms * 1000)
            log.info("serving", extra=pairs(engine=state, up_ms=ms))

    def done(self, tid: str, end: str, result: bytes) -> None:
        self.book.add(f"runs.{end}")
        self._with(tid, lambda req: self._done(req, RUN_ENDS[end], Answer(200, result)))

    def ran(self, req: Taken, word: Word, answer: Answer | None) -> None:
        """A run at a back end is over, or there is nowhere to run it."""
        self.book.add(f"runs.{word.name.lower()}")

        def act() -> None:
            if self.desk.reqs.get(req.tid) is req:
                self._done(req, word, answer)

        self.desk.handle(act, req)

    def _done(self, req: Taken, word: Word, result: Answer | None) -> None:
        desk = self.desk
        req.noticed += 1
        if word is Word.DONE:
            desk.answer(req, word, result)
        elif word is Word.ERRORED:
            desk.answer(req, FAIL, result if result is not None and result.status != 200 else None)
        if req.entry is not None and word not in (Word.MOOT, Word.UNRUN):
            for waiter in desk.repeats.ended(req, result if word is Word.DONE else None, desk.now):
                if word is Word.DONE:
                    desk.answer(waiter, word, result)
                desk.later.append((waiter, word if word is Word.DONE else Word.ERRORED))
        desk.server.tell(desk.now, req, word)

    def need(self, tid: str, notice: int, body: bytes) -> None:
        self.book.add("runs.needs")

        def act(req: Taken) -> None:
            req.noticed += 1
            req.need, req.asking = notice, body
            self.desk.server.tell(self.desk.now, req, Word.NEEDS)

        self._with(tid, act)

    def not_done(self, command: str, tid: str) -> None:
        """The engine did not carry a command out. A run that never began is over."""
        self.book.add("engine.no")
        log.warning("the engine did not carry out a command", extra=pairs(command=command, req=tid))
        if command == "RUN":
            self._with(tid, lambda req: self.desk.server.tell(self.desk.now, req, Word.MOOT))

    def stats(self, tag: str, got: dict[str, float]) -> None:
        if tag.isdigit():
            self.route.woken(int(tag), got)

    def called(self, req: Taken, word: Word, reply: bytes) -> None:
        """A call has ended, as the database or the end of its connection told."""
        self.book.add(f"calls.{word.name.lower()}")

        def act() -> None:
            if self.desk.reqs.get(req.tid) is req:
                if word is Word.CALL_OK:
                    self.route.engine.feed(req, reply)
                self.desk.server.tell(self.desk.now, req, word)

        self.desk.handle(act, req)

    def _with(self, tid: str, act) -> None:
        req = self.desk.reqs.get(tid)
        if req is not None:
            self.desk.handle(lambda: act(req), req)

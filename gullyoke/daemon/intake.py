"""Take in: what a gateway's message asks for, and the answer that is written back once it is there."""
from __future__ import annotations

from gullyoke.daemon import admit, clock, http
from gullyoke.daemon.book import Book
from gullyoke.daemon.desk import Desk, told_of
from gullyoke.daemon.route import Route
from gullyoke.port import Shed, Word

HEALTH = "/ping"
IDLE, READING, WAITING, WRITING = "idle", "reading", "waiting", "writing"   # what a connection is at


class Intake:
    def __init__(self, desk: Desk, route: Route, book: Book) -> None:
        self.desk, self.route, self.book = desk, route, book
        self.closing = False                          # near the stop: answers say that the connection closes

    def take(self, message: http.Message, conn) -> tuple[bytes, bool]:
        """The answer's bytes, and whether the connection is closed after them."""
        close = message.closes() or message.first[2] == "HTTP/1.0"
        if message.first[1] == HEALTH:
            if message.first[0] not in ("GET", "HEAD"):
                raise http.Unfit(405, "method")
            self.book.add("checks")
            status = 200 if self.route.good and self.desk.server is not None else 503
            return http.answer(status, fields=self.feedback(), close=close), close
        return self.req(admit.made(self.desk, message), conn, close)

    def req(self, req, conn, close: bool) -> tuple[bytes, bool]:
        conn.req = req
        conn.now(WAITING)
        if self.desk.server is None:                  # nothing runs before the engine is up
            self.book.add("answers.early")
            return http.answer(503, close=close), close
        if not admit.admit(self.desk, req):
            raise http.Unfit(409, "this req is in hand already")
        self.book.add("reqs.read")
        if not req.gate.acquire(timeout=max(0.0, (req.due - clock.now()) / 1e6)):
            self.desk.overdue(req)
        close = close or self.closing
        self.book.add(f"answers.{told_of(req.outcome)}")
        if req.outcome is Word.DONE:
            return http.answer(200, req.answer, self.feedback(), close), close
        if isinstance(req.outcome, Shed):
            return http.answer(503, b"", self.feedback() + advice(req.outcome), close), close
        return http.answer(500, b"", self.feedback(), close), close

    def feedback(self) -> str:
        return "" if self.route.level is None else f"Feedback: {self.route.level}\r\n"


def advice(shed: Shed) -> str:
    text = f"Hold-Off-Ms: {max(1, shed.retry_in // 1000)}\r\n" if shed.retry_in else ""
    return text + ("No-Other-Server: 1\r\n" if shed.dont_retry else "")

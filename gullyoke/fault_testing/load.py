"""The request load of a fault test: sends requests as gateways do and counts the outcomes."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import Counter

from gullyoke.emulator.day import Work
from gullyoke.experiments.world import asked
from gullyoke.fault_testing.processes import UNIQUED, Process

WORK = Work("view", 1.0, 10_000, 0.3, 1_000_000, 2_000_000, 1.0, 0.1, False, 0.0)
OUTCOMES = {"200": "done", "503": "shed", "500": "errored", "refused": "refused"}
WORK_US = 8_000  # microseconds of work per request
KEYED = WORK._replace(name=UNIQUED, share=1.0, calls=False, window=120_000_000)
ATTEMPTS, RETRY_DELAY_S, RESTART_TIMEOUT_S = 4, 0.3, 20.0  # of a request with a key


class Load:
    """Sends `rate` requests per second to each member, at a steady rate.

    Counts by outcome: done, shed, errored; late, an answer after the client timeout; twice, more
    than one answer; refused, a refused connection (which proves that nothing ran); none, no answer
    although the member was up all the time; gone, no answer from a member that was not.
    """

    def __init__(
        self, processes: list[Process], rate: float, span: int = WORK_US, uniqued: float = 0.0
    ) -> None:
        self.processes, self.rate, self.span, self.uniqued = processes, rate, span, uniqued
        self.rates = {p.name: rate for p in processes}
        self.rows: Counter[str] = Counter()
        self.pen, self.ended, self.number = threading.Lock(), threading.Event(), 0
        self.disturbed: set[str] = set()  # members that a fault or a restart keeps from answering
        self.since: dict[str, float] = {}  # when `disturbed` last changed for a member
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start one sending thread per member."""
        for process in self.processes if self.rate else ():
            thread = threading.Thread(target=self.send_at_rate, args=(process,), daemon=True)
            self.threads.append(thread)
            thread.start()

    def send_at_rate(self, process: Process) -> None:
        """Send requests to a member at its rate until the end, each on a thread of its own."""
        due = time.monotonic()
        while not self.ended.is_set():
            due += 1 / max(0.01, self.rates[process.name])
            if (wait := due - time.monotonic()) > 0:
                time.sleep(wait)
            with self.pen:
                self.number += 1
                number = self.number
            keyed = number * self.uniqued % 1 + self.uniqued >= 1  # spread evenly over the requests
            ask = self.send_keyed if keyed else self.ask
            thread = threading.Thread(target=ask, args=(process, number), daemon=True)
            thread.start()
            self.threads.append(thread)
            if len(self.threads) > 4096:
                self.threads = [t for t in self.threads if t.is_alive()]

    def ask(self, process: Process, number: int) -> None:
        """Send one request without a key and count its outcome."""
        began = time.monotonic()
        if not process.up() or process.name in self.disturbed:
            return
        data = asked(WORK.name, number << 3, 1, WORK.timeout, self.span, close=True)
        answers, took = self.exchange(process, data)
        what = OUTCOMES.get(answers[0], "other") if answers else "none"
        if len(answers) > 1:
            what = "twice"
        elif what != "none" and took > WORK.timeout / 1e6 + 0.3:
            what = "late"
        if what in ("none", "late") and (
            not process.up()
            or process.asked_to_end
            or process.name in self.disturbed
            or self.since.get(process.name, 0.0) > began
        ):
            what = "gone"
        with self.pen:
            self.rows[what] += 1

    def send_keyed(self, process: Process, number: int) -> None:
        """Send a request with a key until it is done or shed, also across restarts of the server.

        Every fourth request that is done is sent again, and its outcome has to be done again.
        """
        outcomes: list[str] = []
        for i in range(ATTEMPTS):
            data = asked(
                UNIQUED, number << 3 | i, 1, KEYED.timeout, self.span, True, f"k{number}", i > 0
            )
            began = time.monotonic()
            answers, took = self.exchange(process, data)
            what = OUTCOMES.get(answers[0], "other") if answers else "none"
            calm = (
                process.up()
                and not process.asked_to_end
                and process.name not in self.disturbed
                and self.since.get(process.name, 0.0) <= began
            )
            if what == "none" and not calm:
                what = "gone"
            if len(answers) > 1 or (what == "done" and took > KEYED.timeout / 1e6 + 0.3):
                what = "twice" if len(answers) > 1 else "late"
            outcomes.append(what)
            again = what == "done" and number % 4 == 0 and "done" not in outcomes[:-1]
            if (
                what in ("done", "shed", "twice", "late", "none") and not again
            ) or self.ended.is_set():
                break
            until = time.monotonic() + RESTART_TIMEOUT_S
            while (
                process.name in self.disturbed
                and time.monotonic() < until
                and not self.ended.is_set()
            ):
                time.sleep(0.05)
            time.sleep(RETRY_DELAY_S)
        answered = [what for what in outcomes if what not in ("gone", "refused")]
        last = (
            next((what for what in reversed(answered) if what != "done"), "done")
            if answered
            else "gone"
        )
        with self.pen:
            self.rows[f"keyed {last}" if last in ("done", "shed", "errored") else last] += 1
            self.rows["lost"] += "done" in answered and any(
                what in ("errored", "shed") for what in answered[answered.index("done") :]
            )

    def exchange(self, process: Process, data: bytes) -> tuple[list[str], float]:
        """Send a request; return the statuses of all answers and the seconds to the first byte."""
        began, got = time.monotonic(), b""
        took = 0.0
        try:
            conn = socket.create_connection(process.listen, 1)
        # a refused connection proves that nothing ran: a gateway tries another server
        except ConnectionRefusedError:
            return ["refused"], 0.0
        except OSError:
            return [], 0.0
        with contextlib.suppress(OSError), conn:
            conn.settimeout(WORK.timeout / 1e6 + 1.0)
            conn.sendall(data)
            while more := conn.recv(4096):
                took = took or time.monotonic() - began
                got += more
        return [part[:3].decode("latin-1") for part in got.split(b"HTTP/1.1 ")[1:]], took

    def disturb(self, name: str, on: bool) -> None:
        """Set whether a member is disturbed, so that missing answers from it are expected."""
        (self.disturbed.add if on else self.disturbed.discard)(name)
        self.since[name] = time.monotonic()

    def end(self) -> None:
        """Stop sending and wait for the requests in progress."""
        self.ended.set()
        for thread in list(self.threads):
            thread.join(4)

"""A server that is told to leave while it starts runs what arrives after the grace."""

from __future__ import annotations

import pathlib
import random
import signal
import socket
import sys
import threading
import time
from typing import BinaryIO, NamedTuple

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_2 as s  # noqa: E402

GRACE_S, SLACK_S, STOP_MS = 2.0, 0.05, 3200
FIRST_S, LAST_S = 1.0, 2.8  # when requests are sent, counted from the notice
GATEWAYS, INTERVAL_S = 24, 0.06  # each gateway sends one request in so many seconds
RUN_S, WAIT_MS = 0.02, 2500


class Row(NamedTuple):
    """A request, when it was written (0: not at all), and how it was answered."""

    arrived: float
    request: str
    answer: str


class Gateway(threading.Thread):
    """A gateway that has not heard yet that the server leaves: one request at a time."""

    def __init__(
        self, number: int, engine: s.Engine, port: int, notice_at: float, rows: list[Row]
    ) -> None:
        super().__init__(daemon=True)
        self._engine, self._port, self._rows = engine, port, rows
        self._due = notice_at + FIRST_S + number * INTERVAL_S / GATEWAYS
        self._last = notice_at + LAST_S
        self._random = random.Random(number)
        self._link: socket.socket | None = None
        self._file: BinaryIO | None = None

    def run(self) -> None:
        """Send requests at a steady rate."""
        while self._due < self._last:
            time.sleep(max(0.0, self._due - time.time()))
            self._due += INTERVAL_S
            self._rows.append(self._ask())

    def _ask(self) -> Row:
        request = f"{self._random.getrandbits(64):016x}"
        body = f"plan of {request}".encode()
        self._engine.known[request] = ("schedule-set", body)
        arrived = 0.0
        try:
            if self._link is None:
                self._link = socket.create_connection(("127.0.0.1", self._port), 0.5)
                self._link.settimeout(4)
                self._file = self._link.makefile("rb")
            arrived = time.time()
            self._link.sendall(s.encode_request("schedule-set", request, body, arrived, WAIT_MS))
            assert self._file is not None
            status, _, ends = s.read_answer(self._file)
        except (OSError, ValueError) as error:
            self._link = None
            return Row(arrived, request, f"none ({error})")
        if ends:
            self._link = None
        return Row(arrived, request, status)


def play(record: s.Record, engine: s.Engine) -> tuple[float, list[Row]]:
    """Start the server, give the notice and send requests; return its time and the requests."""
    peers = {
        "engine": engine.address,
        "db": s.Database().address,
        "naming": s.Registry().address,
    }
    server = s.Server(record, peers, STOP_MS, s.settings())
    rows: list[Row] = []
    try:
        if s.TROUBLE:
            server.wait_until(server.holds_back_sigterm, 0.001)
        else:
            server.wait_until(server.is_healthy)
            time.sleep(1)
        server.process.send_signal(signal.SIGTERM)
        notice_at = time.time()
        record.note(f"SIGTERM to the server; SIGKILL follows in {STOP_MS} ms")
        gateways = [Gateway(n, engine, server.port, notice_at, rows) for n in range(GATEWAYS)]
        for gateway in gateways:
            gateway.start()
        while server.process.poll() is None and time.time() < notice_at + STOP_MS / 1000:
            time.sleep(0.005)
    finally:
        server.end()
    for gateway in gateways:
        gateway.join(5)
    return notice_at, sorted(rows)


def main() -> None:
    """Play the case and judge it."""
    s.end_on_signal()
    record = s.Record(HERE)
    engine = s.Engine(record, RUN_S)
    notice_at, rows = play(record, engine)
    late: list[float] = []
    in_time = 0
    for row in rows:
        after = row.arrived - notice_at
        ran = row.request in engine.runs
        when = f"arrived {after:.4f} s after the notice" if row.arrived else "was not written"
        record.note(f"request {row.request} {when}, {'ran' if ran else 'not run'}: {row.answer}")
        in_time += ran and after <= GRACE_S
        if ran and after > GRACE_S + SLACK_S:
            late.append(after)
    if not in_time:
        record.end(s.NOT_RUN, "could not run: nothing was run within the grace")
    if late:
        record.end(
            s.BROKEN,
            f"broken: {len(late)} requests ran that had arrived {min(late):.3f} to "
            f"{max(late):.3f} s after the notice; {GRACE_S + SLACK_S} s are allowed",
        )
    record.end(s.HELD, f"held: of what ran ({in_time}) nothing had arrived after the grace")


if __name__ == "__main__":
    main()

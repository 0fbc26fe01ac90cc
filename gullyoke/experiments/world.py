"""A local test environment for `gullyoke try`.

Stand-ins for the engine, the database and the name service speak their published protocols on real
sockets, with the cores of the emulator; gateways send the requests.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator

from gullyoke.emulator.cores import Cores
from gullyoke.emulator.day import Day
from gullyoke.experiments.ports import free
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.timer import Timer

QUERY_S = 0.015  # duration of a database call


class Peer:
    """A line-protocol server on a loopback port of its own, with one thread per connection."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accepts connections and starts a thread for each until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                link, _ = self.listener.accept()
                link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.read, args=(link,), daemon=True).start()

    def read(self, link: socket.socket) -> None:
        """Passes each line of a connection to `message`."""
        with contextlib.suppress(OSError, ValueError), link, link.makefile("rb") as file:
            for line in file:
                self.message(link, file, line.decode("latin-1").split())

    def message(self, link, file, words: list[str]) -> None:
        raise NotImplementedError

    def close(self) -> None:
        """Stops listening."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class Engine(Peer):
    """Runs requests on the emulator's cores in real time.

    The body of a request is its work in microseconds. Requests of the classes in `calls` call the
    database once, half way.
    """

    def __init__(self, cores: int, calls: set[str]) -> None:
        self.timer, self.pen, self.calls = Timer(Metrics()), threading.RLock(), calls
        self.timer.start()
        self.cores = Cores(cores, 3.0, 0.1, clock.now, self.later)
        self.notices, self.link, self.runs = 0, None, {}
        self.began, self.seen, self.busy = clock.now(), (clock.now(), 0.0), 0.0
        super().__init__()

    def later(self, delay: int, act) -> None:
        """Calls `act` after `delay` microseconds with the lock held."""

        def locked() -> None:
            with self.pen:
                act()

        self.timer.call_at(clock.now() + delay, locked)

    def message(self, link, file, words: list[str]) -> None:
        body = file.read(int(words[-1]) + 2)[:-2] if words[0] in ("RUN", "FEED") else b""
        with self.pen:
            if words[0] == "ATTACH":
                self.link = link
                self.say(f"HELLO warm {(clock.now() - self.began) // 1000}")
            elif words[0] == "STAT":
                self.stat(words[1])
            elif words[0] == "RUN":
                work = int(body)
                self.runs[words[1]] = work
                if words[2] in self.calls:
                    self.cores.add(work / 2, lambda: self.need(words[1]))
                else:
                    self.cores.add(work, lambda: self.done(words[1]))
            elif words[0] in ("FEED", "SKIP"):
                self.cores.add(self.runs[words[1]] / 2, lambda: self.done(words[1]))

    def stat(self, tag: str) -> None:
        """Updates the smoothed core use and sends the load statistics."""
        self.cores.catch_up()
        now, (then, busy) = clock.now(), self.seen
        if now - then > 50_000:
            share = (self.cores.busy - busy) / (now - then) / self.cores.cores
            self.busy, self.seen = self.busy + (share - self.busy) / 3, (now, self.cores.busy)
        self.say(f"STATS {tag} {min(1.0, self.busy):.3f} {len(self.cores)} 0.1 10")

    def need(self, request_id: str) -> None:
        """Sends a NEED notice: the request calls the database."""
        self.notices += 1
        self.say(f"NEED {self.notices} {request_id} 6\r\nselect")

    def done(self, request_id: str) -> None:
        """Forgets the request and sends its DONE notice."""
        self.notices += 1
        self.runs.pop(request_id, None)
        self.say(f"DONE {self.notices} {request_id} ok 1 4\r\ndone")

    def say(self, text: str) -> None:
        """Sends a line to the attached daemon; a failed connection is ignored."""
        with contextlib.suppress(OSError):
            self.link.sendall(f"{text}\r\n".encode())


class Database(Peer):
    """Answers each query with one row after `QUERY_S` seconds."""

    def message(self, link, file, words: list[str]) -> None:
        if words[0] == "Q":
            file.read(int(words[-1]) + 2)
            time.sleep(QUERY_S)
            link.sendall(f"{words[1]} ROWS 3\r\nrow\r\n".encode())


class Names(Peer):
    """A name service that answers every request with 204."""

    def message(self, link, file, words: list[str]) -> None:
        size = 0
        while line := file.readline().strip():
            if line.lower().startswith(b"content-length:"):
                size = int(line.split(b":")[1])
        file.read(size)
        link.sendall(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")


def settings(day: Day) -> dict:
    """The site settings that correspond to the day, for a fleet of one server."""
    m, calls = day.machines, [w.calls for w in day.works]
    return {
        "Profiles": [
            {
                "Name": w.name,
                "ObjectiveUs": w.target,
                "DeadlineUs": w.timeout,
                "Importance": w.value,
                "Semantics": "by_key" if w.window else "repeatable",
                "LateWorth": w.late_share,
                "KeyTtlUs": w.window,
            }
            for w in day.works
        ],
        "FamilyInfo": {
            "Cores": m.cores,
            "MemoryKb": m.memory_kb,
            "Blowup": m.blowup,
            "KeyKb": 1.0,
            "FreshStart": False,
            "StopMode": "off",
            "DependsOn": "one_for_all",
            "CallsOut": 50.0,
            "OwnStats": ["core_use", "on_cores", "heap_share", "links"],
            "CallsByClass": calls,
            "ClassSkipWorth": [0.3 if c else 0.0 for c in calls],
            "ShareSpanUs": 5_000_000,
            "LingerUs": 200_000,
            "Say": "off",
            "PassesDeadline": True,
            "CallerIdleUs": 30_000_000,
            "FreshForUs": 0,
            "Callers": 16,
        },
        "Rules": {
            "AnswerSlackUs": 100_000,
            "DrainGraceUs": 2_000_000,
            "TipMultiple": m.tip_multiple,
            "TipAfterUs": 1_500_000,
            "StartCapacity": 0.25,
            "ColdUs": 10_000_000,
        },
        "FleetSize": 1,
        "WorthBy": "request",
        "Orgs": [],
        "Permissions": {"RetryAfter": True, "MaxRetryAfterUs": 1_000_000},
    }


def config(
    name: str,
    listen: tuple[str, int],
    peers: tuple[Peer, Peer, Peer],
    day: Day,
    seed: int,
    stop_ms: int = 3000,
    sockets: int = 1024,
) -> str:
    """The daemon's configuration file; `peers` are the engine, database and name service."""
    engine, database, names = peers
    return json.dumps(
        {
            "name": name,
            "listen": "{}:{}".format(*listen),
            "engine": engine.address,
            "db": database.address,
            "naming": names.address,
            "stop_ms": stop_ms,
            "seed": f"{seed:x}",
            "limits": {"sockets": sockets},
            "settings": settings(day),
        }
    )


def asked(
    handler: str,
    number: int,
    caller: int,
    timeout: int,
    work: int,
    close: bool = False,
    key: str = "",
    again: bool = False,
) -> bytes:
    """The bytes of a request as a gateway sends it.

    `timeout` and `work` are in microseconds, `close` asks for the connection to be closed after the
    answer, and `again` marks a retry.
    """
    body = str(work).encode()
    return (
        f"POST /call/{handler} HTTP/1.1\r\nHost: origin.svc\r\n"
        + ("Connection: close\r\n" if close else "")
        + (f"Replay-Key: {key}\r\n" if key else "")
        + ("Is-Retry: 1\r\n" if again else "")
        + f"Trace-Id: {number:016x}\r\nAccepted-At-Ms: {clock.unix_ms()}\r\nClient-No: {caller}\r\n"
        f"Reserve-Kb: 30.0\r\nMax-Wait-Ms: {timeout // 1000}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Gateways:
    """Sends the requests of a day at their arrival times, once each, on persistent connections.

    `rows` counts requests by class and outcome; `value` is the value earned by class.
    """

    def __init__(self, day: Day, listen: tuple[str, int]) -> None:
        self.day, self.listen, self.pen = day, listen, threading.Lock()
        self.rows, self.value, self.offered = Counter(), Counter(), Counter()
        self.kept: list[socket.socket] = []
        self.threads: list[threading.Thread] = []

    def play(self) -> None:
        """Sends all requests of the day and waits for their answers."""
        began = time.monotonic()
        for number, (at, kind, work, caller) in enumerate(self.day.arrivals):
            if (wait := began + at / 1e6 - time.monotonic()) > 0:
                time.sleep(wait)
            thread = threading.Thread(
                target=self.ask, args=(number, kind, work, caller), daemon=True
            )
            self.threads.append(thread)
            thread.start()
        for thread in self.threads:
            thread.join(10)

    def ask(self, number: int, kind: int, work: int, caller: int) -> None:
        """Sends one request and records its outcome and value."""
        w, began = self.day.works[kind], time.monotonic()
        try:
            status = self.exchange(
                asked(w.name, number, caller, w.timeout, work), w.timeout / 1e6 + 1
            )
        except OSError:
            status = "none"
        took = (time.monotonic() - began) * 1e6
        what = {"200": "done" if took <= w.target else "late", "503": "shed"}.get(status, "errored")
        worth = w.value * {"done": 1.0, "late": w.late_share}.get(what, 0.0)
        with self.pen:
            self.rows[w.name, what] += 1
            self.offered[w.name] += w.value
            self.value[w.name] += worth

    def exchange(self, data: bytes, patience: float) -> str:
        """Sends a request on a pooled or new connection and returns the status code."""
        with self.pen:
            conn = self.kept.pop() if self.kept else None
        conn = conn or socket.create_connection(self.listen, patience)
        conn.settimeout(patience)
        conn.sendall(data)
        got = b""
        while b"\r\n\r\n" not in got:
            more = conn.recv(4096)
            if not more:
                raise ConnectionError("closed")
            got += more
        head, _, body = got.partition(b"\r\n\r\n")
        size = next(
            int(x.split(b":")[1])
            for x in head.split(b"\r\n")
            if x.lower().startswith(b"content-length")
        )
        while len(body) < size:
            body += conn.recv(4096)
        with self.pen:
            self.kept.append(conn)
        return head.split()[1].decode()


@contextlib.contextmanager
def daemon(day: Day) -> Iterator[tuple[Gateways, subprocess.Popen]]:
    """Starts a real daemon on loopback with its peers; yields its gateways and its process.

    Raises `ChildProcessError` if the daemon is not healthy within 10 s.
    """
    engine = Engine(day.machines.cores, {w.name for w in day.works if w.calls})
    peers = engine, Database(), Names()
    listen = free()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "config.json")
        path.write_text(config("try", listen, peers, day, random.Random(day.seed).getrandbits(64)))
        process = subprocess.Popen(
            [sys.executable, "-m", "gullyoke"],
            stderr=subprocess.DEVNULL,
            env=os.environ | {"NODE_CONFIG": str(path)},
        )
        try:
            until = time.monotonic() + 10
            while not good(listen):
                if time.monotonic() > until or process.poll() is not None:
                    raise ChildProcessError("daemon did not become healthy within 10 s, or exited")
                time.sleep(0.05)
            yield Gateways(day, listen), process
        finally:
            process.send_signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(6)
            process.kill()
            for peer in peers:
                peer.close()


def good(listen: tuple[str, int]) -> bool:
    """Whether the daemon at this address answers its health check with 200."""
    with contextlib.suppress(OSError), socket.create_connection(listen, 1) as conn:
        conn.sendall(b"GET /ping HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        return b" 200 " in conn.recv(100)[:20]
    return False

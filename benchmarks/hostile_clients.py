"""Usual clients beside hostile ones, on real processes.

Measures the server's memory, the answers of three usual gateways, and the runs at the engine, while
other clients write slowly, stop half way through a request, send heads of very many short fields,
flood one connection, or leave before they have read their answers.

    python -m benchmarks.hostile_clients [--play NAME] [--front-end http|scgi] [--clients N]
        [--sockets N] [--seconds S]
"""

from __future__ import annotations

import argparse
import contextlib
import itertools
import json
import multiprocessing
import os
import pathlib
import queue
import selectors
import socket
import struct
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from standins import Busy, Sockets, message, named, netstring, request_id

from gullyoke.experiments.usage import cpu

GATEWAYS, PAUSE_S = 3, 0.05  # usual clients of each kind, and their pause between two requests
RESENT_WITHIN_S = 0.05  # a request that crosses a close is sent again within this time
RUN_S = 0.02
CORES = 6
BODY = 2048  # bytes
DRIP_S, DRIP_BYTES = 0.02, 16
WAVE_S = 3.0
HOSTILE = "x"  # the names of hostile clients' requests begin with it
BURST = 60  # requests in one write of a client that leaves

Address = tuple[str, int]


class CountingEngine(Busy):
    """An engine that counts how often each request began to run.

    Attributes:
        refuses: Whether the requests of hostile clients are unknown to it, so that it runs none.
        begun: How often each id was run; a RUN for a request that runs already begins nothing.
        times: When each id began to run first.
    """

    def __init__(self, cores: int, span: float) -> None:
        self.begun: Counter[str] = Counter()
        self.times: dict[str, float] = {}
        self.running: set[str] = set()
        self.refuses = False
        super().__init__(cores, span)

    def message(self, link, file, words):
        """Count a RUN."""
        if words[0] == "RUN":
            if self.refuses and named(words[1]).startswith(HOSTILE):
                file.read(int(words[-1]) + 2)
                with self.lock:
                    self.say(f"NO RUN {words[1]}\r\n", link)
                return
            if words[1] in self.running:
                file.read(int(words[-1]) + 2)
                return
            self.running.add(words[1])
            self.begun[words[1]] += 1
            self.times.setdefault(words[1], time.time())
        super().message(link, file, words)

    def complete(self, name):
        """Report the end of a run, after which the id may run again."""
        self.running.discard(name)
        super().complete(name)


# What hostile clients send.


def fresh_name(number: int) -> str:
    """Return a request name of at most 8 bytes."""
    return f"{HOSTILE}{number:x}"


def half_written(number: int, scgi: bool) -> bytes:
    """Return the head and half of the body of a sound request."""
    whole = message(fresh_name(number), "view", length=str(BODY), scgi=scgi)
    return whole + b"x" * (BODY // 2)


def dripped(number: int, scgi: bool) -> bytes:
    """Return a large sound request, to be written in small pieces."""
    return half_written(number, scgi) + b"x" * (BODY // 2)


def short_fields(number: int, scgi: bool, ended: bool = False, fields: int = 720) -> bytes:
    """Return a head of very many short fields; if `ended`, a whole request that is sound."""
    if scgi:
        return many_headers(number, ended)
    given = message(fresh_name(number), "view", length=str(BODY)).partition(b"\r\n\r\n")[0]
    extra = "".join(f"\r\n{field_name(i)}:" for i in range(fields)).encode()
    return given + extra + (b"\r\n\r\n" + b"x" * BODY if ended else b"")


def field_name(number: int) -> str:
    """Return a name of two characters, another one for each number under 1,296."""
    alphabet = "abcdefghijklmnopqrstuvwxyz0123456789"
    return alphabet[number // 36 % 36] + alphabet[number % 36]


def many_headers(number: int, ended: bool) -> bytes:
    """Return an SCGI request of very many short headers, whole or without its last bytes."""
    whole = message(fresh_name(number), "view", length=str(BODY), scgi=True)
    block = whole.partition(b":")[2].partition(b",")[0][:-1].split(b"\0")
    headers = dict(zip(map(bytes.decode, block[::2]), map(bytes.decode, block[1::2]), strict=True))
    most = 100 if ended else 1500
    headers |= {f"H{i:x}": "" for i in range(most)}
    data = netstring(headers) + b"x" * BODY
    return data if ended else data[: -BODY - 600]


FORMS: dict[str, Callable[[int, bool], bytes]] = {
    "half": half_written,
    "drip": dripped,
    "long-head": lambda number, scgi: short_fields(number, scgi, fields=2000),
    "fields": short_fields,
    "whole-fields": lambda number, scgi: short_fields(number, scgi, ended=True),
    "allowed-fields": lambda number, scgi: short_fields(number, scgi, ended=True, fields=110),
}


class Crowd:
    """Clients that send the same form at once, hold their connections, and begin anew.

    Args:
        address: The server's listener.
        form: A key of `FORMS`.
        clients: How many connections are kept.
        scgi: Whether the clients speak SCGI.
        waves: Whether all begin at once every `WAVE_S`; otherwise each as soon as it was closed.
    """

    def __init__(self, address: Address, form: str, clients: int, scgi: bool, waves: bool) -> None:
        self.address, self.form, self.clients = address, form, clients
        self.scgi, self.waves = scgi, waves
        self.numbers = itertools.count(1)
        self.selector = selectors.DefaultSelector()
        self.unsent: dict[socket.socket, memoryview] = {}
        self.opened = self.closed = 0
        self.opened_at: dict[socket.socket, float] = {}
        self.slowest_s = 0.0  # from connecting to the first answer or the close
        self.statuses: Counter[str] = Counter()

    def play(self, seconds: float) -> None:
        """Hold the connections for a time."""
        until = time.monotonic() + seconds
        wave_at = 0.0
        while (now := time.monotonic()) < until:
            if not self.waves or now >= wave_at:
                if self.waves:
                    self.end_all()
                    wave_at = now + WAVE_S
                self.fill_up()
            self.write_pieces()
            self.read_until(time.monotonic() + DRIP_S)
        self.end_all()

    def fill_up(self) -> None:
        """Open the connections that are missing."""
        while len(self.unsent) < self.clients:
            sock = socket.socket()
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.connect(self.address)
            data = FORMS[self.form](next(self.numbers), self.scgi)
            self.unsent[sock] = memoryview(data)
            self.opened_at[sock] = time.monotonic()
            self.selector.register(sock, selectors.EVENT_READ)
            self.opened += 1

    def write_pieces(self) -> None:
        """Write the next piece on each connection."""
        size = DRIP_BYTES if self.form == "drip" else 1 << 20
        for sock, data in list(self.unsent.items()):
            if not data:
                continue
            try:
                self.unsent[sock] = data[sock.send(data[:size]) :]
            except BlockingIOError:
                continue
            except OSError:
                self.end(sock)

    def read_until(self, until: float) -> None:
        """Read what the server says, and drop the connections that it closed."""
        while (left := until - time.monotonic()) > 0:
            for key, _ in self.selector.select(left):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if (began := self.opened_at.pop(sock, None)) is not None:
                    self.slowest_s = max(self.slowest_s, time.monotonic() - began)
                try:
                    data = sock.recv(65536)
                except OSError:
                    data = b""
                if data:
                    self.statuses[data.split(None, 2)[1].decode()] += 1
                else:
                    self.closed += 1
                    self.end(sock)

    def end(self, sock: socket.socket) -> None:
        """Close a connection."""
        self.selector.unregister(sock)
        del self.unsent[sock]
        self.opened_at.pop(sock, None)
        sock.close()

    def end_all(self) -> None:
        """Close all connections."""
        for sock in list(self.unsent):
            self.end(sock)


def play_crowd(seconds: float, results: multiprocessing.Queue, *given) -> None:
    """Play a crowd in a process of its own, and report what it saw."""
    crowd = Crowd(*given)
    crowd.play(seconds)
    results.put(
        {
            "opened": crowd.opened,
            "closed": crowd.closed,
            "told": dict(crowd.statuses),
            "slowest_s": round(crowd.slowest_s, 3),
        }
    )


# Floods on one connection.


def ping(number: int) -> bytes:
    """Return a health check."""
    return b"GET /ping HTTP/1.1\r\n\r\n"


def unsound(number: int) -> bytes:
    """Return a request without an id, which is refused and ends its connection."""
    return b"POST /call/view HTTP/1.1\r\nContent-Length: 0\r\n\r\n"


def new_class(number: int) -> bytes:
    """Return a request of a class that no other request names."""
    return f"POST /call/c{number} HTTP/1.1\r\nContent-Length: 0\r\n\r\n".encode()


def new_field(number: int) -> bytes:
    """Return a health check with a field that no other one has."""
    return f"GET /ping HTTP/1.1\r\nn{number}: {number}\r\n\r\n".encode()


def new_key(number: int) -> bytes:
    """Return a sound read about a subject that no other one is about."""
    key = f"{number:016x}"
    return message(fresh_name(number), "view", **{"Lookup-Key": key, "Max-Wait-Ms": "400"})


def new_id(number: int) -> bytes:
    """Return a sound request that waits for a millisecond only."""
    return message(fresh_name(number), "pay", **{"Max-Wait-Ms": "1"})


def unknown_id(number: int) -> bytes:
    """Return a sound request that waits for seconds."""
    return message(fresh_name(number), "view", **{"Max-Wait-Ms": "4000"})


def replay_key(number: int) -> bytes:
    """Return a sound request under an idempotency key that no other one has."""
    fields = {"Max-Wait-Ms": "4000", "Replay-Key": f"{number:016x}"}
    return message(fresh_name(number), "book", **fields)


FLOODS = {
    each.__name__: each
    for each in (ping, unsound, new_class, new_field, new_key, new_id, unknown_id, replay_key)
}


def to_scgi(data: bytes) -> bytes:
    """Return the SCGI form of an HTTP request."""
    head, _, body = data.partition(b"\r\n\r\n")
    start, *lines = head.decode().split("\r\n")
    method, path, _ = start.split(" ")
    headers = {"CONTENT_LENGTH": str(len(body)), "SCGI": "1"}
    headers |= {"REQUEST_METHOD": method, "REQUEST_URI": path}
    for name, _, value in (line.partition(":") for line in lines):
        if name.lower() != "content-length":
            headers["HTTP_" + name.upper().replace("-", "_")] = value.strip()
    return netstring(headers) + body


def play_flood(
    seconds: float, results: multiprocessing.Queue, address: Address, kind: str, scgi: bool
) -> None:
    """Send requests of one kind at full speed; open a new connection when one ends."""
    make = FLOODS[kind]
    until = time.monotonic() + seconds
    numbers = itertools.count(1)
    sent = connections = 0
    told: Counter[str] = Counter()
    while time.monotonic() < until:
        connections += 1
        with contextlib.suppress(OSError), socket.create_connection(address, 5) as sock:
            drained = threading.Thread(target=drain, args=(sock, told, scgi), daemon=True)
            drained.start()
            while time.monotonic() < until:
                batch = [make(next(numbers)) for _ in range(1 if scgi else 50)]
                data = b"".join(to_scgi(each) for each in batch) if scgi else b"".join(batch)
                sock.sendall(data)
                sent += len(batch)
                if scgi:
                    break
            drained.join(5)
    results.put({"sent": sent, "connections": connections, "told": dict(told)})


def drain(sock: socket.socket, told: Counter[str], scgi: bool) -> None:
    """Read all answers until the connection ends, and count their statuses."""
    mark = b"Status: " if scgi else b"HTTP/1.1 "
    rest = b""
    with contextlib.suppress(OSError):
        while data := sock.recv(65536):
            *parts, rest = (rest + data).split(b"\r\n\r\n")
            for part in parts:
                if (at := part.rfind(mark)) >= 0:
                    told[part[at + len(mark) :][:3].decode()] += 1


# The usual gateways, and the server.


class Gateway(threading.Thread):
    """A usual client with one request at a time, on a kept connection or on a new one each.

    A request whose connection ends without an answer is sent again, once, on a new connection.
    """

    def __init__(
        self, number: int, address: Address, until: float, scgi: bool, kept: bool = True
    ) -> None:
        super().__init__(daemon=True)
        self.number, self.address, self.until, self.scgi = number, address, until, scgi
        self.kept = kept and not scgi
        self.waits: list[float] = []
        self.statuses: Counter[str] = Counter()
        self.resent = self.unanswered = 0
        self.sock: socket.socket | None = None

    def run(self) -> None:
        """Send requests until the end of the play."""
        for count in itertools.count():
            if time.monotonic() > self.until:
                break
            name = f"g{self.number}{count:x}"
            began = time.monotonic()
            status = self.ask(name)
            if status is None and time.monotonic() - began < RESENT_WITHIN_S:
                self.resent += 1
                status = self.ask(name)
            if status is None:
                self.unanswered += 1
            else:
                self.statuses[status] += 1
                self.waits.append(time.monotonic() - began)
            time.sleep(PAUSE_S)
        self.close()

    def ask(self, name: str) -> str | None:
        """Send one request; return its status, or None if the connection ended without one."""
        try:
            if self.sock is None:
                self.sock = socket.create_connection(self.address, 10)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.sendall(message(name, "view", scgi=self.scgi, **{"Max-Wait-Ms": "4000"}))
            got = b""
            while b"\r\n\r\n" not in got:
                more = self.sock.recv(4096)
                if not more:
                    raise OSError("closed")
                got += more
            status = got.split(None, 2)[1].decode()
        except OSError:
            self.close()
            return None
        if not self.kept:
            self.close()
        return status

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
        self.sock = None


@contextlib.contextmanager
def server(scgi: bool, sockets: int, span: float = RUN_S, pin: bool = False) -> Iterator[Sockets]:
    """Start a server with a stand-in engine; `pin` leaves one core to the server."""
    with contextlib.closing(Sockets()) as scene:
        scene.engine.down()
        scene.engine = CountingEngine(CORES, span)
        scene.line(f"site cores={CORES} target=1700 timeout=4100 sockets={sockets}".split())
        scene.given["files"] = sockets
        if scgi:
            scene.line('operator listener { name: "scgi" address: "SCGI_AT" }'.split())
        scene.start()
        scene.said("event=serving")
        for task in pathlib.Path(f"/proc/{scene.process.pid}/task").iterdir() if pin else ():
            os.sched_setaffinity(int(task.name), {0})
        yield scene


def memory_kib(scene: Sockets) -> dict[str, int]:
    """Return the resident memory of the server, now and at its highest."""
    text = pathlib.Path(f"/proc/{scene.process.pid}/status").read_text()
    return {key: int(text.partition(f"{key}:")[2].split()[0]) for key in ("VmRSS", "VmHWM")}


def beside(
    scene: Sockets, scgi: bool, seconds: float, target: Callable[..., None], *given: object
) -> dict:
    """Play the gateways beside a hostile process; return what was seen."""
    address = scene.scgi if scgi else scene.listen
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    before = memory_kib(scene)
    spent = cpu(scene.process.pid)
    hostile = context.Process(target=target, args=(seconds, results, address, *given))
    hostile.start()
    until = time.monotonic() + seconds
    gateways = [Gateway(n, address, until, scgi, kept=n % 2 == 0) for n in range(2 * GATEWAYS)]
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        gateway.join(seconds + 20)
    told = {}
    with contextlib.suppress(queue.Empty):
        told = results.get(timeout=20)
    hostile.join(5)
    waits = sorted(wait for gateway in gateways for wait in gateway.waits) or [0.0]
    statuses: Counter[str] = Counter()
    for gateway in gateways:
        statuses += gateway.statuses
    return {
        "usual": sum(statuses.values()),
        "unanswered": sum(gateway.unanswered for gateway in gateways),
        "resent": sum(gateway.resent for gateway in gateways),
        "statuses": dict(statuses),
        "p50_ms": round(1e3 * waits[len(waits) // 2], 1),
        "p99_ms": round(1e3 * waits[len(waits) * 99 // 100], 1),
        "most_ms": round(1e3 * waits[-1], 1),
        "hostile": told,
        "kib_before": before["VmRSS"],
        "kib": memory_kib(scene),
        "cpu_s": round(cpu(scene.process.pid) - spent, 2),
        "exit": scene.process.poll(),
    }


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def play_departures(scgi: bool, sockets: int) -> list[dict]:
    """Let clients leave before they have read their answers; count what runs, and how often."""
    rows = []
    with server(scgi, sockets, span=0.2) as scene:
        address = scene.scgi if scgi else scene.listen
        for way, request_class in itertools.product(("close", "reset"), ("view", "pay")):
            for order in ("burst", "again-during", "again-after"):
                rows.append(depart(scene, address, scgi, way, request_class, order))
    return rows


def depart(
    scene: Sockets, address: Address, scgi: bool, way: str, request_class: str, order: str
) -> dict:
    """Let one client leave, and count the runs of its requests."""
    engine = scene.engine
    assert isinstance(engine, CountingEngine)
    count = BURST if order == "burst" else 1
    names = [f"{way[0]}{request_class[0]}{order[-1]}{i:x}" for i in range(count)]
    data = [message(name, request_class, scgi=scgi) for name in names]
    sock = socket.create_connection(address, 5)
    sock.sendall(b"".join(data))
    time.sleep(0.05)
    left_at = time.time()
    if way == "reset":
        reset(sock)
    else:
        sock.close()
    statuses: list[str] = []
    if order != "burst":
        time.sleep(0.05 if order == "again-during" else 0.6)
        with socket.create_connection(address, 5) as again:
            again.sendall(data[0])
            again.settimeout(5)
            statuses.append(again.recv(4096).split(None, 2)[1].decode())
    time.sleep(1.5 if order == "burst" else 0.6)
    ids = [request_id(name) for name in names]
    return {
        "way": way,
        "class": request_class,
        "order": order,
        "sent": count,
        "begun": sum(engine.begun[each] > 0 for each in ids),
        "begun_after_leaving": sum(engine.times.get(each, 0.0) > left_at for each in ids),
        "twice": sum(engine.begun[each] > 1 for each in ids),
        "statuses_again": statuses,
    }


def main() -> None:
    """Play what was asked for and print a line of JSON for each play."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--play", choices=["crowd", "flood", "leave"], default="crowd")
    parser.add_argument("--form", default="")
    parser.add_argument("--front-end", choices=["http", "scgi"], default="http")
    parser.add_argument("--clients", type=int, default=450)
    parser.add_argument("--sockets", type=int, default=512)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--drips", action="store_true", help="begin anew at once, not in waves")
    parser.add_argument("--refuse", action="store_true", help="the engine knows no hostile id")
    parser.add_argument("--pin", action="store_true", help="leave one core to the server")
    given = parser.parse_args()
    scgi = given.front_end == "scgi"
    named = {"front_end": given.front_end, "sockets": given.sockets}
    if given.play == "leave":
        for row in play_departures(scgi, given.sockets):
            print(json.dumps(named | row), flush=True)
    for form in [given.form] if given.form else FORMS if given.play == "crowd" else FLOODS:
        if given.play == "leave":
            break
        with server(scgi, given.sockets, pin=given.pin) as scene:
            if given.play == "crowd":
                row = beside(
                    scene,
                    scgi,
                    given.seconds,
                    play_crowd,
                    form,
                    given.clients,
                    scgi,
                    not given.drips,
                )
                named |= {"clients": given.clients, "waves": not given.drips}
            else:
                scene.engine.refuses = given.refuse
                row = beside(scene, scgi, given.seconds, play_flood, form, scgi)
            print(json.dumps(named | {"form": form} | row), flush=True)


if __name__ == "__main__":
    main()

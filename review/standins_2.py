"""What the cases of the second review share: a server process, and stand-ins for its peers.

The stand-ins follow PROTOCOL. All addresses are loopback addresses with free ports, and the clock
is the real one. Nothing is built; build-2.sh checks that this file can be loaded.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from typing import Any, BinaryIO, NoReturn

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN = "exec .venv/bin/python -m gullyoke"  # `run` of deploy/balancer.toml
SERVE = "exec .venv/bin/python -m gullyoke.cli serve --operator"  # README, "Run it"
START_TIMEOUT_S = 30.0
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt of a case, with one line for each event."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.time()
        self._lock = threading.Lock()

    def note(self, text: str) -> None:
        """Write a line with the time in seconds since the case began."""
        with self._lock:
            self._file.write(f"{time.time() - self._began:9.4f} {text}\n")
            self._file.flush()

    def end(self, code: int, text: str) -> NoReturn:
        """Write and print the verdict, and end the case."""
        self.note(text)
        print(text)
        sys.exit(code)


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment like metro-manila.

    Args:
        changes: Replace values of the settings; `Profiles` are given as a list of
            name, aim, deadline (both in ms), worth and semantics.
    """
    profiles = changes.pop(
        "Profiles",
        [
            ("box-view", 1700, 4100, 1.0, "repeatable"),
            ("schedule-set", 2300, 5700, 2.0, "repeatable"),
            ("drop-status", 1000, 2500, 3.0, "repeatable"),
        ],
    )
    family = {
        "Cores": 6,
        "MemoryKb": 19110.0,
        "Blowup": 4.0,
        "KeyKb": 0.5,
        "FreshStart": False,
        "StopMode": "off",
        "OwnStats": ["core_use", "on_cores", "heap_share", "links"],
        "CallsByClass": [True, False, True],
        "ClassSkipWorth": [0.3, 0.0, 0.5],
        "DependsOn": "one_for_all",
        "CallsOut": 6.25,
        "ShareSpanUs": 5_000_000,
        "LingerUs": 200_000,
        "Say": "off",
        "HeededUs": 1_000_000,
        "CancelSeen": False,
        "PassesDeadline": True,
        "DeepChecks": False,
        "Readiness": False,
        "CallerIdleUs": 30_000_000,
        "FreshForUs": 0,
        "Callers": 3,
    }
    rules = {
        "AnswerSlackUs": 80_000,
        "DrainGraceUs": 2_000_000,
        "TipMultiple": 8.0,
        "TipAfterUs": 1_500_000,
        "StartCapacity": 0.23,
        "ColdUs": 18_000_000,
    }
    window_us = int(changes.pop("KeyTtlUs", 5_000_000))
    for table in (family, rules):
        table.update({key: changes.pop(key) for key in list(changes) if key in table})
    if changes:
        raise ValueError(f"unknown settings: {', '.join(changes)}")
    return {
        "Profiles": [
            {
                "Name": name,
                "ObjectiveUs": aim_ms * 1000,
                "DeadlineUs": deadline_ms * 1000,
                "Importance": worth,
                "Semantics": semantics,
                "LateWorth": 0.2,
                "KeyTtlUs": window_us,
            }
            for name, aim_ms, deadline_ms, worth, semantics in profiles
        ],
        "FamilyInfo": family,
        "Rules": rules,
        "FleetSize": 12,
        "WorthBy": "request",
        "Orgs": [],
        "Permissions": {"RetryAfter": True, "MaxRetryAfterUs": 1_000_000},
    }


class Listening:
    """A peer that listens on a free port and serves each connection on a thread."""

    def __init__(self) -> None:
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            link = self._sock.accept()[0]
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), link, link.makefile("rb") as file:
            self.serve(link, file)

    def serve(self, link: socket.socket, file: BinaryIO) -> None:
        """Serve a connection until it ends."""
        raise NotImplementedError


class Engine(Listening):
    """An engine that runs each request once, without calls; it is up from the start.

    Attributes:
        known: Class and body of each request that the gateways sent, by id.
        runs: When the run of a request began, by id.
    """

    def __init__(self, record: Record, run_s: float) -> None:
        self.known: dict[str, tuple[str, bytes]] = {}
        self.runs: dict[str, float] = {}
        self._record = record
        self._run_s = run_s
        self._lock = threading.Lock()
        self._notices = 0
        super().__init__()

    def serve(self, link: socket.socket, file: BinaryIO) -> None:
        """Carry out the commands of one link."""
        for line in file:
            words = line.decode("latin-1").split()
            if words[0] == "ATTACH":
                self._send(link, b"HELLO warm 60000\r\n")
            elif words[0] == "STAT":
                self._send(link, f"STATS {words[1]} 0.1 0 0.1 8\r\n".encode())
            elif words[0] == "RUN":
                self._run(link, words, file.read(int(words[3]) + 2)[:-2])
            else:
                self._send(link, f"NO {words[0]} {words[1]}\r\n".encode())

    def _run(self, link: socket.socket, words: list[str], body: bytes) -> None:
        request = words[1]
        if self.known.get(request) != (words[2], body):
            self._send(link, f"NO RUN {request}\r\n".encode())
        elif request not in self.runs:  # for one that runs already nothing happens
            self.runs[request] = time.time()
            self._record.note(f"engine: runs {request}")
            threading.Timer(self._run_s, self._done, (link, request)).start()

    def _done(self, link: socket.socket, request: str) -> None:
        with self._lock:
            self._notices += 1
            result = f"result of {request}"
            took_ms = int(1000 * self._run_s)
            line = f"DONE {self._notices} {request} ok {took_ms} {len(result)}\r\n{result}\r\n"
            with contextlib.suppress(OSError):
                link.sendall(line.encode())

    def _send(self, link: socket.socket, data: bytes) -> None:
        with self._lock:
            link.sendall(data)


class Database(Listening):
    """A database that nobody has a call for."""

    def serve(self, link: socket.socket, file: BinaryIO) -> None:
        """Answer each call that no run waits for it."""
        for line in file:
            words = line.decode("latin-1").split()
            if words[0] == "Q":
                file.read(int(words[3]) + 2)
                link.sendall(f"{words[1]} NONE\r\n".encode())


class Registry(Listening):
    """A name service that accepts all reports."""

    def serve(self, link: socket.socket, file: BinaryIO) -> None:
        """Answer each report with 204."""
        size = 0
        for line in file:
            if line.lower().startswith(b"content-length:"):
                size = int(line.split(b":")[1])
            elif line == b"\r\n":
                file.read(size)
                link.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")


def _deployed(folder: pathlib.Path) -> pathlib.Path:
    """Return a folder with the program as `build` leaves it in a fresh clone.

    No start may write to it: "The file system is read-only but for `$TMPDIR`" (DEPLOY). So there is
    no bytecode of the program's own modules, and no start leaves any.
    """
    root = folder / "root"
    shutil.copytree(
        ROOT / "gullyoke", root / "gullyoke", ignore=shutil.ignore_patterns("__pycache__")
    )
    (root / ".venv").symlink_to(ROOT / ".venv")
    return root


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        return int(free.getsockname()[1])


class Server:
    """One process of the project, started by the `run` command of the deploy file.

    With an operator's file it is started by the command that README names for that.
    """

    def __init__(
        self,
        record: Record,
        peers: dict[str, str],
        stop_ms: int,
        site: dict[str, Any],
        port: int = 0,
        operator: str = "",
    ) -> None:
        """Start the process.

        Args:
            record: Gets the log of the process at its end.
            peers: The addresses `engine`, `db` and `naming`.
            stop_ms: From SIGTERM to SIGKILL.
            site: The settings.
            port: Where it listens; 0 for a free port.
            operator: The text of the operator's file; empty for none.
        """
        self.port = port or free_port()
        self.stop_ms = stop_ms
        self._record = record
        self._folder = pathlib.Path(tempfile.mkdtemp())
        self._log = (self._folder / "log").open("w")
        root = _deployed(self._folder)
        listen = f"127.0.0.1:{self.port}"
        config = peers | {
            "name": "n3",
            "listen": listen,
            "seed": f"{random.getrandbits(64):016x}",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": site,
        }
        path = self._folder / "config.json"
        path.write_text(json.dumps(config))
        told = {"NODE_NAME": "n3", "NODE_LISTEN": listen, "NODE_CONFIG": str(path)}
        command = RUN
        if operator:
            (self._folder / "operator.textproto").write_text(operator)
            command = f"{SERVE} {self._folder}/operator.textproto"
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=root,
            stdout=self._log,
            stderr=self._log,
            env=os.environ | told | {"PYTHONDONTWRITEBYTECODE": "1"},
        )

    def wait_until(self, holds: Callable[[], bool], poll_s: float = 0.02) -> None:
        """Wait until something holds; end the case if it takes too long or the process ends."""
        until = time.time() + START_TIMEOUT_S
        while not holds():
            if time.time() > until or self.process.poll() is not None:
                self._record.end(NOT_RUN, "could not run: the server did not start")
            time.sleep(poll_s)

    def is_healthy(self) -> bool:
        """Return whether the process answers a health check with 200."""
        try:
            with socket.create_connection(("127.0.0.1", self.port), 0.5) as link:
                link.sendall(b"GET /ping HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                return b" 200 " in link.recv(100)
        except OSError:
            return False

    def holds_back_sigterm(self) -> bool:
        """Return whether the process has blocked SIGTERM, until it waits for signals."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        blocked = next(line for line in status.splitlines() if line.startswith("SigBlk"))
        return bool(int(blocked.split()[1], 16) >> (signal.SIGTERM - 1) & 1)

    def leave(self) -> None:
        """Tell the process to leave, and wait until it has ended or its time is over."""
        self.process.send_signal(signal.SIGTERM)
        self._record.note(f"SIGTERM to the server; SIGKILL follows in {self.stop_ms} ms")
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(self.stop_ms / 1000)

    def end(self) -> None:
        """Kill the process if it still runs, and copy its log into the record."""
        if self.process.poll() is None:
            self._record.note("SIGKILL to the server")
            self.process.kill()
        self._record.note(f"the server has ended with {self.process.wait()}")
        self._log.close()
        for line in (self._folder / "log").read_text().splitlines():
            self._record.note(f"server: {line}")
        shutil.rmtree(self._folder)


def encode_request(
    request_class: str, request: str, body: bytes, arrived_s: float, wait_ms: int, key: str = ""
) -> bytes:
    """Return a gateway's request, as bytes; `key` marks the repeats of a uniqued request."""
    head = (
        f"POST /call/{request_class} HTTP/1.1\r\nHost: origin.svc\r\nTrace-Id: {request}\r\n"
        f"Accepted-At-Ms: {int(arrived_s * 1000)}\r\nClient-No: 1\r\nMax-Wait-Ms: {wait_ms}\r\n"
        f"Reserve-Kb: 24.5\r\nStanding: 0.5000\r\nContent-Length: {len(body)}\r\n"
    )
    if key:
        head += f"Replay-Key: {key}\r\n"
    return head.encode() + b"\r\n" + body


def read_answer(file: BinaryIO) -> tuple[str, bytes, bool]:
    """Read an answer; return its status, its body, and whether the connection ends after it.

    Raises:
        ValueError: The connection ended before a whole answer.
    """
    words = file.readline().split()
    size, ends = 0, False
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            size = int(value)
        ends |= name.lower() == b"connection" and b"close" in value
    body = file.read(size)
    if len(words) < 2 or line != b"\r\n" or len(body) < size:
        raise ValueError("no whole answer")
    return words[1].decode(), body, ends


def ask(port: int, data: bytes, timeout_s: float) -> tuple[str, bytes]:
    """Send a request on a connection of its own; return the answer's status and body.

    The status is "none" where the connection ended without a whole answer.
    """
    try:
        with socket.create_connection(("127.0.0.1", port), 0.5) as link:
            link.settimeout(timeout_s)
            link.sendall(data)
            with link.makefile("rb") as file:
                status, body, _ = read_answer(file)
                return status, body
    except (OSError, ValueError):
        return "none", b""


class KeyedLife:
    """A server with a store for keys, from one start to its end, and its engine.

    The site is like qld-routing: map-change is uniqued, and a repeat may come within the window.

    Attributes:
        engine: The engine, which starts and ends with the server.
        server: The process.
    """

    WINDOW_S = 11.163
    WAIT_MS = 3700
    STOP_MS = 2500

    def __init__(self, record: Record, port: int, store: str) -> None:
        """Start the server.

        Args:
            record: Gets a line for each request.
            port: Where the server listens, the same after a restart.
            store: The folder that outlives the server.
        """
        self._record = record
        self.engine = Engine(record, 0.02)
        peers = {"engine": self.engine.address, "naming": Registry().address}
        site = settings(
            Profiles=[
                ("route", 1900, 4500, 1.0, "repeatable"),
                ("map-change", 1100, 3700, 3.0, "by_key"),
            ],
            KeyTtlUs=int(self.WINDOW_S * 1e6),
            Cores=2,
            StopMode="discard",
            CallsByClass=[False, False],
            ClassSkipWorth=[0.0, 0.0],
            DependsOn="off",
        )
        operator = f'store {{ folder: "{store}" quota_mb: 16 keys {{ without: SHED }} }}\n'
        self.server = Server(record, peers, self.STOP_MS, site, port, operator)

    def ask(
        self, who: str, body: bytes, key: str, known: bool = True, unread_s: float = 0.0
    ) -> tuple[str, bytes, bool]:
        """Send a map-change; return the answer's status and body, and whether it was run.

        Args:
            who: Who sends it, for the record.
            body: Its body.
            key: Its key.
            known: Whether the engine knows of it, since a gateway sent it.
            unread_s: How long ago it reached the machine.
        """
        request = f"{random.getrandbits(64):016x}"
        if known:
            self.engine.known[request] = ("map-change", body)
        arrived = time.time() - unread_s
        data = encode_request("map-change", request, body, arrived, self.WAIT_MS, key)
        status, answer = ask(self.server.port, data, self.WAIT_MS / 1000 + 1)
        ran = request in self.engine.runs
        self._record.note(
            f"{who}: request {request} key {key} body {body!r} unread for {unread_s} s: "
            f"{'ran' if ran else 'not run'}, answer {status} {answer!r}"
        )
        return status, answer, ran


def end_on_signal() -> None:
    """Have SIGTERM end the case through its `finally` blocks, which end all processes."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))

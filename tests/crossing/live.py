"""A whole server inside the test's own process, so that a test can stop it between two lines.

`apart` runs a test in a process of its own: what a server leaves behind (threads, the size of
stacks) ends there. `REPEATS` is how often each crossing is forced; GULLYOKE_REPEATS sets it.
"""

import contextlib
import functools
import logging
import os
import pathlib
import queue
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from standins import PATIENCE, ROOT, Sockets, message, request_id

from gullyoke.daemon import composition
from gullyoke.daemon.composition import build_daemon
from gullyoke.daemon.configuration import load_configuration
from gullyoke.runtime.logs import log

REPEATS = int(os.environ.get("GULLYOKE_REPEATS", "100"))
CHILD = "GULLYOKE_CHILD"
SIDE_BY_SIDE = 4  # tests that run apart at once


def in_child(name):
    """Run one test in a process of its own: its exit code and what it printed."""
    env = os.environ | {CHILD: "1", "PYTHONPATH": f"{ROOT}{os.pathsep}{ROOT / 'tests'}"}
    got = subprocess.run(
        [sys.executable, "-m", "unittest", name],
        cwd=ROOT / "tests",
        env=env,
        capture_output=True,
        text=True,
        timeout=600,
    )
    return got.returncode, got.stderr


class Children:
    """The tests that run apart, a few at a time, since they wait more than they work.

    Where all of a module are to run, the first that is asked for starts them all. Table: `going`, a
    row a test.
    """

    def __init__(self):
        self.pool = ThreadPoolExecutor(SIDE_BY_SIDE)
        self.names, self.going = [], {}

    def result(self, name):
        wanted = [name] if "-k" in sys.argv else [name, *self.names]
        for each in wanted:
            if each not in self.going:
                self.going[each] = self.pool.submit(in_child, each)
        return self.going[name].result()


CHILDREN = Children()


def apart(test):
    """Run a test method in a process of its own."""
    name = f"{test.__module__}.{test.__qualname__}"
    CHILDREN.names.append(name)

    @functools.wraps(test)
    def run(self):
        if os.environ.get(CHILD):
            test(self)
            return
        code, printed = CHILDREN.result(name)
        self.assertEqual(code, 0, printed[-6000:])

    return run


def eventually(ask, what):
    """Wait for what must come."""
    until = time.monotonic() + PATIENCE
    while not ask():
        assert time.monotonic() < until, f"never came: {what}"
        time.sleep(0.001)


class Client:
    """A gateway's connection."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, PATIENCE)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.sock.makefile("rb")

    def send(self, name, request_class="view", **fields):
        self.sock.sendall(message(name, request_class, **fields))

    def answer(self):
        """Status and body of the next answer; None at the connection's end.

        Raises where it was reset.
        """
        first = self.file.readline().split()
        if not first:
            return None
        length = 0
        while line := self.file.readline().strip():
            if line.lower().startswith(b"content-length:"):
                length = int(line.split()[1])
        return int(first[1]), self.file.read(length).decode()

    def close(self):
        self.file.close()
        self.sock.close()


class Live(contextlib.ExitStack):
    """A server and its stand-ins. `hook` puts a function before one of the server's own."""

    def __init__(self, **given):
        super().__init__()
        self.peers = Sockets()
        self.peers.given |= given
        self.peers.engine.state = "warm"
        self.peers.configure_file()
        self.callback(os.unlink, self.peers.config)
        self.callback(self.peers.folder.cleanup)
        self.enter_context(
            mock.patch.object(composition, "start_logging", lambda *given: mock.Mock())
        )
        log.addHandler(logging.NullHandler())
        self.daemon = build_daemon(load_configuration({"NODE_CONFIG": self.peers.config}))
        self.daemon.start()
        eventually(lambda: self.daemon.dispatcher.controller is not None, "the engine is up")
        self.engine, self.db, self.naming = self.peers.engine, self.peers.db, self.peers.naming
        self.dispatcher, self.connections, self.metrics = (
            self.daemon.dispatcher,
            self.daemon.connections,
            self.daemon.metrics,
        )

    def client(self):
        return Client(self.peers.listen)

    def hook(self, owner, name, before):
        """Call `before` with what the owner's function is given, then that function."""
        real = getattr(owner, name)

        @functools.wraps(real)
        def hooked(*given, **named):
            before(*given, **named)
            return real(*given, **named)

        return mock.patch.object(owner, name, hooked)

    def count(self, name):
        with self.metrics.lock:
            return self.metrics.counters[name]

    def run(self, name, again=()):
        """Wait for the engine to be told to run it.

        `again`: what may be given once more before that.
        """
        while (got := self.engine.heard.get(timeout=PATIENCE))[1] in again:
            pass
        assert got[:2] == ["RUN", name], f"heard {got[:3]}"

    def done(self, name, text="fine", end="ok"):
        """The engine says that its run is over."""
        self.engine.notices += 1
        self.engine.say(
            f"DONE {self.engine.notices} {request_id(name)} {end} 12 {len(text)}\r\n{text}\r\n"
        )

    def need(self, name, text="question"):
        """The engine says that its run waits for a call."""
        self.engine.notices += 1
        self.engine.say(f"NEED {self.engine.notices} {request_id(name)} {len(text)}\r\n{text}\r\n")

    def served(self, client, name, **fields):
        """One request, from its first byte to its answer."""
        client.send(name, **fields)
        self.run(name)
        self.done(name)
        got = client.answer()
        assert got == (200, "fine"), got

    def unheard(self):
        """Whether the engine has been told nothing that is not yet named here."""
        with contextlib.suppress(queue.Empty):
            got = self.engine.heard.get_nowait()
            raise AssertionError(f"heard {got[:3]}")

    def connection(self, client):
        """The server's side of a client's connection."""

        def find():
            ours = client.sock.getsockname()
            return [
                c
                for c in list(self.connections.open)
                if c.sock.fileno() >= 0 and c.sock.getpeername() == ours
            ]

        eventually(find, "the connection accepted")
        return find()[0]


def unread(sock):
    """Whether something has come on a socket that nobody has read yet."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except BlockingIOError:
        return False


def descriptors():
    return len(list(pathlib.Path("/proc/self/fd").iterdir()))

"""A whole server inside the test's process, so that a test can pause it between two lines.

`apart` runs a test in a child process, so that the threads and the stack size that a server leaves
behind end with it. `REPEATS` is how often a test forces each race; GULLYOKE_REPEATS sets it.
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

from standins import ROOT, TIMEOUT_S, Sockets, message, request_id

from gullyoke.daemon import composition
from gullyoke.daemon.composition import build_daemon
from gullyoke.daemon.configuration import load_configuration
from gullyoke.runtime.logs import log
from gullyoke.runtime.signal_receiver import SignalReceiver

REPEATS = int(os.environ.get("GULLYOKE_REPEATS", "100"))
CHILD = "GULLYOKE_CHILD"
SIDE_BY_SIDE = 4  # child processes at once


def run_in_child(name):
    """Run one test in a child process; return its exit code and its standard error."""
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


class ChildRuns:
    """The tests that run in child processes, a few at a time, since they mostly wait.

    The first result asked for starts all of them, unless `-k` selects tests. `futures` has the
    future of each test that was started.
    """

    def __init__(self):
        self.pool = ThreadPoolExecutor(SIDE_BY_SIDE)
        self.names, self.futures = [], {}

    def result(self, name):
        selected = [name] if "-k" in sys.argv else [name, *self.names]
        for test_name in selected:
            if test_name not in self.futures:
                self.futures[test_name] = self.pool.submit(run_in_child, test_name)
        return self.futures[name].result()


CHILD_RUNS = ChildRuns()


def apart(test):
    """Run a test method in a child process."""
    name = f"{test.__module__}.{test.__qualname__}"
    CHILD_RUNS.names.append(name)

    @functools.wraps(test)
    def run(self):
        if os.environ.get(CHILD):
            test(self)
            return
        code, printed = CHILD_RUNS.result(name)
        self.assertEqual(code, 0, printed[-6000:])

    return run


def eventually(ask, what):
    """Wait until `ask` returns a true value; fail with `what` after `TIMEOUT_S` seconds."""
    until = time.monotonic() + TIMEOUT_S
    while not ask():
        assert time.monotonic() < until, f"never came: {what}"
        time.sleep(0.001)


class Client:
    """A gateway's connection."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.sock.makefile("rb")

    def send(self, name, request_class="view", **fields):
        self.sock.sendall(message(name, request_class, **fields))

    def answer(self):
        """Read the status and body of the next answer; None if the connection was closed.

        Raises an error if the connection was reset.
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
    """A server and the test doubles of its peers. `hook` runs code before a server function."""

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
        configuration = load_configuration({"NODE_CONFIG": self.peers.config})
        self.daemon = build_daemon(configuration, SignalReceiver())  # receives none in a test
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
        """Patch a function of `owner` to call `before` first, with the same arguments."""
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
        """Wait until the engine receives RUN for this request.

        Messages about the requests named in `again` may come before that.
        """
        while (got := self.engine.heard.get(timeout=TIMEOUT_S))[1] in again:
            pass
        assert got[:2] == ["RUN", name], f"heard {got[:3]}"

    def done(self, name, text="fine", end="ok"):
        """Let the engine report that the run has ended."""
        self.engine.notices += 1
        self.engine.say(
            f"DONE {self.engine.notices} {request_id(name)} {end} 12 {len(text)}\r\n{text}\r\n"
        )

    def need(self, name, text="question"):
        """Let the engine report that the run needs a dependency call."""
        self.engine.notices += 1
        self.engine.say(f"NEED {self.engine.notices} {request_id(name)} {len(text)}\r\n{text}\r\n")

    def served(self, client, name, **fields):
        """Send a request, let its run complete and check the answer."""
        client.send(name, **fields)
        self.run(name)
        self.done(name)
        got = client.answer()
        assert got == (200, "fine"), got

    def check_nothing_heard(self):
        """Fail if the engine has received a message that the test has not yet taken."""
        with contextlib.suppress(queue.Empty):
            got = self.engine.heard.get_nowait()
            raise AssertionError(f"heard {got[:3]}")

    def connection(self, client):
        """Return the server's side of a client's connection, once accepted."""

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
    """Whether a socket has received bytes that nobody has read yet."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except BlockingIOError:
        return False


def descriptors():
    return len(list(pathlib.Path("/proc/self/fd").iterdir()))

"""Signals that arrive while the server starts, reloads or drains.

A signal that comes before signals are blocked, while the server is built, in a reload or in the
drain could be lost, kill the server or drain it twice. A hook makes the server's process send
itself the signal at the chosen point.

Run as a program, `test_signals.py POINT`, this file is that process.
"""

import contextlib
import os
import pathlib
import runpy
import signal
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor

if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).parents[2]))
else:
    from standins import ROOT, TIMEOUT_S, Sockets

    from crossing.live import REPEATS, SIDE_BY_SIDE

    TIMES = max(1, REPEATS // 10)  # fewer, since each needs a process

# By point: the hooked functions (module, owner, name) and the signal raised at each of their calls.
TERM, HUP = signal.SIGTERM, signal.SIGHUP
WAIT = "gullyoke.runtime.signal_receiver", "SignalReceiver", "wait"
POINTS = {
    "configuration": [("gullyoke.daemon.serve", None, "load_configuration", [TERM])],
    "put together": [("gullyoke.runtime.timer", "Timer", "__init__", [TERM])],
    "listening": [("gullyoke.frontends.connections", "ConnectionTable", "listen", [TERM])],
    "accepting": [("gullyoke.frontends.connections", "ConnectionTable", "start", [TERM])],
    "receiving": [("signal", None, "sigwait", [TERM])],
    "before the wait": [(*WAIT, [TERM])],
    "reload": [
        (*WAIT, [HUP]),
        ("gullyoke.daemon.reload", None, "load_configuration", [TERM]),
    ],
    "two reloads": [
        (*WAIT, [HUP]),
        ("gullyoke.daemon.reload", None, "load_configuration", [HUP, TERM]),
    ],
    "twice": [
        (*WAIT, [TERM]),
        ("gullyoke.runtime.dispatcher", "Dispatcher", "begin_drain", [TERM]),
        ("gullyoke.frontends.connections", "ConnectionTable", "stop_accepting", [TERM]),
    ],
    "reload in the drain": [
        (*WAIT, [TERM]),
        ("gullyoke.runtime.dispatcher", "Dispatcher", "begin_drain", [HUP]),
    ],
    "reload at the end": [
        (*WAIT, [TERM]),
        ("gullyoke.frontends.connections", "ConnectionTable", "stop_accepting", [HUP, TERM]),
    ],
}
IMPORTING = "importing"


def with_signals(real, signals):
    """Wrap a function: each of its first calls sends this process the next of `signals`."""
    left = list(signals)

    def hooked(*given, **named):
        if left:
            os.kill(os.getpid(), left.pop(0))
        return real(*given, **named)

    return hooked


class SignalAtImport:
    """Sends SIGTERM as the import of the server's own modules begins."""

    def find_spec(self, name, path=None, target=None):
        if name == "gullyoke.daemon":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), TERM)
        return


def server(point):
    """Run the server as `python -m gullyoke` does, with the hooks of the point."""
    if point == IMPORTING:
        sys.meta_path.insert(0, SignalAtImport())
    else:
        # As the daemon does before its imports; the hooks import its modules earlier.
        signal.pthread_sigmask(signal.SIG_BLOCK, {TERM, HUP})
        for module, owner, name, signals in POINTS[point]:
            at = __import__(module, fromlist=["x"])
            at = getattr(at, owner) if owner else at
            setattr(at, name, with_signals(getattr(at, name), signals))
    runpy.run_module("gullyoke", run_name="__main__", alter_sys=True)


class Signals(unittest.TestCase):
    def run_point(self, point):
        """Run one server process to its end; return its exit code and its log."""
        with contextlib.closing(Sockets()) as scene:
            scene.given["stop_ms"] = 300.0
            scene.engine.state = "warm"
            scene.configure_file()
            process = subprocess.Popen(
                [sys.executable, __file__, point],
                cwd=ROOT,
                stderr=subprocess.PIPE,
                text=True,
                env=os.environ | {"NODE_CONFIG": scene.config},
            )
            _, printed = process.communicate(timeout=TIMEOUT_S)
            os.unlink(scene.config)
        return process.returncode, printed

    def test_points(self):
        points = [point for point in (IMPORTING, *POINTS) for _ in range(TIMES)]
        with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
            for point, (code, printed) in zip(
                points, pool.map(self.run_point, points), strict=True
            ):
                with self.subTest(point):
                    self.assertEqual(code, 0, printed)
                    self.assertEqual(printed.count("event=draining"), 1, printed)
                    self.assertEqual(printed.count("event=drained"), 1, printed)
                    self.assertNotIn('event="internal error"', printed)
                    reloads = {"reload": 1, "two reloads": 2, "reload in the drain": 1}.get(
                        point, 0
                    )
                    self.assertEqual(printed.count('event="configuration read"'), reloads, printed)


if __name__ == "__main__":
    server(sys.argv[1])

"""Thirty server processes that decide independently and share one cold, slow dependency."""

import contextlib
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

from standins import ROOT, TIMEOUT_S, Engine, ServiceRegistry, StandIn, message, site

from crossing.live import eventually
from gullyoke.experiments.ports import free

SERVERS = 30
SHARE, SPAN_S = 0.5, 2.0  # calls in flight allowed to each server, mean over a span
LINGER_S = 0.2  # how long the dependency goes on with an abandoned call
COLD_S, LOAD_S = 3.0, 6.0  # how long the dependency is cold, and how long clients send
COLD_CALL_S, CALL_S = 0.5, 0.05  # a call's time while the dependency is cold, and later
SLOTS = 6  # with more calls in flight, every call takes longer


class Dependency(StandIn):
    """Answers each call after its time.

    `spans` has the start and the end of each call.
    """

    def __init__(self):
        self.spans, self.in_flight, self.lock, self.began = (
            [],
            0,
            threading.Lock(),
            time.monotonic(),
        )
        super().__init__()

    def message(self, link, file, words):
        file.read(int(words[-1]) + 2)
        with self.lock:
            self.in_flight += 1
            slowdown = max(1.0, self.in_flight / SLOTS)
        start = time.monotonic()
        cold = start < self.began + COLD_S
        until = start + (COLD_CALL_S if cold else CALL_S) * slowdown
        link.settimeout(max(0.001, until - time.monotonic()))
        given_up = self.closed(link, until)
        end = time.monotonic() + (LINGER_S if given_up else 0.0)
        with self.lock:
            self.in_flight -= 1
            self.spans.append((start, end))
        if not given_up:
            self.say(f"{words[1]} ROWS 4\r\nrows\r\n", link)

    @staticmethod
    def closed(link, until):
        """Wait until a time; return whether the caller closed the connection before."""
        try:
            while (left := until - time.monotonic()) > 0:
                link.settimeout(left)
                if not link.recv(1, socket.MSG_PEEK):
                    return True
                time.sleep(0.001)
        except TimeoutError:
            return False
        except OSError:
            return True
        finally:
            with contextlib.suppress(OSError):
                link.settimeout(None)
        return False

    def highest_mean(self):
        """The highest mean of calls in flight over any span of `SPAN_S`."""
        edges = sorted({t for span in self.spans for t in span})
        return max(
            sum(max(0.0, min(b, edge) - max(a, edge - SPAN_S)) for a, b in self.spans) / SPAN_S
            for edge in edges
        )


class CallingEngine(Engine):
    """Each run needs one call and ends once that was answered or skipped."""

    def message(self, link, file, words):
        if words[0] == "RUN":
            file.read(int(words[-1]) + 2)
            self.notices += 1
            self.say(f"NEED {self.notices} {words[1]} 3\r\nask\r\n", link)
        elif words[0] in ("FEED", "SKIP"):
            if words[0] == "FEED":
                file.read(int(words[-1]) + 2)
            self.notices += 1
            self.say(f"DONE {self.notices} {words[1]} ok 1 4\r\nfine\r\n", link)
        else:
            super().message(link, file, words)


class Server:
    """One server process with its engine and its clients."""

    def __init__(self, number, dependency, naming, folder):
        self.engine, self.listen, self.number = CallingEngine(), free(), number
        self.engine.state, self.served, self.calls = "cold", 0, 0
        settings = site(target=900, timeout=2500, cores=2)
        settings["FamilyInfo"] |= {
            "CallsOut": SHARE,
            "ShareSpanUs": int(SPAN_S * 1e6),
            "LingerUs": int(LINGER_S * 1e6),
            "FreshStart": True,
        }
        at = "{}:{}".format
        path = pathlib.Path(folder, f"n{number}.json")
        path.write_text(
            json.dumps(
                {
                    "name": f"n{number}",
                    "listen": at(*self.listen),
                    "engine": at(*self.engine.address),
                    "naming": at(*naming.address),
                    "db": at(*dependency.address),
                    "seed": f"{number:x}",
                    "stop_ms": 300,
                    "settings": settings,
                    "limits": {"sockets": 128},
                }
            )
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gullyoke"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env={"NODE_CONFIG": str(path)},
        )

    def ready(self):
        with contextlib.suppress(OSError), socket.create_connection(self.listen, 1) as conn:
            conn.sendall(b"GET /ping HTTP/1.1\r\n\r\n")
            return conn.recv(64).startswith(b"HTTP/1.1 200")
        return False

    def load(self, until, lane):
        """One client: sends each request once the previous one is answered."""
        with socket.create_connection(self.listen, TIMEOUT_S) as conn, conn.makefile("rb") as file:
            n = 0
            while time.monotonic() < until:
                n += 1
                name = f"{self.number}{lane}{n}"[-8:]
                conn.sendall(message(name, "pay", **{"Max-Wait-Ms": "2500"}))
                status = int(file.readline().split()[1])
                while line := file.readline().strip():
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split()[1])
                file.read(length)
                self.served += status == 200
                if status != 200:
                    time.sleep(0.02)  # a client sends again soon after a rejection


class Cold(unittest.TestCase):
    def test_sum_of_all_calls(self):
        """The mean of calls in flight of all servers never exceeds the sum of their shares.

        A server that did not count abandoned calls would exceed its share while the dependency is
        cold and clients retry at once, or as the dependency recovers.
        """
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            dependency, naming = Dependency(), ServiceRegistry()
            stack.callback(dependency.down)
            stack.callback(naming.down)
            servers = [Server(n, dependency, naming, folder) for n in range(SERVERS)]
            for one in servers:
                stack.callback(one.engine.down)
                stack.callback(one.process.wait)
                stack.callback(one.process.kill)
            for one in servers:
                eventually(one.ready, "a server ready")
            dependency.began = time.monotonic()
            until = dependency.began + LOAD_S
            clients = [
                threading.Thread(target=one.load, args=(until, lane))
                for one in servers
                for lane in "ab"
            ]
            for client in clients:
                client.start()
            for client in clients:
                client.join(TIMEOUT_S)
                self.assertFalse(client.is_alive())
            for one in servers:
                one.process.terminate()
            self.assertEqual({one.process.wait(TIMEOUT_S) for one in servers}, {0})
            most, total = dependency.highest_mean(), SERVERS * SHARE
            print(
                f"calls in hand, mean of {SPAN_S:g} s: {most:.1f} at the most of {total:g}; "
                f"{sum(one.served for one in servers)} requests served",
                file=sys.stderr,
            )
            self.assertLessEqual(most, total)
            self.assertGreater(most, total / 4)  # the load was high enough to test the bound
            self.assertGreater(sum(one.served for one in servers), SERVERS)


if __name__ == "__main__":
    unittest.main()

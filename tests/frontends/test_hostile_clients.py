"""Real servers beside many clients that mean no good; benchmarks/hostile_clients.py plays more."""

import contextlib
import socket
import unittest

from standins import Sockets

from benchmarks.hostile_clients import FORMS, Crowd, beside, memory_kib, play_crowd, server

CLIENTS, SOCKETS = 900, 1024
PLAY_S = 3.0
#: Half of the 192 MB that a server may have at 1,024 descriptors; more than that is priced.
MOST_KIB = 96 * 1024
LATEST_MS = 1000  # a usual request is answered within this time
HOSTILE_TIMEOUT_S = 3.0  # a hostile client is answered or closed within this time


class HostileClients(unittest.TestCase):
    def test_memory(self):
        """Guards against a server that is killed for memory under hundreds of hostile clients.

        They write slowly, stop half way through a request, or send very many short fields.
        """
        for scgi in (False, True):
            for form in FORMS:
                with self.subTest(form, scgi=scgi), server(scgi, SOCKETS) as scene:
                    address = scene.scgi if scgi else scene.listen
                    Crowd(address, form, CLIENTS, scgi, waves=False).play(PLAY_S)
                    self.assertLess(memory_kib(scene)["VmHWM"], MOST_KIB)

    def test_usual_requests(self):
        """Guards against usual requests lost where half-written ones take all descriptors.

        450 clients begin at once on a server of 512 descriptors; the usual ones use kept and new
        connections.
        """
        for scgi in (False, True):
            for form in ("half", "long-head"):
                with self.subTest(form, scgi=scgi), server(scgi, 512) as scene:
                    seen = beside(scene, scgi, 4.0, play_crowd, form, 450, scgi, True)
                    self.assertEqual(seen["unanswered"], 0, seen)
                    self.assertGreater(seen["usual"], 100, seen)
                    self.assertLess(seen["most_ms"], LATEST_MS, seen)
                    self.assertLess(seen["hostile"]["slowest_s"], HOSTILE_TIMEOUT_S, seen)

    def test_lower_limit(self):
        """Guards against newcomers that wait for idle connections after a reload lowers the limit.

        More back ends leave fewer descriptors for clients.
        """
        with contextlib.closing(Sockets()) as scene, contextlib.ExitStack() as kept:
            for line in (
                "site sockets=100",
                'operator listener { name: "scgi" address: "SCGI_AT" }',
                "backends b1,most=1",
                "ping 200",
            ):
                scene.line(line.split())
            for _ in range(45):
                self.check_health(kept.enter_context(socket.create_connection(scene.listen)))
            for line in ("backends b1,most=1 b2,most=40", "reload"):
                scene.line(line.split())
            scene.said("operator's file read")
            for _ in range(5):
                self.check_health(kept.enter_context(socket.create_connection(scene.listen)))

    def check_health(self, conn):
        conn.settimeout(LATEST_MS / 1000)
        conn.sendall(b"GET /ping HTTP/1.1\r\n\r\n")
        self.assertIn(b" 200 ", conn.recv(4096))


if __name__ == "__main__":
    unittest.main()

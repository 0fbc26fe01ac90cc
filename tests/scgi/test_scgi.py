"""Plays the scenarios of the SCGI front and of back ends; both protocols mixed under overload."""

import contextlib
import math
import pathlib
import random
import socket
import threading
import time
import unittest
from collections import Counter

from standins import Busy, Sockets, message
from test_scenarios import on_sockets

HERE = pathlib.Path(__file__).parent
HANDLERS = ("view", "view", "book", "pay")


class Scgi(unittest.TestCase):
    def test_scenarios(self):
        on_sockets(self, HERE)

    def test_overload(self):
        """Both protocols mixed at twice the capacity.

        Each req gets exactly one answer, none late, and sheds do not ask by which protocol it came.

        A coin says by which protocol each req comes. If that is nothing to the daemon, the sheds
        among those that came by SCGI are a draw without replacement from all sheds of the handler,
        and by Hoeffding's bound their share is off by t with a chance under 2 exp(-2 m t^2). t is
        such that all three handlers together come under one in a million.
        """
        chance, told, threads = random.Random(11), [], []
        with contextlib.closing(Sockets()) as scene:
            scene.engine.down()
            scene.engine = Busy(2, 0.01)
            for line in (
                "site target=250 timeout=900 cores=2",
                'operator listener { name: "scgi" address: "SCGI_AT" }',
            ):
                scene.line(line.split())
            scene.start()
            scene.said("event=serving")
            start = time.monotonic()
            for i in range(2000):
                by, request_class = chance.random() < 0.5, chance.choice(HANDLERS)
                wait = start + i / 400 - time.monotonic()
                if wait > 0:
                    time.sleep(wait)
                threads.append(
                    threading.Thread(target=self.ask, args=(scene, i, by, request_class, told))
                )
                threads[-1].start()
            for thread in threads:
                thread.join(10)
        self.assertEqual(len(told), 2000)
        self.assertEqual({len(answers) for *_, answers, _ in told}, {1})
        self.assertLess(max(took for *_, took in told), 0.9 + 1.0)  # a second for our own threads
        sheds, asked = Counter(), Counter()
        for by, request_class, (status,), _ in told:
            self.assertIn(status, ("200", "503", "500"))
            asked[by, request_class] += 1
            sheds[by, request_class] += status == "503"
        self.assertGreater(sum(sheds.values()), 500)
        for request_class in set(HANDLERS):
            n = asked[True, request_class] + asked[False, request_class]
            share = (sheds[True, request_class] + sheds[False, request_class]) / n
            band = math.sqrt(math.log(2 * 3 * 1e6) / (2 * asked[True, request_class]))
            self.assertLess(
                abs(sheds[True, request_class] / asked[True, request_class] - share),
                band,
                request_class,
            )

    @staticmethod
    def ask(scene, i, by, request_class, told):
        """One req on a connection of its own, read to its end: all answers' statuses."""
        fields = {"Max-Wait-Ms": "900"} | (
            {"Replay-Key": f"k{i}"} if request_class == "book" else {}
        )
        if not by:
            fields["Connection"] = "close"
        began, data = time.monotonic(), b""
        with socket.create_connection(scene.scgi if by else scene.listen, 10) as conn:
            conn.sendall(message(f"r{i}", request_class, scgi=by, **fields))
            while got := conn.recv(4096):
                data += got
        mark = b"Status: " if by else b"HTTP/1.1 "
        answers = [part[:3].decode() for part in data.split(mark)[1:]]
        told.append((by, request_class, answers, time.monotonic() - began))


if __name__ == "__main__":
    unittest.main()

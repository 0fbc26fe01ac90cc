"""Scenarios of the SCGI listener and of SCGI back ends, and HTTP and SCGI mixed under overload."""

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
REQUEST_CLASSES = ("view", "view", "book", "pay")


class Scgi(unittest.TestCase):
    def test_scenarios(self):
        on_sockets(self, HERE)

    def test_overload(self):
        """HTTP and SCGI mixed at twice the capacity.

        Each request gets exactly one answer, none late, and the protocol has no influence on which
        requests are rejected.

        The protocol of each request is random. If the daemon ignores it, the rejected requests
        among those that came by SCGI are a sample without replacement from all rejected requests
        of the request class. By Hoeffding's bound their share then deviates by more than t with a
        probability below 2 exp(-2 m t^2), where m is the number of SCGI requests of the class. t is
        chosen so that the probability for all three classes together is below one in a million.
        """
        rng, results, threads = random.Random(11), [], []
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
                by_scgi, request_class = rng.random() < 0.5, rng.choice(REQUEST_CLASSES)
                wait = start + i / 400 - time.monotonic()
                if wait > 0:
                    time.sleep(wait)
                threads.append(
                    threading.Thread(
                        target=self.send_request, args=(scene, i, by_scgi, request_class, results)
                    )
                )
                threads[-1].start()
            for thread in threads:
                thread.join(10)
        self.assertEqual(len(results), 2000)
        self.assertEqual({len(answers) for *_, answers, _ in results}, {1})
        # One second of tolerance for the threads of this test.
        self.assertLess(max(took for *_, took in results), 0.9 + 1.0)
        rejected, sent = Counter(), Counter()
        for by_scgi, request_class, (status,), _ in results:
            self.assertIn(status, ("200", "503", "500"))
            sent[by_scgi, request_class] += 1
            rejected[by_scgi, request_class] += status == "503"
        self.assertGreater(sum(rejected.values()), 500)
        for request_class in set(REQUEST_CLASSES):
            n = sent[True, request_class] + sent[False, request_class]
            share = (rejected[True, request_class] + rejected[False, request_class]) / n
            band = math.sqrt(math.log(2 * 3 * 1e6) / (2 * sent[True, request_class]))
            self.assertLess(
                abs(rejected[True, request_class] / sent[True, request_class] - share),
                band,
                request_class,
            )

    @staticmethod
    def send_request(scene, i, by_scgi, request_class, results):
        """Send a request on a connection of its own and record the statuses of all its answers."""
        fields = {"Max-Wait-Ms": "900"} | (
            {"Replay-Key": f"k{i}"} if request_class == "book" else {}
        )
        if not by_scgi:
            fields["Connection"] = "close"
        began, data = time.monotonic(), b""
        with socket.create_connection(scene.scgi if by_scgi else scene.listen, 10) as conn:
            conn.sendall(message(f"r{i}", request_class, scgi=by_scgi, **fields))
            while got := conn.recv(4096):
                data += got
        mark = b"Status: " if by_scgi else b"HTTP/1.1 "
        answers = [part[:3].decode() for part in data.split(mark)[1:]]
        results.append((by_scgi, request_class, answers, time.monotonic() - began))


if __name__ == "__main__":
    unittest.main()

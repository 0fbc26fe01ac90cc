"""Reports to a service registry whose answers are slow or malformed."""

import contextlib
import random
import socket
import threading
import time
import unittest

from gullyoke.daemon.service_discovery import REPORT_TIMEOUT_S, ServiceDiscoveryReporter
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.metrics import Metrics

ANSWER = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"


class Reports(unittest.TestCase):
    def reporter(self, stack, pieces, pause):
        """Return a reporter whose service registry answers each report with these pieces, sent
        `pause` seconds apart.
        """
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))

        def serve():
            with contextlib.suppress(OSError):
                while True:
                    link = listener.accept()[0]
                    with link, contextlib.suppress(OSError):
                        while link.recv(4096):
                            for piece in pieces:
                                link.sendall(piece)
                                time.sleep(pause)

        threading.Thread(target=serve, daemon=True).start()
        return ServiceDiscoveryReporter(
            listener.getsockname(), "n3", lambda: True, random.Random(1), Metrics()
        )

    def test_byte_by_byte(self):
        """A report fails at its deadline although each byte of the answer comes soon after the
        one before.
        """
        with contextlib.ExitStack() as stack:
            reporter = self.reporter(
                stack, [ANSWER[i : i + 1] for i in range(len(ANSWER))], REPORT_TIMEOUT_S / 10
            )
            began = time.monotonic()
            with self.assertRaises(ConnectionClosedError) as ended:
                reporter.report()
            self.assertIs(ended.exception.reason, CloseReason.STALLED)
            self.assertLess(time.monotonic() - began, 3 * REPORT_TIMEOUT_S)

    def test_more_than_one_answer(self):
        """A connection is not used again after a second answer to one report.

        Otherwise the second answer would be taken for the answer to the next report.
        """
        with contextlib.ExitStack() as stack:
            reporter = self.reporter(stack, [ANSWER + ANSWER], 0)
            self.assertIs(reporter.report(), CloseReason.DECLARED)
            self.assertIsNone(reporter.connection)
            self.assertIs(reporter.report(), CloseReason.DECLARED)

    def test_pieces_in_time(self):
        """An answer in pieces is accepted if it is complete before the deadline."""
        with contextlib.ExitStack() as stack:
            reporter = self.reporter(stack, [ANSWER[i : i + 1] for i in range(len(ANSWER))], 0)
            for _ in range(3):
                self.assertIs(reporter.report(), CloseReason.DECLARED)


if __name__ == "__main__":
    unittest.main()

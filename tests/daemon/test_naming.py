"""Reports to a name service that answers badly."""

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
    def served(self, stack, pieces, pause):
        """A name service that writes these pieces, `pause` seconds apart, for each report.

        And its client.
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
        """Each byte comes in time, the answer does not.

        It is given up when its own time is over.
        """
        with contextlib.ExitStack() as stack:
            naming = self.served(
                stack, [ANSWER[i : i + 1] for i in range(len(ANSWER))], REPORT_TIMEOUT_S / 10
            )
            began = time.monotonic()
            with self.assertRaises(ConnectionClosedError) as ended:
                naming.report()
            self.assertIs(ended.exception.reason, CloseReason.STALLED)
            self.assertLess(time.monotonic() - began, 3 * REPORT_TIMEOUT_S)

    def test_more_than_one_answer(self):
        """A connection that is out of step is not used again.

        Its next answer would be this report's.
        """
        with contextlib.ExitStack() as stack:
            naming = self.served(stack, [ANSWER + ANSWER], 0)
            self.assertIs(naming.report(), CloseReason.DECLARED)
            self.assertIsNone(naming.connection)
            self.assertIs(naming.report(), CloseReason.DECLARED)

    def test_pieces_in_time(self):
        """Pieces are no fault while the whole comes in time."""
        with contextlib.ExitStack() as stack:
            naming = self.served(stack, [ANSWER[i : i + 1] for i in range(len(ANSWER))], 0)
            for _ in range(3):
                self.assertIs(naming.report(), CloseReason.DECLARED)


if __name__ == "__main__":
    unittest.main()

"""Real servers beside many clients that mean no good; benchmarks/hostile_clients.py plays more."""

import unittest

from benchmarks.hostile_clients import FORMS, Crowd, memory_kib, server

CLIENTS, SOCKETS = 900, 1024
PLAY_S = 3.0
#: Half of the 192 MB that a server may have at 1,024 descriptors; more than that is priced.
MOST_KIB = 96 * 1024


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


if __name__ == "__main__":
    unittest.main()

"""A real server whose disk fills, fails, hangs or goes, and keys over its restarts."""
import contextlib
import pathlib
import unittest

from standins import Sockets
from test_scenarios import play

HERE = pathlib.Path(__file__).parent


class Durable(unittest.TestCase):
    def test_scenarios(self):
        paths = sorted(HERE.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.stem), contextlib.closing(Sockets()) as scene:
                play(path, scene.line)


if __name__ == "__main__":
    unittest.main()

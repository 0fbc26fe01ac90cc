"""Run admission controllers for the simulator, over standard input and standard output."""

import sys

from gullyoke.simulator_adapter.batches import answer_batches
from gullyoke.simulator_adapter.wire import MalformedMessageError

EXIT_MALFORMED = 2

if __name__ == "__main__":
    try:
        answer_batches(sys.stdin.buffer, sys.stdout)
    except MalformedMessageError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_MALFORMED)

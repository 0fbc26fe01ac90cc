"""Run the decisions on the bench's wire: `python -m gullyoke.simulator_adapter`, batches in, replies out."""

import sys

from gullyoke.simulator_adapter.batches import MalformedMessageError, play

if __name__ == "__main__":
    try:
        play(sys.stdin.buffer, sys.stdout)
    except MalformedMessageError as fault:
        print(fault, file=sys.stderr)
        sys.exit(2)

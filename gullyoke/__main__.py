"""The real server: `python -m gullyoke`. What it must know is in the environment and the file named there."""
import os
import sys

from gullyoke.daemon.house import House
from gullyoke.daemon.options import told
from gullyoke.options import Misstated

if __name__ == "__main__":
    try:
        house = House(told(os.environ))
    except (Misstated, OSError) as fault:
        print(f"gullyoke: {fault}", file=sys.stderr)
        sys.exit(2)
    sys.exit(house.run())

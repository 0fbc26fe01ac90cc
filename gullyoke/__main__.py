"""The real server: `python -m gullyoke`.

What it must know is in the environment and the file named there.
"""

import sys

from gullyoke.runtime import signals

if __name__ == "__main__":
    signals.hold()
    from gullyoke.daemon.serve import serve

    sys.exit(serve())

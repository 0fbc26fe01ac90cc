"""The daemon: `python -m gullyoke`.

Its configuration is in the environment and in the file that NODE_CONFIG names.
"""

import sys

from gullyoke.runtime import signals

if __name__ == "__main__":
    # Before the imports, which take a while: no signal may end it meanwhile.
    signals.block_signals()
    from gullyoke.daemon.serve import serve

    sys.exit(serve())

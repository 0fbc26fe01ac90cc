"""The daemon: `python -m gullyoke`.

Its configuration is in the environment and in the file that NODE_CONFIG names.
"""

import sys

from gullyoke.runtime import signals

if __name__ == "__main__":
    signals.hold()  # before the imports, which take a while: no signal may end it meanwhile
    from gullyoke.daemon.serve import serve

    sys.exit(serve())

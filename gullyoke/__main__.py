"""Entry point of the daemon: `python -m gullyoke`.

The configuration is read from the environment and from the file that NODE_CONFIG names.
"""

import sys

from gullyoke.runtime import signals

if __name__ == "__main__":
    # Called before the imports, which take a while: no signal may end the process meanwhile.
    signals.block_signals()
    from gullyoke.runtime.signal_receiver import SignalReceiver

    receiver = SignalReceiver()
    receiver.start()
    from gullyoke.daemon.serve import serve

    sys.exit(serve(receiver))

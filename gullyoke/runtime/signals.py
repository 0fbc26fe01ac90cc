"""The signals that a server takes, and when.

Its main thread alone, one after the other, once it is up.
"""

import signal

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


def block_signals() -> None:
    """Keep the signals that come from now on until `House.run` asks for them.

    Called before anything else: a signal that comes while the server is being put together must
    neither end it nor be lost, and each thread inherits the mask, so that none is handed to a
    thread that does not look for it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)

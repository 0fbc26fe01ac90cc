"""The signals that a server handles, by its main thread alone and once it is up."""

from __future__ import annotations

import signal
from typing import Final

HANDLED: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


def block_signals() -> None:
    """Block the handled signals until the server's main loop waits for them.

    Called before anything else. A signal that comes while the server starts must neither end it
    nor be lost, and every thread inherits the mask, so that none is delivered to a thread that
    does not wait for it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)

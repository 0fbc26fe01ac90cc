"""The signals that the server handles; `SignalReceiver` receives them."""

from __future__ import annotations

import signal
from typing import Final

HANDLED: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


def block_signals() -> None:
    """Block the handled signals, which then stay pending until a thread waits for them.

    Called before anything else. A signal that arrives during the start must neither end the server
    nor be lost. Every thread inherits the mask, so no signal is delivered to a thread that does
    not wait for signals.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)

"""One server from its start to its exit code, for the lean start and for the command line."""
from __future__ import annotations

import logging
import os
import signal
import sys

from gullyoke.daemon.house import SIGNALS, Extra, House
from gullyoke.daemon.options import told
from gullyoke.options import Misstated


def serve(extra: Extra | None = None, apart: bool = False, form: logging.Formatter | None = None) -> int:
    """Serve until the notice to leave; 2 where what it is told can't be. `apart`: no engine is needed; `form`
    is the log's, where it is not key=value lines."""
    # Before any thread is there: each inherits it, and `House.run` alone takes the signals. Guards against a
    # signal that is handed to another thread and never wakes the main one, or that comes before its time.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        house = House(told(os.environ, apart), extra, form)
    except (Misstated, OSError) as fault:
        print(f"gullyoke: {fault}", file=sys.stderr)
        return 2
    return house.run()

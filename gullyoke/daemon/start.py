"""One server from its start to its exit code, for the lean start and for the command line."""

from __future__ import annotations

import logging
import os
import sys

from gullyoke.core import signals
from gullyoke.daemon.house import Extra, House
from gullyoke.daemon.options import told
from gullyoke.options import Misstated


def serve(
    extra: Extra | None = None, apart: bool = False, form: logging.Formatter | None = None
) -> int:
    """Serve until the notice to leave; 2 where what it is told can't be.

    `apart`: no engine is needed; `form` is the log's, where it is not key=value lines.
    """
    signals.hold()  # where the command line has not
    try:
        house = House(told(os.environ, apart), extra, form)
    except (Misstated, OSError) as fault:
        print(f"gullyoke: {fault}", file=sys.stderr)
        return 2
    return house.run()

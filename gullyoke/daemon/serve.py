"""One server from its start to its exit code, for the lean start and for the command line."""

from __future__ import annotations

import logging
import os
import sys

from gullyoke.daemon.configuration import load_configuration
from gullyoke.daemon.daemon import Daemon, Extra
from gullyoke.runtime import signals
from gullyoke.settings.site_settings import ConfigurationError


def serve(
    extra: Extra | None = None, apart: bool = False, form: logging.Formatter | None = None
) -> int:
    """Serve until the notice to leave; 2 where what it is told can't be.

    `apart`: no engine is needed; `form` is the log's, where it is not key=value lines.
    """
    signals.hold()  # where the command line has not
    try:
        daemon = Daemon(load_configuration(os.environ, apart), extra, form)
    except (ConfigurationError, OSError) as fault:
        print(f"gullyoke: {fault}", file=sys.stderr)
        return 2
    return daemon.run()

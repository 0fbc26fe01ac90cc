"""Runs a daemon and returns its exit code, for `python -m gullyoke` and for the command line."""

from __future__ import annotations

import logging
import os
import sys
from typing import Final

from gullyoke.daemon.composition import build_daemon
from gullyoke.daemon.configuration import load_configuration
from gullyoke.daemon.extension import OperatorConfiguration
from gullyoke.errors import ConfigurationError
from gullyoke.runtime.signal_receiver import SignalReceiver

EXIT_INVALID_CONFIGURATION: Final = 2


def serve(
    signal_receiver: SignalReceiver,
    operator_file: OperatorConfiguration | None = None,
    engine_optional: bool = False,
    log_formatter: logging.Formatter | None = None,
) -> int:
    """Serve until the stop signal and the end of the drain.

    Args:
        signal_receiver: receives the signals; started before the modules of the daemon are
            imported.
        operator_file: the operator's file; None for none.
        engine_optional: whether back ends of the operator's file run the requests.
        log_formatter: formats the lines of the log; None for key=value lines.

    Returns:
        The exit code: 0, or 2 if the configuration is missing or invalid.
    """
    try:
        configuration = load_configuration(os.environ, engine_optional)
        daemon = build_daemon(configuration, signal_receiver, operator_file, log_formatter)
    except (ConfigurationError, OSError) as error:
        print(f"gullyoke: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    return daemon.run()

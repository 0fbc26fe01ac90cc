"""`gullyoke`: the command and its sub-commands.

Exit codes: 0 success, 2 invalid input.
"""

from __future__ import annotations

import os
import sys

import click

from gullyoke import __version__
from gullyoke.cli.first import try_
from gullyoke.cli.fleet import fleet
from gullyoke.cli.lab import lab
from gullyoke.cli.say import exit_with_faults
from gullyoke.cli.store import store
from gullyoke.runtime.signal_receiver import SignalReceiver

FILE = click.Path(exists=True, dir_okay=False, readable=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Admission control and scheduling for servers behind load balancers.

    \b
    Examples:
      gullyoke check deploy/scgi.textproto
      gullyoke serve --config config.json --operator deploy/scgi.textproto
    """


@main.command()
@click.option(
    "--config", type=FILE, help="The daemon's configuration file; NODE_CONFIG if not given."
)
@click.option(
    "--operator", type=FILE, help="The operator's file: listeners, back ends, the log format."
)
def serve(config: str | None, operator: str | None) -> None:
    """Run one server in the foreground until SIGTERM.

    Without --operator it is the same as `python -m gullyoke`. SIGHUP reads both files again, SIGUSR1 prints the
    counters, SIGTERM begins the drain.

    \b
    Examples:
      gullyoke serve --config config.json
      NODE_CONFIG=config.json gullyoke serve --operator deploy/scgi.textproto
    """
    receiver = SignalReceiver()
    receiver.start()
    from gullyoke.daemon.serve import serve as run

    if config:
        os.environ["NODE_CONFIG"] = config
    if operator is None:
        sys.exit(run(receiver))
    from gullyoke.extensions.operator_file import OperatorFile
    from gullyoke.operator_config.wanted import OperatorFileError

    try:
        operator_file = OperatorFile(operator)
    except OperatorFileError as file_error:
        exit_with_faults(file_error.faults)
    log_formatter = None
    if operator_file.wanted.json_log:
        from gullyoke.extensions.json_log import JsonLogFormatter

        log_formatter = JsonLogFormatter()
    sys.exit(run(receiver, operator_file, operator_file.replaces_engine(), log_formatter))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check an operator's FILE against its schema. Exit codes: 0 valid, 2 invalid, with a line for each fault.

    \b
    Example:
      gullyoke check deploy/scgi.textproto
    """
    from gullyoke.operator_config.read import read
    from gullyoke.operator_config.wanted import OperatorFileError

    try:
        settings = read(file)
    except OperatorFileError as file_error:
        exit_with_faults(file_error.faults)
    pool_note = f"{len(settings.pool.back_ends)} back ends" if settings.pool else "the engine"
    fleet_note = (
        f", in the fleet {settings.fleet.name} by {len(settings.fleet.seeds)} seeds"
        if settings.fleet
        else ""
    )
    click.echo(
        f"{file}: right; {len(settings.ways)} further listeners, work at {pool_note}{fleet_note}"
    )


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"gullyoke {__version__}")


main.add_command(lab)
main.add_command(try_)
main.add_command(store)
main.add_command(fleet)

"""Error output of the commands."""

from __future__ import annotations

import sys
from typing import NoReturn

import click


def exit_with_faults(faults: list[str]) -> NoReturn:
    """Print each fault on a line of standard error, and exit with code 2."""
    for line in faults:
        click.echo(line, err=True)
    sys.exit(2)

"""What the commands say of what can't be right."""

from __future__ import annotations

import sys
from typing import NoReturn

import click


def refuse(faults: list[str]) -> NoReturn:
    """Each on a line of standard error, and exit code 2."""
    for line in faults:
        click.echo(line, err=True)
    sys.exit(2)

"""`gullyoke store`: inspect and compact a store's folder while no daemon writes to it."""

from __future__ import annotations

import json
import sys

import click

from gullyoke.cli.say import refuse

FOLDER = click.Path(exists=True, file_okay=False)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")


@click.group()
def store() -> None:
    """Inspect and compact a store's folder. Exit codes: 0 success, 1 data was dropped or a write failed, 2 it can't
    be read.

    \b
    Examples:
      gullyoke store check /var/lib/gullyoke
      gullyoke store dump /var/lib/gullyoke --json
    """


def opened(folder: str):
    """Open the store of a folder, with the lock of a writer."""
    from gullyoke.storage import StorageFolder, Store

    try:
        disk = StorageFolder(folder)
        click.get_current_context().call_on_close(disk.close)
        return Store(disk)
    except BlockingIOError:
        refuse([f"{folder}: another process has it; right would be to stop that first"])
    except OSError as error:
        refuse([f"{folder}: can't be read: {error}"])


def told(found: dict, as_json: bool) -> None:
    """Print an answer as JSON or as lines."""
    click.echo(
        json.dumps(found)
        if as_json
        else "\n".join(f"{key} {value}" for key, value in found.items())
    )


@store.command()
@click.argument("folder", type=FOLDER)
@AS_JSON
def check(folder: str, as_json: bool) -> None:
    """Read every record. Exit code 1 if bytes were dropped that are no whole record."""
    found = opened(folder)
    count = sum(1 for _ in found.items())
    told(
        {
            "keys": count,
            "segments": len(found.plan.segments),
            "bytes": found.plan.total_bytes(),
            "live_bytes": found.plan.live_bytes(),
            "dropped_bytes": found.dropped_bytes,
        },
        as_json,
    )
    sys.exit(1 if found.dropped_bytes else 0)


@store.command("list")
@click.argument("folder", type=FOLDER)
@AS_JSON
def list_(folder: str, as_json: bool) -> None:
    """List the keys, with the size of each record."""
    found = opened(folder)
    told({key: found.plan.index[key].size_bytes for key in sorted(found.keys())}, as_json)


@store.command()
@click.argument("folder", type=FOLDER)
@AS_JSON
def dump(folder: str, as_json: bool) -> None:
    """Print the keys and their values, as hex digits."""
    told({key: value.hex() for key, value in sorted(opened(folder).items())}, as_json)


@store.command()
@click.argument("folder", type=FOLDER)
@AS_JSON
def compact(folder: str, as_json: bool) -> None:
    """Copy the live records out of every old segment, and remove the segment."""
    from rich.progress import Progress

    found = opened(folder)
    found.plan.max_dead_share = 0.0
    before = found.plan.total_bytes()
    with Progress(disable=as_json or not sys.stderr.isatty()) as progress:
        task = progress.add_task("segments", total=len(found.plan.segments))
        while found.compact():
            progress.advance(task)
    told(
        {
            "segments_removed": found.compacted_segments,
            "bytes_before": before,
            "bytes": found.plan.total_bytes(),
            "faults": found.faults,
        },
        as_json,
    )
    sys.exit(1 if found.faults else 0)

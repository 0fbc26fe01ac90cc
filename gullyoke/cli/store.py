"""`gullyoke store`: inspect and compact a store's folder while no daemon writes to it."""

from __future__ import annotations

import json
import sys

import click

from gullyoke.cli.say import exit_with_faults

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


def open_store(folder: str):
    """Open the store in a folder under its writer lock; exit if that fails."""
    from gullyoke.storage import StorageFolder, Store

    try:
        storage_folder = StorageFolder(folder)
        click.get_current_context().call_on_close(storage_folder.close)
        return Store(storage_folder)
    except BlockingIOError:
        exit_with_faults([f"{folder}: another process has it; right would be to stop that first"])
    except OSError as error:
        exit_with_faults([f"{folder}: can't be read: {error}"])


def print_answer(answer: dict, as_json: bool) -> None:
    """Print an answer as JSON or as lines."""
    click.echo(
        json.dumps(answer)
        if as_json
        else "\n".join(f"{key} {value}" for key, value in answer.items())
    )


@store.command()
@click.argument("folder", type=FOLDER)
@AS_JSON
def check(folder: str, as_json: bool) -> None:
    """Read every record. Exit code 1 if bytes that are not a whole record were dropped."""
    opened_store = open_store(folder)
    count = sum(1 for _ in opened_store.items())
    print_answer(
        {
            "keys": count,
            "segments": len(opened_store.plan.segments),
            "bytes": opened_store.plan.total_bytes(),
            "live_bytes": opened_store.plan.live_bytes(),
            "dropped_bytes": opened_store.dropped_bytes,
        },
        as_json,
    )
    sys.exit(1 if opened_store.dropped_bytes else 0)


@store.command("list")
@click.argument("folder", type=FOLDER)
@AS_JSON
def list_(folder: str, as_json: bool) -> None:
    """List the keys, with the size of each record."""
    opened_store = open_store(folder)
    print_answer(
        {key: opened_store.plan.index[key].size_bytes for key in sorted(opened_store.keys())},
        as_json,
    )


@store.command()
@click.argument("folder", type=FOLDER)
@AS_JSON
def dump(folder: str, as_json: bool) -> None:
    """Print the keys and their values, as hex digits."""
    print_answer({key: value.hex() for key, value in sorted(open_store(folder).items())}, as_json)


@store.command()
@click.argument("folder", type=FOLDER)
@AS_JSON
def compact(folder: str, as_json: bool) -> None:
    """Copy the live records out of every old segment, and remove the segment."""
    from rich.progress import Progress

    opened_store = open_store(folder)
    opened_store.plan.max_dead_share = 0.0
    bytes_before = opened_store.plan.total_bytes()
    with Progress(disable=as_json or not sys.stderr.isatty()) as progress:
        task = progress.add_task("segments", total=len(opened_store.plan.segments))
        while opened_store.compact():
            progress.advance(task)
    print_answer(
        {
            "segments_removed": opened_store.compacted_segments,
            "bytes_before": bytes_before,
            "bytes": opened_store.plan.total_bytes(),
            "faults": opened_store.faults,
        },
        as_json,
    )
    sys.exit(1 if opened_store.faults else 0)

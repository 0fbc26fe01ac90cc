"""`gullyoke fleet`: the fleet as one server sees it, its keys, its leases, and fault testing."""

from __future__ import annotations

import json
import secrets
import socket
import sys
import time

import click

from gullyoke.cli.say import refuse

AT = click.option(
    "--at",
    default="127.0.0.1:7990",
    show_default=True,
    metavar="ADDRESS",
    help="`fleet.status` of the server's operator's file.",
)
AS_JSON = click.option(
    "--json", "as_json", is_flag=True, help="One JSON object instead of a table."
)


@click.group()
def fleet() -> None:
    """Show the fleet as a running server sees it. Exit codes: 0 all members are alive, 1 not all, 2 no answer.

    \b
    Examples:
      gullyoke fleet status --at 127.0.0.1:7990
      gullyoke fleet events --json
      gullyoke fleet key > /etc/gullyoke/fleet.key
    """


def asked(at: str, what: str) -> dict:
    """Send a command to the status server at an address, and return its answer."""
    host, _, port = at.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), 3) as conn:
            conn.sendall(f"{what}\n".encode())
            with conn.makefile("rb") as file:
                return json.loads(file.read())
    except (OSError, ValueError) as error:
        refuse(
            [f"{at}: no answer: {error}; right would be `fleet.status` of a running server's file"]
        )


@fleet.command()
@AT
@AS_JSON
@click.option("--watch", is_flag=True, help="Repeat every second, until interrupted.")
def status(at: str, as_json: bool, watch: bool) -> None:
    """Show the members and their states.

    \b
    Example:
      gullyoke fleet status --watch
    """
    while True:
        answer = asked(at, "status")
        click.echo(json.dumps(answer) if as_json else told(answer))
        if not watch:
            sys.exit(
                0 if all(row["state"] in ("alive", "joining") for row in answer["rows"]) else 1
            )
        time.sleep(1)


def told(found: dict) -> str:
    """Return a status answer as text: a line about the fleet, then a line for each member."""
    lines = [
        f"{found['name']} is {found['stage']}; {found['members']} members, {found['seen']} seen, "
        f"confidence {found['confidence']:.2f}; view {found['view']} {found['digest']}"
    ]
    for row in found["rows"]:
        trip = "-" if row["round_trip_ms"] is None else f"{row['round_trip_ms']:.2f}"
        lines.append(
            f"{row['name']:20} {row['state']:12} {row['zone']:12} {row['address']:22} "
            f"start {row['start']} refuted {row['refuted']} accused by {row['accused_by']} "
            f"round trip {trip} ms"
            + (
                ""
                if row.get("room") is None
                else f" room {row['room']:.2f} sheds {row['shed']:.2f} pace {row['pace']:.1f}"
            )
        )
    lines += [
        f"the disk of {folder} is {state}"
        for folder, state in sorted(found.get("disks", {}).items())
        if state != "well"
    ]
    lines += [
        f"quota of {name}: {quota['reqs_a_second']:g} reqs a second here, "
        f"{quota['refused']} times short"
        for name, quota in sorted(found.get("quotas", {}).items())
    ]
    return "\n".join(lines)


@fleet.command()
@AT
@AS_JSON
def events(at: str, as_json: bool) -> None:
    """Show the last changes of the membership, with their evidence.

    \b
    Example:
      gullyoke fleet events --at 127.0.0.1:7990
    """
    answer = asked(at, "events")
    if as_json:
        click.echo(json.dumps(answer))
        return
    for event in answer["events"]:
        click.echo(
            f"{event['ago_ms'] / 1000:9.1f} s ago  view {event['view']:<6} {event['name']} "
            f"{event['what']} ({event['status']}) by {event['by']}: {event['evidence']}"
        )


@fleet.command()
def key() -> None:
    """Print a new key for a fleet's key file.

    \b
    Example:
      gullyoke fleet key > /etc/gullyoke/fleet.key
    """
    click.echo(secrets.token_hex(32))


@fleet.command()
@click.argument("script", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--keep",
    type=click.Path(file_okay=False),
    help="Write the time line and its chart to this folder.",
)
@AS_JSON
def play(script: str, keep: str | None, as_json: bool) -> None:
    """Play a SCRIPT of faults on a fleet of processes on loopback, under a load of requests.

    Exit codes: 0 all checks hold, 1 not all, 2 the script is invalid or the fleet did not start.

    \b
    Example:
      gullyoke fleet play deploy/faults.play --keep plays/first
    """
    import pathlib

    from gullyoke.fault_testing.play import Play
    from gullyoke.fault_testing.script import ScriptError, read

    say = (lambda text: None) if as_json else click.echo
    try:
        found = read(pathlib.Path(script).read_text(encoding="utf-8"))
        verdict = Play(found, say).run()
    except (ScriptError, ChildProcessError, UnicodeDecodeError) as error:
        refuse([f"{script}: {error}"])
    if keep:
        from gullyoke.fault_testing.report import write

        for path in write(verdict, found, pathlib.Path(keep)):
            say(f"kept {path}")
    if as_json:
        click.echo(
            json.dumps(
                {
                    "good": verdict.good(),
                    "reqs": verdict.requests,
                    "cpu_share": verdict.cpu_share,
                    "resident_mb": verdict.resident_mb,
                    "held": [check._asdict() for check in verdict.held],
                }
            )
        )
    else:
        click.echo(
            "\n".join(verdict.lines())
            + f"; a member takes {verdict.cpu_share:.1%} of a core at the most"
        )
    sys.exit(0 if verdict.good() else 1)


# Leases.


@fleet.command()
@AT
@AS_JSON
def duties(at: str, as_json: bool) -> None:
    """Show the holder and the epoch of each lease, and how this server votes. Exit codes: 0 all leases are
    held, 1 not all, 2 no answer.

    \b
    Example:
      gullyoke fleet duties --at 127.0.0.1:7990
    """
    found = said(asked(at, "duties"))
    if as_json:
        click.echo(json.dumps(found))
    else:
        for name, one in found["duties"].items():
            click.echo(
                f"{name:12} {one['holder'] or 'nobody':20} epoch {one['epoch']:<6} here {one['state']}"
                + (f", {one['left_ms']} ms left" if one["left_ms"] else "")
            )
        votes = found["votes"]
        if votes is not None:
            click.echo(
                f"votes in set {votes['set']}: {'yes' if votes['speaks'] else 'not now'}"
                + (", has lost its promises" if votes["fresh"] else "")
                + ("" if votes["disk_well"] else ", its disk fails")
            )
        for turn in found["turns"][-8:]:
            click.echo(
                f"{turn['ago_ms'] / 1000:9.1f} s ago  {turn['what']} epoch {turn['epoch']}: "
                f"{turn['why']}"
            )
    sys.exit(0 if all(one["holder"] for one in found["duties"].values()) else 1)


def said(found: dict) -> dict:
    """Return an answer; exit if it is an error."""
    if "fault" in found:
        refuse([found["fault"]])
    return found


@fleet.command("hand-over")
@AT
@click.argument("duty")
@click.option("--to", default="", help="The member to hold it; the best candidate if not given.")
def hand_over(at: str, duty: str, to: str) -> None:
    """Hand the lease DUTY over from its holder to another member, without a gap.

    \b
    Example:
      gullyoke fleet hand-over roll --to n3
    """
    found = said(asked(at, f"hand-over {duty} {to}".strip()))
    click.echo(
        f"{duty}: "
        + (
            f"asked of its holder {found['sent_to']}"
            if "sent_to" in found
            else f"handed to {found['to']}"
        )
    )


@fleet.group()
def roll() -> None:
    """Control a rolling restart: the holder of the lease `roll` drains the servers by turns, and a supervisor
    has to start them again.

    \b
    Examples:
      gullyoke fleet roll start --at-once 0.1
      gullyoke fleet roll status --watch
    """


@roll.command()
@AT
@click.option(
    "--at-once",
    type=click.FloatRange(0.001, 1),
    default=0.1,
    show_default=True,
    help="The share of the fleet that may be away at the same time; at least one member.",
)
@click.option(
    "--a-zone",
    type=click.FloatRange(0.001, 1),
    default=0.5,
    show_default=True,
    help="The share of a zone that may be away at the same time.",
)
def start(at: str, at_once: float, a_zone: float) -> None:
    """Restart all present members, by turns.

    \b
    Example:
      gullyoke fleet roll start --at-once 0.05 --a-zone 0.25
    """
    ordered(at, f"start {at_once:g} {a_zone:g}")


@roll.command()
@AT
def pause(at: str) -> None:
    """Drain no further members until resumed.

    \b
    Example:
      gullyoke fleet roll pause
    """
    ordered(at, "pause")


@roll.command()
@AT
def resume(at: str) -> None:
    """Continue a rolling restart that is paused or has stopped by itself.

    \b
    Example:
      gullyoke fleet roll resume
    """
    ordered(at, "resume")


@roll.command()
@AT
def cancel(at: str) -> None:
    """End the rolling restart; members that are away come back by themselves.

    \b
    Example:
      gullyoke fleet roll cancel
    """
    ordered(at, "cancel")


def ordered(at: str, what: str) -> None:
    """Send a rolling restart command, and print the answer."""
    found = said(asked(at, f"roll {what}"))
    click.echo(
        f"roll {what}: "
        + (
            f"asked of its conductor {found['sent_to']}"
            if "sent_to" in found
            else found["plan"]["state"]
        )
    )


@roll.command("status")
@AT
@AS_JSON
@click.option("--watch", is_flag=True, help="Show a progress bar until it is over.")
def roll_status(at: str, as_json: bool, watch: bool) -> None:
    """Show the progress. Exit codes: 0 none is going, or done; 1 going; 2 no answer; 3 stopped or paused.

    \b
    Example:
      gullyoke fleet roll status --watch
    """
    found = said(asked(at, "roll status"))
    if watch and not as_json:
        found = watched(at, found)
    click.echo(
        json.dumps(found)
        if as_json
        else f"roll {found['number']} {found['state']}: {len(found['left'])} of {found['members']} left"
        + "".join(f", {name} is away" for name, *_ in found["doing"])
        + (f" ({found['why']})" if found["why"] else "")
    )
    sys.exit({"going": 1, "paused": 3, "stopped": 3}.get(found["state"], 0))


def watched(at: str, found: dict) -> dict:
    """Show a progress bar until the rolling restart is over; return the last answer."""
    with click.progressbar(length=found["members"], label="restarted") as bar:
        while found["state"] == "going":
            bar.update(max(0, found["members"] - len(found["left"]) - bar.pos))
            time.sleep(1)
            found = said(asked(at, "roll status"))
        bar.update(max(0, found["members"] - len(found["left"]) - bar.pos))
    return found


@fleet.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.option("--name", required=True, help="The voter's name.")
@click.option(
    "--set",
    "number",
    type=click.IntRange(1, 1_000_000),
    required=True,
    help="The number of the new voter set; the same on all voters that are left.",
)
@click.option(
    "--yes-a-majority-is-lost",
    "first",
    is_flag=True,
    help="Confirm that a majority of the voters can't come back.",
)
@click.option(
    "--yes-two-may-act",
    "second",
    is_flag=True,
    help="Confirm that what they had promised is not known.",
)
def reform(folder: str, name: str, number: int, first: bool, second: bool) -> None:
    """Move a stopped voter to a new voter set, after a majority of the voters was lost for good.

    This may break guarantees: a server that got a lease from the lost voters may act until that lease ends, and
    what such a majority had stored (a rolling restart that is going) is lost. Epochs are raised by a million, so
    that whatever compares them refuses the old ones. Run it on every voter that is left, stop all others for
    good, wait a minute, and start them with the new set in their files.

    \b
    Example:
      gullyoke fleet reform /var/lib/gullyoke --name n1 --set 9 --yes-a-majority-is-lost --yes-two-may-act
    """
    if not (first and second):
        refuse(
            [
                "both --yes-a-majority-is-lost and --yes-two-may-act are needed; --help says what may break"
            ]
        )
    import os

    from gullyoke.extensions.duties import FOLDER_NAME, OWNER_KEY
    from gullyoke.leases.promises import Promise
    from gullyoke.peer_transport.lease_codec import decode_voter_entries, encode_promise
    from gullyoke.storage import SlotFile, StorageFolder

    files = StorageFolder(os.path.join(folder, FOLDER_NAME))
    try:
        store = SlotFile(files)
        promised, _ = decode_voter_entries(
            (key, value) for key, value in store.items() if key != OWNER_KEY
        )
        raised = {duty: Promise(row.epoch + 1_000_000, 0, "") for duty, row in promised.items()}
        store.put(
            [
                (OWNER_KEY, f"{name} {number}".encode()),
                *((f"promise {duty}", encode_promise(row)) for duty, row in raised.items()),
            ]
        )
    except OSError as error:
        refuse([f"{folder}: {error}"])
    finally:
        files.close()
    click.echo(f"{name} votes in set {number}; {len(promised)} epochs went up by a million")

"""`gullyoke fleet`: the fleet as one server sees it, its keys, its leases, and fault testing."""

from __future__ import annotations

import json
import secrets
import socket
import sys
import time

import click

from gullyoke.cli.say import exit_with_faults

AT = click.option(
    "--at",
    default="127.0.0.1:7990",
    show_default=True,
    metavar="ADDRESS",
    help="Address of the server's status listener: `fleet.status` in its operator's file.",
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


def send_command(at: str, command: str) -> dict:
    """Send a command to the status server at an address, and return its answer."""
    host, _, port = at.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), 3) as conn:
            conn.sendall(f"{command}\n".encode())
            with conn.makefile("rb") as file:
                return json.loads(file.read())
    except (OSError, ValueError) as error:
        exit_with_faults(
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
        answer = send_command(at, "status")
        click.echo(json.dumps(answer) if as_json else format_status(answer))
        if not watch:
            sys.exit(
                0 if all(row["state"] in ("alive", "joining") for row in answer["rows"]) else 1
            )
        time.sleep(1)


def format_status(answer: dict) -> str:
    """Return a status answer as text: a line about the fleet, then a line for each member."""
    lines = [
        f"{answer['name']} is {answer['stage']}; {answer['members']} members, {answer['seen']} seen, "
        f"confidence {answer['confidence']:.2f}; view {answer['view']} {answer['digest']}"
    ]
    for row in answer["rows"]:
        round_trip = "-" if row["round_trip_ms"] is None else f"{row['round_trip_ms']:.2f}"
        lines.append(
            f"{row['name']:20} {row['state']:12} {row['zone']:12} {row['address']:22} "
            f"start {row['start']} refuted {row['refuted']} accused by {row['accused_by']} "
            f"round trip {round_trip} ms"
            + (
                ""
                if row.get("room") is None
                else f" room {row['room']:.2f} sheds {row['shed']:.2f} pace {row['pace']:.1f}"
            )
        )
    lines += [
        f"the disk of {folder} is {state}"
        for folder, state in sorted(answer.get("disks", {}).items())
        if state != "well"
    ]
    lines += [
        f"quota of {name}: {quota['reqs_a_second']:g} reqs a second here, "
        f"{quota['refused']} times short"
        for name, quota in sorted(answer.get("quotas", {}).items())
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
    answer = send_command(at, "events")
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
    help="Write the timeline and its chart to this folder.",
)
@AS_JSON
def play(script: str, keep: str | None, as_json: bool) -> None:
    """Run a fault injection SCRIPT on a fleet of processes on loopback, under a load of requests.

    Exit codes: 0 all checks hold, 1 not all, 2 the script is invalid or the fleet did not start.

    \b
    Example:
      gullyoke fleet play deploy/faults.play --keep plays/first
    """
    import pathlib

    from gullyoke.fault_testing.play import Play
    from gullyoke.fault_testing.script import ScriptError, read

    print_line = (lambda text: None) if as_json else click.echo
    try:
        parsed = read(pathlib.Path(script).read_text(encoding="utf-8"))
        verdict = Play(parsed, print_line).run()
    except (ScriptError, ChildProcessError, UnicodeDecodeError) as error:
        exit_with_faults([f"{script}: {error}"])
    if keep:
        from gullyoke.fault_testing.report import write

        for path in write(verdict, parsed, pathlib.Path(keep)):
            print_line(f"kept {path}")
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
    answer = exit_on_fault(send_command(at, "duties"))
    if as_json:
        click.echo(json.dumps(answer))
    else:
        for name, lease in answer["duties"].items():
            click.echo(
                f"{name:12} {lease['holder'] or 'nobody':20} epoch {lease['epoch']:<6} here {lease['state']}"
                + (f", {lease['left_ms']} ms left" if lease["left_ms"] else "")
            )
        votes = answer["votes"]
        if votes is not None:
            click.echo(
                f"votes in set {votes['set']}: {'yes' if votes['speaks'] else 'not now'}"
                + (", has lost its promises" if votes["fresh"] else "")
                + ("" if votes["disk_well"] else ", its disk fails")
            )
        for change in answer["turns"][-8:]:
            click.echo(
                f"{change['ago_ms'] / 1000:9.1f} s ago  {change['what']} epoch {change['epoch']}: "
                f"{change['why']}"
            )
    sys.exit(0 if all(lease["holder"] for lease in answer["duties"].values()) else 1)


def exit_on_fault(answer: dict) -> dict:
    """Return an answer unchanged; exit with code 2 if it reports a fault."""
    if "fault" in answer:
        exit_with_faults([answer["fault"]])
    return answer


@fleet.command("hand-over")
@AT
@click.argument("duty")
@click.option(
    "--to", default="", help="The member to hand the lease to; the best candidate if not given."
)
def hand_over(at: str, duty: str, to: str) -> None:
    """Hand the lease DUTY over from its holder to another member, without a gap.

    \b
    Example:
      gullyoke fleet hand-over roll --to n3
    """
    answer = exit_on_fault(send_command(at, f"hand-over {duty} {to}".strip()))
    click.echo(
        f"{duty}: "
        + (
            f"asked of its holder {answer['sent_to']}"
            if "sent_to" in answer
            else f"handed to {answer['to']}"
        )
    )


@fleet.group()
def roll() -> None:
    """Control a rolling restart: the holder of the lease `roll` drains a few servers at a time, and a
    supervisor has to start them again.

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
    help="The share of the fleet that may be restarting at the same time; at least one member.",
)
@click.option(
    "--a-zone",
    type=click.FloatRange(0.001, 1),
    default=0.5,
    show_default=True,
    help="The share of a zone that may be restarting at the same time.",
)
def start(at: str, at_once: float, a_zone: float) -> None:
    """Restart all present members, a few at a time.

    \b
    Example:
      gullyoke fleet roll start --at-once 0.05 --a-zone 0.25
    """
    send_roll_command(at, f"start {at_once:g} {a_zone:g}")


@roll.command()
@AT
def pause(at: str) -> None:
    """Drain no further members until resumed.

    \b
    Example:
      gullyoke fleet roll pause
    """
    send_roll_command(at, "pause")


@roll.command()
@AT
def resume(at: str) -> None:
    """Continue a rolling restart that is paused or has stopped by itself.

    \b
    Example:
      gullyoke fleet roll resume
    """
    send_roll_command(at, "resume")


@roll.command()
@AT
def cancel(at: str) -> None:
    """End the rolling restart; members that are already draining still restart.

    \b
    Example:
      gullyoke fleet roll cancel
    """
    send_roll_command(at, "cancel")


def send_roll_command(at: str, command: str) -> None:
    """Send a rolling restart command, and print the answer."""
    answer = exit_on_fault(send_command(at, f"roll {command}"))
    click.echo(
        f"roll {command}: "
        + (
            f"asked of its conductor {answer['sent_to']}"
            if "sent_to" in answer
            else answer["plan"]["state"]
        )
    )


@roll.command("status")
@AT
@AS_JSON
@click.option("--watch", is_flag=True, help="Show a progress bar until the restart is over.")
def roll_status(at: str, as_json: bool, watch: bool) -> None:
    """Show the progress. Exit codes: 0 no restart is unfinished, 1 one is going, 2 no answer, 3 it
    has stopped or is paused.

    \b
    Example:
      gullyoke fleet roll status --watch
    """
    answer = exit_on_fault(send_command(at, "roll status"))
    if watch and not as_json:
        answer = show_progress(at, answer)
    click.echo(
        json.dumps(answer)
        if as_json
        else f"roll {answer['number']} {answer['state']}: {len(answer['left'])} of {answer['members']} left"
        + "".join(f", {name} is away" for name, *_ in answer["doing"])
        + (f" ({answer['why']})" if answer["why"] else "")
    )
    sys.exit({"going": 1, "paused": 3, "stopped": 3}.get(answer["state"], 0))


def show_progress(at: str, answer: dict) -> dict:
    """Show a progress bar until the rolling restart is no longer going; return the last status."""
    with click.progressbar(length=answer["members"], label="restarted") as bar:
        while answer["state"] == "going":
            bar.update(max(0, answer["members"] - len(answer["left"]) - bar.pos))
            time.sleep(1)
            answer = exit_on_fault(send_command(at, "roll status"))
        bar.update(max(0, answer["members"] - len(answer["left"]) - bar.pos))
    return answer


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
    help="Confirm that the promises of the lost voters are not known.",
)
def reform(folder: str, name: str, number: int, first: bool, second: bool) -> None:
    """Move a stopped voter to a new voter set, after a majority of the voters was lost for good.

    This may break guarantees: a server that got a lease from the lost voters may act until that lease ends, and
    data that only the lost majority had stored (such as a rolling restart that is going) is lost. Epochs are
    raised by a million, so that every check of a fencing token rejects the old ones. Run it on every voter that
    is left, stop all others for good, wait a minute, and start them with the new set in their files.

    \b
    Example:
      gullyoke fleet reform /var/lib/gullyoke --name n1 --set 9 --yes-a-majority-is-lost --yes-two-may-act
    """
    if not (first and second):
        exit_with_faults(
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
        promises, _ = decode_voter_entries(
            (key, value) for key, value in store.items() if key != OWNER_KEY
        )
        raised_promises = {
            duty: Promise(row.epoch + 1_000_000, 0, "") for duty, row in promises.items()
        }
        store.put(
            [
                (OWNER_KEY, f"{name} {number}".encode()),
                *(
                    (f"promise {duty}", encode_promise(row))
                    for duty, row in raised_promises.items()
                ),
            ]
        )
    except OSError as error:
        exit_with_faults([f"{folder}: {error}"])
    finally:
        files.close()
    click.echo(f"{name} votes in set {number}; {len(promises)} epochs went up by a million")

"""`gullyoke fleet`: the fleet as one server sees it, its keys, and the rig that plays faults."""

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
    """The fleet as a running server sees it. Exit codes: 0 well, 1 not all members are alive, 2 no answer.

    \b
    Examples:
      gullyoke fleet status --at 127.0.0.1:7990
      gullyoke fleet events --json
      gullyoke fleet key > /etc/gullyoke/fleet.key
    """


def asked(at: str, what: str) -> dict:
    """What the server there says."""
    host, _, port = at.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), 3) as conn:
            conn.sendall(f"{what}\n".encode())
            with conn.makefile("rb") as file:
                return json.loads(file.read())
    except (OSError, ValueError) as fault:
        refuse(
            [f"{at}: no answer: {fault}; right would be `fleet.status` of a running server's file"]
        )


@fleet.command()
@AT
@AS_JSON
@click.option("--watch", is_flag=True, help="Again every second, until interrupted.")
def status(at: str, as_json: bool, watch: bool) -> None:
    """Who is there, and how they stand.

    \b
    Example:
      gullyoke fleet status --watch
    """
    while True:
        found = asked(at, "status")
        click.echo(json.dumps(found) if as_json else told(found))
        if not watch:
            sys.exit(0 if all(row["state"] in ("alive", "joining") for row in found["rows"]) else 1)
        time.sleep(1)


def told(found: dict) -> str:
    """As lines: the whole, then a line a member."""
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
        f"quota of {name}: {one['reqs_a_second']:g} reqs a second here, "
        f"{one['refused']} times short"
        for name, one in sorted(found.get("quotas", {}).items())
    ]
    return "\n".join(lines)


@fleet.command()
@AT
@AS_JSON
def events(at: str, as_json: bool) -> None:
    """The last changes of the view, with their evidence.

    \b
    Example:
      gullyoke fleet events --at 127.0.0.1:7990
    """
    found = asked(at, "events")
    if as_json:
        click.echo(json.dumps(found))
        return
    for e in found["events"]:
        click.echo(
            f"{e['ago_ms'] / 1000:9.1f} s ago  view {e['view']:<6} {e['name']} {e['what']} "
            f"({e['status']}) by {e['by']}: {e['evidence']}"
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
    "--keep", type=click.Path(file_okay=False), help="A folder for the time line and its chart."
)
@AS_JSON
def play(script: str, keep: str | None, as_json: bool) -> None:
    """Play a SCRIPT of faults on real processes on loopback, with gateways' load beside it.

    Exit codes: 0 all held, 1 something did not, 2 the script can't be right or the fleet did not come up.

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
    except (ScriptError, ChildProcessError, UnicodeDecodeError) as fault:
        refuse([f"{script}: {fault}"])
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
                    "held": [one._asdict() for one in verdict.held],
                }
            )
        )
    else:
        click.echo(
            "\n".join(verdict.lines())
            + f"; a member takes {verdict.cpu_share:.1%} of a core at the most"
        )
    sys.exit(0 if verdict.good() else 1)


# Duties of one.


@fleet.command()
@AT
@AS_JSON
def duties(at: str, as_json: bool) -> None:
    """Who holds which duty, by which epoch, and how this server votes. Exit codes: 0 all held, 1 not all, 2
    no answer.

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
    """What was answered, unless that is a fault."""
    if "fault" in found:
        refuse([found["fault"]])
    return found


@fleet.command("hand-over")
@AT
@click.argument("duty")
@click.option("--to", default="", help="The member to have it; the best placed if not given.")
def hand_over(at: str, duty: str, to: str) -> None:
    """Hand a DUTY over from its holder to another, without a gap.

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
    """A rolling restart, conducted by the holder of `roll`: whoever starts servers starts them again.

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
    help="The share of the fleet that may be away at once; one at the least.",
)
@click.option(
    "--a-zone",
    type=click.FloatRange(0.001, 1),
    default=0.5,
    show_default=True,
    help="The share of a zone.",
)
def start(at: str, at_once: float, a_zone: float) -> None:
    """Restart all who are there now, by turns.

    \b
    Example:
      gullyoke fleet roll start --at-once 0.05 --a-zone 0.25
    """
    ordered(at, f"start {at_once:g} {a_zone:g}")


@roll.command()
@AT
def pause(at: str) -> None:
    """Tell no more to go, until resumed.

    \b
    Example:
      gullyoke fleet roll pause
    """
    ordered(at, "pause")


@roll.command()
@AT
def resume(at: str) -> None:
    """Go on with one that is paused, or that stopped by itself.

    \b
    Example:
      gullyoke fleet roll resume
    """
    ordered(at, "resume")


@roll.command()
@AT
def cancel(at: str) -> None:
    """Tell no more to go, for good; who has gone comes back by itself.

    \b
    Example:
      gullyoke fleet roll cancel
    """
    ordered(at, "cancel")


def ordered(at: str, what: str) -> None:
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
@click.option("--watch", is_flag=True, help="With a bar, until it is over.")
def roll_status(at: str, as_json: bool, watch: bool) -> None:
    """How far it is. Exit codes: 0 none is going, or done; 1 going; 2 no answer; 3 stopped or paused.

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
    """A bar that follows until it is over."""
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
    help="The number of the set of voters from now on; the same on all that are left.",
)
@click.option(
    "--yes-a-majority-is-lost", "first", is_flag=True, help="That a majority can't come back."
)
@click.option(
    "--yes-two-may-act", "second", is_flag=True, help="That what they had promised is not known."
)
def reform(folder: str, name: str, number: int, first: bool, second: bool) -> None:
    """For voters of which a majority is lost for good: let this one vote in a new set, while it is stopped.

    What it may break: a server that was granted a duty by voters that are lost may act on until its lease is
    out, and what such a majority had kept (a roll that is going) is forgotten. Epochs go up by a million, so
    that whatever compares them refuses the old ones. Run it on every voter that is left, stop all others for
    good, wait a minute, and start them with the new set in their files.

    \b
    Example:
      gullyoke fleet reform /var/lib/gullyoke --name n1 --set 9 --yes-a-majority-is-lost --yes-two-may-act
    """
    if not (first and second):
        refuse(
            [
                "it asks twice: --yes-a-majority-is-lost and --yes-two-may-act; --help says what may break"
            ]
        )
    import os

    from gullyoke.extensions.duties import FOLDER, OURS
    from gullyoke.leases.promises import Promise
    from gullyoke.peer_transport.lease_codec import decode_voter_entries, encode_promise
    from gullyoke.storage import SlotFile, StorageFolder

    files = StorageFolder(os.path.join(folder, FOLDER))
    try:
        store = SlotFile(files)
        promised, _ = decode_voter_entries(
            (key, value) for key, value in store.items() if key != OURS
        )
        raised = {duty: Promise(row.epoch + 1_000_000, 0, "") for duty, row in promised.items()}
        store.put(
            [
                (OURS, f"{name} {number}".encode()),
                *((f"promise {duty}", encode_promise(row)) for duty, row in raised.items()),
            ]
        )
    except OSError as fault:
        refuse([f"{folder}: {fault}"])
    finally:
        files.close()
    click.echo(f"{name} votes in set {number}; {len(promised)} epochs went up by a million")

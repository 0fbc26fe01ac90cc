"""`gullyoke fleet`: the fleet as one server sees it, its keys, and the rig that plays faults."""
from __future__ import annotations

import json
import secrets
import socket
import sys
import time

import click

from gullyoke.cli.say import refuse

AT = click.option("--at", default="127.0.0.1:7990", show_default=True, metavar="ADDRESS",
                  help="`fleet.status` of the server's operator's file.")
AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")


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
        refuse([f"{at}: no answer: {fault}; right would be `fleet.status` of a running server's file"])


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
    lines = [f"{found['name']} is {found['stage']}; {found['members']} members, {found['seen']} seen, "
             f"confidence {found['confidence']:.2f}; view {found['view']} {found['digest']}"]
    for row in found["rows"]:
        trip = "-" if row["round_trip_ms"] is None else f"{row['round_trip_ms']:.2f}"
        lines.append(f"{row['name']:20} {row['state']:12} {row['zone']:12} {row['address']:22} "
                     f"start {row['start']} refuted {row['refuted']} accused by {row['accused_by']} "
                     f"round trip {trip} ms"
                     + ("" if row.get("room") is None else f" room {row['room']:.2f} sheds {row['shed']:.2f} "
                                                           f"pace {row['pace']:.1f}"))
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
        click.echo(f"{e['ago_ms'] / 1000:9.1f} s ago  view {e['view']:<6} {e['name']} {e['what']} "
                   f"({e['status']}) by {e['by']}: {e['evidence']}")


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
@click.option("--keep", type=click.Path(file_okay=False), help="A folder for the time line and its chart.")
@AS_JSON
def play(script: str, keep: str | None, as_json: bool) -> None:
    """Play a SCRIPT of faults on real processes on loopback, with gateways' load beside it.

    Exit codes: 0 all held, 1 something did not, 2 the script can't be right or the fleet did not come up.

    \b
    Example:
      gullyoke fleet play deploy/faults.play --keep plays/first
    """
    import pathlib

    from gullyoke.rig.play import Play
    from gullyoke.rig.script import Misplayed, read
    say = (lambda text: None) if as_json else click.echo
    try:
        found = read(pathlib.Path(script).read_text(encoding="utf-8"))
        verdict = Play(found, say).run()
    except (Misplayed, ChildProcessError, UnicodeDecodeError) as fault:
        refuse([f"{script}: {fault}"])
    if keep:
        from gullyoke.rig.report import write
        for path in write(verdict, found, pathlib.Path(keep)):
            say(f"kept {path}")
    if as_json:
        click.echo(json.dumps({"good": verdict.good(), "reqs": verdict.reqs, "cpu_share": verdict.cpu_share,
                               "resident_mb": verdict.resident_mb,
                               "held": [one._asdict() for one in verdict.held]}))
    else:
        click.echo("\n".join(verdict.lines())
                   + f"; a member takes {verdict.cpu_share:.1%} of a core at the most")
    sys.exit(0 if verdict.good() else 1)

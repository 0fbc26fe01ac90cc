"""`gullyoke try`: a demonstration of a real daemon under overload."""

from __future__ import annotations

import threading
import time

import click

from gullyoke.cli.say import exit_with_faults


@click.command("try")
@click.option("--seconds", type=click.IntRange(2, 300), default=20, show_default=True)
@click.option(
    "--load",
    type=click.FloatRange(0.1, 10),
    default=2.0,
    show_default=True,
    help="The offered load, as a multiple of the capacity.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--fleet",
    "members",
    type=click.IntRange(3, 12),
    metavar="N",
    help="Run a fleet of N servers instead; one is killed, and another is cut off from the rest.",
)
def try_(seconds: int, load: float, seed: int, members: int | None) -> None:
    """Start a real daemon on loopback with an emulated engine, database and name service, and overload
    it. Shows a live table, then a summary with the result of a simulated plain pool for comparison.

    \b
    Example:
      gullyoke try --load 5
      gullyoke try --fleet 5
    """
    if members is not None:
        run_fleet(members, seed)
        return
    from rich.console import Console
    from rich.live import Live

    from gullyoke.emulator.baselines import PlainPool
    from gullyoke.emulator.day import SECOND, Machines, Work, drawn
    from gullyoke.emulator.fleet import Running
    from gullyoke.experiments.world import daemon

    request_classes = (
        Work("box-view", 0.57, 70_000, 0.6, 1_000_000, 2_500_000, 1.0, 0.1, True, 0.3),
        Work("schedule-set", 0.30, 95_000, 0.6, 1_200_000, 3_000_000, 2.0, 0.1),
        Work("drop-status", 0.13, 40_000, 0.6, 600_000, 1_500_000, 3.0, 0.1),
    )
    day = drawn(request_classes, Machines(servers=1, reading=1), load, seconds * SECOND, seed)
    click.echo(
        f"{len(day.arrivals)} reqs in {seconds} s, {load:g} times what 6 emulated cores can do"
    )
    try:
        with (
            daemon(day) as (gateways, process),
            Live(outcome_table(day, gateways), refresh_per_second=4) as live,
        ):
            thread = threading.Thread(target=gateways.play, daemon=True)
            thread.start()
            while thread.is_alive():
                time.sleep(0.25)
                live.update(outcome_table(day, gateways))
            if process.poll() is not None:
                exit_with_faults([f"the daemon ended with {process.returncode}"])
    except ChildProcessError as error:
        exit_with_faults([str(error)])
    earned, offered = sum(gateways.value.values()), sum(gateways.offered.values())
    plain_pool = Running(
        day._replace(callers=day.callers._replace(tries=0)), lambda node: PlainPool(node, 6, 24)
    ).play()
    Console().print(
        f"value earned: {earned / offered:.0%} of what was offered; "
        f"a plain pool, simulated on the same reqs: {plain_pool.share():.0%}"
    )


def outcome_table(day, gateways):
    """Return a table of the outcomes by request class."""
    from rich.table import Table

    table = Table("class", "asked", "done", "late", "shed", "errored", "value earned")
    with gateways.pen:
        for work in day.works:
            counts = [
                gateways.rows[work.name, outcome] for outcome in ("done", "late", "shed", "errored")
            ]
            share = gateways.value[work.name] / (gateways.offered[work.name] or 1)
            table.add_row(work.name, str(sum(counts)), *map(str, counts), f"{share:.0%}")
    return table


FLEET_SCRIPT = """
members {n} zones {n} seed {seed} load 10
at 2 kill m1
by 8 gone m1
at 8 start m1
by 16 equal
at 12 cut m0 <> all
by 20 gone m0
at 20 heal
by 34 equal
end 24
"""


def run_fleet(members: int, seed: int) -> None:
    """Run a fleet under faults; print the changes of its members, then the result of each check."""
    from gullyoke.fault_testing.play import Play
    from gullyoke.fault_testing.script import read

    click.echo(
        f"{members} servers on loopback, 10 reqs a second to each; m1 is killed and comes back, then "
        "m0 is cut off from all others"
    )
    play = Play(read(FLEET_SCRIPT.format(n=members, seed=seed)), click.echo)
    try:
        verdict = play.run()
    except ChildProcessError as error:
        exit_with_faults([str(error)])
    click.echo("\n".join(verdict.lines()))

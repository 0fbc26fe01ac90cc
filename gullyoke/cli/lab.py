"""`gullyoke lab`: experiments on the emulator. Needs the extra `lab`."""

from __future__ import annotations

import pathlib
import sys

import click

from gullyoke.cli.say import exit_with_faults


@click.group()
def lab() -> None:
    """Run experiments on the emulator: all arms run on the same days; the output is tables, charts and a report.

    \b
    Examples:
      gullyoke lab run deploy/pools.experiment --out results
      gullyoke lab bound deploy/pools.experiment --day steady --seed 1
    """


@lab.command("run")
@click.argument("experiment", type=click.Path(dir_okay=False))
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    required=True,
    help="The folder for rows, tables, charts and the report.",
)
@click.option(
    "--resume", is_flag=True, help="Keep the rows in the folder, and run only the missing ones."
)
@click.option(
    "--workers",
    type=click.IntRange(1),
    help="The number of processes; one for each core if not given.",
)
def run_(experiment: str, out: pathlib.Path, resume: bool, workers: int | None) -> None:
    """Run an EXPERIMENT, a file in protobuf text format (gullyoke/experiments/experiment.proto).

    \b
    Example:
      gullyoke lab run deploy/pools.experiment --out results --resume
    """
    from rich.progress import Progress

    from gullyoke.experiments.experiment import read
    from gullyoke.experiments.report import report
    from gullyoke.experiments.run import run
    from gullyoke.operator_config.wanted import OperatorFileError

    try:
        parsed = read(experiment)
        with Progress() as progress:
            task = progress.add_task(parsed.name)
            rows = run(
                experiment,
                out,
                resume,
                workers=workers,
                done=lambda finished, count: progress.update(task, completed=finished, total=count),
            )
    except OperatorFileError as file_error:
        exit_with_faults(file_error.faults)
    except (OSError, ValueError) as error:
        exit_with_faults([str(error)])
    click.echo(report(parsed.name, rows, [w.name for w in parsed.found.work], out))


@lab.command("bound")
@click.argument("experiment", type=click.Path(dir_okay=False))
@click.option("--day", required=True, help="The day's name.")
@click.option("--seed", type=int, default=1, show_default=True)
def bound_(experiment: str, day: str, seed: int) -> None:
    """Print an upper bound of the value that any policy could earn on a day, from a planner that knows the whole day.

    \b
    Example:
      gullyoke lab bound deploy/pools.experiment --day steady
    """
    from gullyoke.emulator.bound import bound
    from gullyoke.experiments.experiment import read
    from gullyoke.operator_config.wanted import OperatorFileError

    try:
        parsed = read(experiment)
    except OperatorFileError as file_error:
        exit_with_faults(file_error.faults)
    if day not in [d.name for d in parsed.found.day]:
        exit_with_faults(
            [f"no day {day!r}; right would be one of {', '.join(d.name for d in parsed.found.day)}"]
        )
    day_requests = parsed.day(day, seed)
    known_sizes, unknown_sizes = bound(day_requests), bound(day_requests, sizes=False)
    click.echo(f"{len(day_requests.arrivals)} reqs, {known_sizes.offered:.0f} of value offered")
    click.echo(
        f"bound {known_sizes.value:.0f}, {known_sizes.share():.3f} of it; without knowing sizes {unknown_sizes.share():.3f}"
    )
    for work, value in zip(day_requests.works, known_sizes.by_class, strict=True):
        click.echo(f"  {work.name} {value:.0f}")
    sys.exit(0)

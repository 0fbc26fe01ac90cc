"""Reads an experiment file and lists its simulation runs.

Each job is an arm, a day and a seed; all arms of a day and seed get the same arrivals.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from gullyoke.emulator.baselines import PlainPool
from gullyoke.emulator.beside import Beside
from gullyoke.emulator.day import SECOND, Day, Machines, Work, drawn
from gullyoke.emulator.fleet import LIMITS, RESERVE, Node, deciding
from gullyoke.emulator.kinds import grown
from gullyoke.experiments import experiment_pb2 as schema
from gullyoke.operator_config.checked import parse_checked

QUEUE_PER_CORE = 4  # queued requests per core in the plain pool


class Job(NamedTuple):
    """One simulation run; an empty `arm` computes the planner's bound instead."""

    arm: str
    day: str
    seed: int


class Experiment(NamedTuple):
    """A parsed experiment; `text` is the content of its file, which is saved with the results."""

    name: str
    text: str
    found: schema.Experiment

    def jobs(self) -> list[Job]:
        """All runs of the experiment, ordered by seed, day and arm."""
        seeds = self.found.seeds if self.found.HasField("seeds") else 10
        arms = [a.name for a in self.found.arm] + ([""] if self.found.bound else [])
        return [
            Job(arm, day.name, seed)
            for seed in range(1, seeds + 1)
            for day in self.found.day
            for arm in arms
        ]

    def day(self, name: str, seed: int) -> Day:
        """The day with the given name, generated for a seed."""
        found = self.found
        length = int((found.length_s if found.HasField("length_s") else 20.0) * SECOND)
        kind = next(d for d in found.day if d.name == name)
        if kind.grown:
            return grown(kind.grown, seed, found.servers or 48, length)
        machines = Machines(
            servers=found.servers or 3,
            cores=found.cores or 6,
            fresh=kind.fresh,
            speeds=tuple((int(s.from_s * SECOND), s.speed) for s in kind.speed),
        )
        works = tuple(
            Work(
                w.name,
                w.share,
                int(w.work_ms * 1000),
                w.cv if w.HasField("cv") else 0.6,
                int(w.target_ms * 1000),
                int(w.timeout_ms * 1000),
                w.value,
                w.late_share,
            )
            for w in found.work
        )
        return drawn(works, machines, kind.load, length, seed, swing=int(kind.swing_s * SECOND))

    def policy(self, name: str) -> Callable[[Node], object]:
        """A factory for the scheduler of each server in an arm."""
        arm = next(a for a in self.found.arm if a.name == name)
        cores = self.found.cores or 6
        if arm.policy in (schema.Arm.PLAIN_POOL, schema.Arm.STRICT):
            return lambda node: PlainPool(
                node, cores, QUEUE_PER_CORE * cores, arm.policy == schema.Arm.STRICT
            )
        mechanisms = {
            schema.Arm.SIGNALS: (True, False),
            schema.Arm.SHARES: (False, True),
            schema.Arm.TOGETHER: (True, True),
        }.get(arm.policy)
        if mechanisms is not None:  # a new Beside for each run: it keeps state
            return deciding(False, beside=Beside(1, *mechanisms))
        part = {
            schema.Arm.POOLS: True,
            schema.Arm.NO_POOLS: False,
            schema.Arm.LIMITS: LIMITS,
            schema.Arm.RESERVE: RESERVE,
        }[arm.policy]
        return deciding(part, arm.minimum if arm.HasField("minimum") else 0.02)


def read(path: str) -> Experiment:
    """The experiment in a file.

    Raises `Faulty` with a line for each invalid value.
    """
    found = parse_checked(path, schema.Experiment(), faults_of)
    with open(path, encoding="utf-8") as file:
        return Experiment(found.name, file.read(), found)


def faults_of(found: schema.Experiment) -> Iterator[tuple[str, str]]:
    """The path and message of each duplicate name and of each timeout below its target."""
    for key in ("work", "day", "arm"):
        names: set[str] = set()
        for i, one in enumerate(getattr(found, key)):
            if one.name in names:
                yield (
                    f"{key}[{i}].name",
                    f"{one.name!r} stands twice; right would be a name of its own",
                )
            names.add(one.name)
    for i, work in enumerate(found.work):
        if work.timeout_ms < work.target_ms:
            yield (
                f"work[{i}].timeout_ms",
                f"{work.timeout_ms:g} is under target_ms; right would be more",
            )

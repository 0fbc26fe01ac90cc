"""Runs an experiment on all cores.

Each row is written to a file as soon as its job ends, so an interruption loses only the jobs in
progress.
"""

from __future__ import annotations

import json
import os
import pathlib
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed

import numpy as np
from hdrh.histogram import HdrHistogram

from gullyoke.emulator.bound import bound
from gullyoke.emulator.fleet import Running
from gullyoke.experiments.experiment import Job, read

MAX_LATENCY_US = 600_000_000  # upper bound of the histograms, which keep three digits


def run_job(path: str, job: Job) -> dict:
    """Runs one job and returns its row.

    Values are numbers or lists by class; `histogram` has one encoded histogram per class.
    """
    experiment = read(path)
    day = experiment.day(job.day, job.seed)
    row = {"arm": job.arm, "day": job.day, "seed": job.seed, "reqs": len(day.arrivals)}
    if not job.arm:
        with_sizes, without_sizes = bound(day), bound(day, sizes=False)
        return row | {
            "arm": "bound",
            "share": with_sizes.share(),
            "blind": without_sizes.share(),
            "earned": with_sizes.by_class,
        }
    got = Running(day, experiment.policy(job.arm)).play()
    histograms = []
    for times in got.times:
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for took in times:
            histogram.record_value(max(1, took))
        histograms.append(histogram.encode().decode())
    return row | {
        "share": got.share(),
        "earned": got.earned,
        "offered": got.offered,
        "memory": got.memory,
        "crowd": got.crowd,
        "tries": got.tries,
        "unanswered": got.unanswered,
        "overdue": got.overdue,
        "in_target": [c["done"] / max(1, sum(c.values())) for c in got.counts],
        "shed": [c["shed"] for c in got.counts],
        "errored": [c["errored"] for c in got.counts],
        "by_second": np.round(got.by_second, 3).tolist(),
        "histogram": histograms,
    }


def run(
    path: str,
    folder: pathlib.Path,
    resume: bool,
    done: Callable[[int, int], None],
    workers: int | None = None,
) -> list[dict]:
    """Runs an experiment and returns all its rows, in the order of its jobs.

    With `resume`, jobs whose rows are in the folder are not run again. Raises `FileExistsError` if
    the folder has rows and `resume` is false, and `ValueError` if they belong to another
    experiment.
    """
    experiment, rows = read(path), {}
    folder.mkdir(parents=True, exist_ok=True)
    file, record = folder / "rows.jsonl", folder / "experiment.textproto"
    if file.exists():
        if not resume:
            raise FileExistsError(f"{file} already exists; --resume continues it")
        if record.read_text(encoding="utf-8") != experiment.text:
            raise ValueError(f"{record} differs from the experiment in {path}")
        whole = [line for line in file.read_text(encoding="utf-8").split("\n")[:-1] if line]
        for row in map(json.loads, whole):
            rows[Job("" if row["arm"] == "bound" else row["arm"], row["day"], row["seed"])] = row
        file.write_text(
            "".join(line + "\n" for line in whole), encoding="utf-8"
        )  # drops a row that was only partly written
    record.write_text(experiment.text, encoding="utf-8")
    jobs = experiment.jobs()
    left = [job for job in jobs if job not in rows]
    done(len(jobs) - len(left), len(jobs))
    with (
        file.open("a", encoding="utf-8") as out,
        ProcessPoolExecutor(workers or os.cpu_count()) as pool,
    ):
        going = {pool.submit(run_job, path, job): job for job in left}
        for future in as_completed(going):
            rows[going[future]] = future.result()
            out.write(json.dumps(rows[going[future]]) + "\n")
            out.flush()
            done(len(rows), len(jobs))
    return [rows[job] for job in jobs]

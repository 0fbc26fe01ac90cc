"""Writes an experiment's rows as tables (Parquet, CSV), charts (SVG, PNG) and a report."""

from __future__ import annotations

import pathlib

import matplotlib
import numpy as np
import pyarrow as pa
from hdrh.histogram import HdrHistogram
from pyarrow import csv, parquet

from gullyoke.experiments.compare import differences, of_bound, shares

matplotlib.use("Agg")
from matplotlib import pyplot as plt

PLAIN = ("arm", "day", "seed", "reqs", "share", "memory", "crowd", "tries", "unanswered", "overdue")


def tables(rows: list[dict], names: list[str], folder: pathlib.Path) -> None:
    """Writes `plays.parquet` and `plays.csv` with one row per run and request class."""
    flat = []
    for row in rows:
        for i, name in enumerate(names):
            flat.append(
                {key: row.get(key) for key in PLAIN}
                | {
                    "class": name,
                    **{
                        key: row[key][i] if key in row else None
                        for key in ("offered", "earned", "in_target", "shed", "errored")
                    },
                }
            )
    table = pa.Table.from_pylist(flat)
    parquet.write_table(table, folder / "plays.parquet")
    csv.write_csv(table, folder / "plays.csv")


def charts(rows: list[dict], names: list[str], folder: pathlib.Path) -> list[str]:
    """Draws value over time by class, response times, and shares with intervals.

    Returns the names of the written files without their extensions.
    """
    made, played = [], [r for r in rows if r["arm"] != "bound"]
    for day in dict.fromkeys(r["day"] for r in played):
        arms = list(dict.fromkeys(r["arm"] for r in played if r["day"] == day))
        figure, axes = plt.subplots(
            2, len(arms), figsize=(4 * len(arms), 6), squeeze=False, sharey="row"
        )
        for at, arm in enumerate(arms):
            own = [r for r in played if (r["day"], r["arm"]) == (day, arm)]
            by_second = np.mean([r["by_second"] for r in own], axis=0)
            axes[0][at].stackplot(range(by_second.shape[1]), by_second, labels=names)
            axes[0][at].set(title=arm, xlabel="second of arrival")
            for i, name in enumerate(names):
                histogram = HdrHistogram(1, 600_000_000, 3)
                for r in own:
                    histogram.decode_and_add(r["histogram"][i])
                if histogram.total_count:
                    points = [
                        (histogram.get_value_at_percentile(p) / 1e3, p) for p in range(1, 100)
                    ]
                    axes[1][at].plot(*zip(*points, strict=True), label=name)
            axes[1][at].set(xlabel="ms to the answer")
        axes[0][0].set_ylabel("value a second")
        axes[1][0].set_ylabel("percent answered by then")
        axes[0][0].legend(fontsize="small")
        figure.suptitle(day)
        made.append(save(figure, folder, f"day-{day}"))
    found = shares(rows)
    days = list(dict.fromkeys(day for day, _ in found))
    figure, axis = plt.subplots(figsize=(1.5 + 2 * len(days), 4))
    arms = list(dict.fromkeys(arm for _, arm in found))
    for at, arm in enumerate(arms):
        means = [found.get((day, arm)) for day in days]
        axis.bar(
            [i + at * 0.8 / len(arms) for i in range(len(days))],
            [m.mean if m else 0 for m in means],
            0.8 / len(arms),
            yerr=[m.half if m and np.isfinite(m.half) else 0 for m in means],
            label=arm,
        )
    axis.set(xticks=range(len(days)), xticklabels=days, ylabel="share of the value offered")
    axis.legend(fontsize="small")
    made.append(save(figure, folder, "shares"))
    return made


def save(figure, folder: pathlib.Path, name: str) -> str:
    """Saves the figure as SVG and PNG, closes it, and returns `name`."""
    figure.tight_layout()
    for ending in ("svg", "png"):
        figure.savefig(folder / f"{name}.{ending}")
    plt.close(figure)
    return name


def report(title: str, rows: list[dict], names: list[str], folder: pathlib.Path) -> pathlib.Path:
    """Writes the tables, the charts and `report.md`; returns the path of `report.md`."""
    tables(rows, names, folder)
    made, found = charts(rows, names, folder), shares(rows)
    arms = list(dict.fromkeys(arm for _, arm in found if arm != "bound"))
    lines = [
        f"# {title}",
        "",
        "Simulated. Share of the value offered that was earned, means over seeds with "
        "95% intervals; differences are pairs on the same day and seed.",
        "",
        "| day | arm | share | less " + arms[0] + " | of the bound | in target, by class |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    paired, bounds = differences(rows, arms[0]), {arm: of_bound(rows, arm) for arm in arms}
    for (day, arm), share in found.items():
        own = [
            r["in_target"] for r in rows if (r["day"], r["arm"]) == (day, arm) and "in_target" in r
        ]
        means = np.mean(own, axis=0) if own else ()
        inside = ", ".join(f"{n} {x:.2f}" for n, x in zip(names, means, strict=bool(own)))
        lines.append(
            f"| {day} | {arm} | {share} | {paired.get((day, arm), '')} | "
            f"{bounds.get(arm, {}).get(day, '')} | {inside} |"
        )
    without_sizes = {
        day: np.mean([r["blind"] for r in rows if r["day"] == day and "blind" in r])
        for day, arm in found
        if arm == "bound"
    }
    lines += [
        "",
        *(
            f"A planner that can't know how large each req is would expect {x:.3f} on {day}."
            for day, x in without_sizes.items()
        ),
    ]
    played = [r for r in rows if "memory" in r]
    worst = {key: max(r[key] for r in played) for key in ("memory", "crowd")}
    lost, late = (sum(r[key] for r in played) for key in ("unanswered", "overdue"))
    lines += [
        "",
        f"Worst memory {worst['memory']:.2f} and crowd {worst['crowd']:.2f} of their limits; "
        f"{lost} first tries without an answer, {late} answers after their time.",
        "",
    ]
    lines += [f"![{name}]({name}.svg)" for name in made]
    path = folder / "report.md"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return path

"""Writes the timeline of a fault test as CSV and Parquet, and a chart of the members' states."""

from __future__ import annotations

import csv
import pathlib

from gullyoke.fault_testing.play import Verdict
from gullyoke.fault_testing.script import Script

COLOURS = {
    "alive": "#7fb069",
    "joining": "#a8d5e2",
    "leaving": "#f3de8a",
    "suspect": "#eb9486",
    "unreachable": "#c97b84",
    "gone": "#44475a",
}


def write(verdict: Verdict, script: Script, folder: pathlib.Path) -> list[pathlib.Path]:
    """Write the report to a folder and return the paths of its files."""
    import pyarrow as arrow
    from pyarrow import parquet

    folder.mkdir(parents=True, exist_ok=True)
    rows = [
        {"at": s.at, "by": s.by, "name": s.name, "what": s.state, "kind": "seen", "evidence": ""}
        for s in verdict.seen
    ]
    rows += [
        {
            "at": e.at,
            "by": e.by,
            "name": e.name,
            "what": e.what,
            "kind": "change",
            "evidence": e.evidence,
        }
        for e in verdict.events
    ]
    rows += [
        {"at": at, "by": "script", "name": "", "what": what, "kind": "fault", "evidence": ""}
        for at, what in verdict.faults
    ]
    rows.sort(key=lambda row: row["at"])
    table = folder / "timeline.csv"
    with open(table, "w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, ["at", "by", "name", "what", "kind", "evidence"])
        writer.writeheader()
        writer.writerows(rows)
    parquet.write_table(arrow.Table.from_pylist(rows), folder / "timeline.parquet")
    chart(verdict, script, folder / "states.png")
    return [table, folder / "timeline.parquet", folder / "states.png"]


def chart(verdict: Verdict, script: Script, path: pathlib.Path) -> None:
    """Draw one band per pair: the state of a member in the view of another; faults as lines."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    pairs = [(by, name) for name in script.names() for by in script.names() if by != name]
    figure, axes = pyplot.subplots(figsize=(11, 1.5 + 0.16 * len(pairs)))
    for y, (by, name) in enumerate(pairs):
        steps = [(max(0.0, s.at), s.state) for s in verdict.seen if (s.by, s.name) == (by, name)]
        for (at, state), (until, _) in zip(steps, [*steps[1:], (script.end, "")], strict=True):
            axes.broken_barh(
                [(at, max(0.0, until - at))], (y, 0.9), color=COLOURS.get(state, "white")
            )
    for at, what in verdict.faults:
        axes.axvline(at, color="black", linewidth=0.6)
        axes.text(at, len(pairs) + 0.3, what, rotation=30, fontsize=7)
    axes.set_yticks(
        [y + 0.45 for y in range(len(pairs))], [f"{name} by {by}" for by, name in pairs], fontsize=6
    )
    axes.set_xlim(0, script.end)
    axes.set_xlabel("seconds")
    axes.legend(
        handles=[pyplot.Rectangle((0, 0), 1, 1, color=c, label=s) for s, c in COLOURS.items()],
        loc="lower center",
        ncol=6,
        fontsize=7,
        bbox_to_anchor=(0.5, -0.35),
    )
    figure.savefig(path, dpi=110, bbox_inches="tight")
    pyplot.close(figure)

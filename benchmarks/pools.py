"""Value gained by pools and the reserve, and the CPU cost of their decisions.

The values are simulated on the emulator.

python -m benchmarks.pools [--short]
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from concurrent.futures import ProcessPoolExecutor

from gullyoke.emulator.bound import bound
from gullyoke.emulator.day import SECOND, Machines, Work, drawn
from gullyoke.emulator.fleet import Running, deciding

W = (
    Work("box-view", 0.57, 280_000, 0.6, 1_700_000, 4_100_000, 1.0, 0.1),
    Work("schedule-set", 0.30, 385_000, 0.6, 2_300_000, 5_700_000, 2.0, 0.1),
    Work("drop-status", 0.13, 165_000, 0.6, 1_000_000, 2_500_000, 3.0, 0.1),
)
SPEED_DROP = ((7 * SECOND, 0.33), (14 * SECOND, 1.0))
DAYS = {
    "steady": (2.0, {}, ()),
    "swinging": (2.0, {"swing": 2 * SECOND}, ()),
    "drop": (2.0, {}, SPEED_DROP),
    "five": (5.0, {}, ()),
    "ten": (10.0, {}, ()),
}


def play(kind: str, seed: int) -> dict:
    """Runs a day with and without pools and relates the values to the planner's bounds."""
    load, more, speeds = DAYS[kind]
    day = drawn(W, Machines(servers=3, speeds=speeds), load, 20 * SECOND, seed, **more)
    best, without_sizes, row = bound(day), bound(day, sizes=False), {"kind": kind}
    for name, pools in (("without", False), ("with", True)):
        got = Running(day, deciding(pools)).play()
        counts = got.counts[2]
        row[name] = sum(got.earned) / best.value
        row[name + "_blind"] = sum(got.earned) / without_sizes.value
        row[name + "_reserve"] = counts["done"] / max(1, sum(counts.values()))
        row[name + "_worst"] = (got.memory, got.crowd, got.unanswered + got.overdue)
    return row


def decision_cost_us(pools: bool) -> float:
    """Microseconds of scheduling per request on a busy day, without the time of the simulator."""
    day, spent = drawn(W, Machines(servers=1), 2.0, 20 * SECOND, 1), 0.0
    running = Running(day, deciding(pools))
    server = running.nodes[0].server

    def timed(call):
        def wrapped(*given):
            nonlocal spent
            began = time.perf_counter()
            call(*given)
            spent += time.perf_counter() - began

        return wrapped

    for name in ("on_request", "on_event", "dispatch", "on_tick"):
        setattr(server, name, timed(getattr(server, name)))
    running.play()
    return spent / len(day.arrivals) * 1e6


def main() -> None:
    """Runs all days and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--short", action="store_true", help="under 50 s")
    seeds = 6 if parser.parse_args().short else 30
    with ProcessPoolExecutor() as pool:
        going = [pool.submit(play, kind, seed) for kind in DAYS for seed in range(1, seeds + 1)]
        rows = [future.result() for future in going]
    out: dict = {"seeds": seeds}
    for kind in DAYS:
        own = [r for r in rows if r["kind"] == kind]
        out[kind] = {
            key: round(statistics.mean(r[key] for r in own), 3)
            for key in [
                name + part for name in ("without", "with") for part in ("", "_blind", "_reserve")
            ]
        }
        print(kind, out[kind])
    worst = [r[name + "_worst"] for r in rows for name in ("without", "with")]
    out |= {
        "worst_memory": round(max(w[0] for w in worst), 3),
        "worst_crowd": round(max(w[1] for w in worst), 3),
        "unanswered_or_late": sum(w[2] for w in worst),
        "decision_us": {
            "without": round(decision_cost_us(False), 1),
            "with": round(decision_cost_us(True), 1),
        },
    }
    print(json.dumps(out))


if __name__ == "__main__":
    main()

"""Full, failing and hanging disks under a running server, and idempotency keys over restarts.

    python -m benchmarks.disk [--short]

`--short` takes under 50 s on eight cores. The last line is one JSON object. `crash_states`
comes from the model checker and `cold_*` from the simulator; all else is measured on real processes
and this machine's disk, with faults injected by a layer below the store.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import statistics
import threading
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from contextlib import contextmanager

from benchmarks.pools import W
from gullyoke.durability import UndurablePolicy
from gullyoke.emulator.day import SECOND, Machines, drawn
from gullyoke.emulator.fleet import Running, deciding
from gullyoke.fault_testing.play import Play
from gullyoke.fault_testing.script import read
from gullyoke.model_checking import key_ledger
from gullyoke.storage import warmup_history

LOAD = 24.0  # requests per second, well below the servers' capacity
QUEUE, RESULTS = 4, 16  # MB that may wait for the disk, and that stored keys and results may take


@contextmanager
def running_scenario(script: str):
    """Runs a scenario in a thread during the block; its verdict is then in `verdict`."""
    play = Play(read(script))
    thread = threading.Thread(target=lambda: setattr(play, "verdict", play.run()), daemon=True)
    thread.start()
    yield play
    thread.join()


def script(uniqued: float, faults: str, go_on: int = 0, end: float = 8, load: float = LOAD) -> str:
    """A scenario script for one server with the given faults."""
    return (
        f"members 1 seed 3 load {load} uniqued {uniqued} go_on {go_on}\nat 0.1 heal\n{faults}\n"
        f"end {end}\n"
    )


def played(text: str) -> Play:
    """Runs a scenario to its end."""
    with running_scenario(text) as play:
        pass
    return play


def value(play: Play) -> float:
    """The share of the requests that were done."""
    rows = play.verdict.requests
    all_ = sum(n for what, n in rows.items() if what not in ("lost", "refused", "gone"))
    return (rows.get("done", 0) + rows.get("keyed done", 0)) / max(1, all_)


def run_with_kills(seed: int, kills: int) -> dict:
    """Kills one server at random moments while clients send and retry keyed requests."""
    chance, at, lines = random.Random(seed), 0.5, []
    for _ in range(kills):
        at += chance.uniform(0.6, 1.6)
        lines += [f"at {at:.3f} kill m0", f"at {at + 0.05:.3f} start m0"]
        at += 1.2
    play = played(script(1.0, "\n".join(lines), end=at + 2))
    again = sum(n - 1 for p in play.processes.values() for n in p.keyed.values() if n > 1)
    rows = play.verdict.requests
    return {
        "kills": kills,
        "keys": sum(n for what, n in rows.items() if what.startswith("keyed")),
        "second_runs": again,
        "lost": rows.get("lost", 0),
        "unknown": rows.get("keyed errored", 0),
        "bad": rows.get("none", 0) + rows.get("late", 0),
    }


def keyed_latencies(uniqued: bool, seconds: float) -> tuple[list[float], dict]:
    """Latencies in ms of requests, with keys if `uniqued`, and the server's last log line of keys."""
    import socket

    from gullyoke.experiments.world import asked
    from gullyoke.fault_testing.load import KEYED, UNIQUED

    text = f"members 1 seed 3 load 0.01 uniqued 0.01\nat 0.1 heal\nend {seconds + 1.5}\n"
    if not uniqued:
        text = text.replace("uniqued 0.01", "uniqued 0")
    times: list[float] = []
    with running_scenario(text) as play:
        while not hasattr(play, "processes") or not play.began or play.now() < 0.2:
            time.sleep(0.05)
        listen = play.processes["m0"].listen
        until = time.monotonic() + seconds

        def ask_on(n: int) -> None:
            with socket.create_connection(listen, 2) as conn:
                conn.settimeout(3)
                for i in range(100_000):
                    if time.monotonic() > until:
                        return
                    name, key = (UNIQUED, f"t{n}-{i}") if uniqued else ("view", "")
                    data = asked(name, (n << 40 | i + 1) << 3, 1, KEYED.timeout, 2_000, False, key)
                    began = time.perf_counter()
                    conn.sendall(data)
                    got = conn.recv(4096)
                    if b" 200 " in got[:20]:
                        times.append((time.perf_counter() - began) * 1000)
                    time.sleep(0.02)

        with ThreadPoolExecutor(8) as pool:
            list(pool.map(ask_on, range(1, 9)))
    key_log_lines = [
        line
        for line in play.processes["m0"].lines
        if line.get("event") == "keys" and "group" in line
    ]
    return times, key_log_lines[-1] if key_log_lines else {}


def hung() -> dict:
    """A disk that hangs for 4 s under load."""
    play = played(
        script(
            0.5,
            "at 2 disk m0 hang\nby 4 disks m0 stalled\nat 6 disk m0 well\nby 14 disks m0 well",
            end=15,
        )
    )
    rows, memory = play.verdict.requests, play.verdict.resident_mb
    back = next(one.after for one in play.verdict.held if "disks m0 well" in one.what)
    return {
        "late": rows.get("late", 0) + rows.get("none", 0),
        "resident_mb": memory,
        "back": back,
        "good": play.verdict.good(),
    }


def full(go_on: int) -> tuple[Play, float]:
    """A disk that is full for 6.5 s; returns the run and the seconds until it is well."""
    play = played(
        script(
            0.5,
            "at 0.5 disk m0 full\nby 2 disks m0 full\nat 7 disk m0 well\nby 14 disks m0 well",
            go_on,
            end=11,
        )
    )
    return play, next(one.after for one in play.verdict.held if "disks m0 well" in one.what)


def lease_with_full_disks() -> dict:
    """A change of holder while the disks of three voters are full.

    The holder is killed, and the voters have to promise the lease to the next one.
    """
    play = played(
        "members 4 zones 2 seed 5 load 4 voters 3 lease_ms 1000\nat 0 heal\nby 6 held\n"
        "at 4 disk m0..m2 full\nby 6 disks m0..m2 full\nat 6.5 holder kill\nby 12 moved\nend 10"
    )
    done = {one.what: one.held for one in play.verdict.held}
    return {
        "kept": all(done.values()),
        "moved_s": next(one.after for one in play.verdict.held if "moved" in one.what),
    }


def warmup_history_gain(given: tuple[int, float]) -> float:
    """Gain in value over the first 30 s of a cold start from the history of an earlier one."""
    seed, load = given

    def day(seed: int) -> Running:
        return Running(
            drawn(W, Machines(servers=1, fresh=True), load, 30 * SECOND, seed), deciding(False)
        )

    curve, first = warmup_history.WarmupRecorder(), day(500 + seed)
    server = first.nodes[0].server
    ran = server.queue.run_finished

    def noted(h, span: int) -> None:
        ran(h, span)
        curve.record_run(server.now, h.name, span)

    server.queue.run_finished = noted
    first.play()
    found, again, at = curve.take_snapshot(1, 0.0, None), day(seed), [-1]
    other = again.nodes[0].server
    on_request = other.on_request

    def recalled(now: int, request) -> None:
        if (step := warmup_history.age_bucket(now)) != at[0]:
            at[0] = step
            warmup_history.apply_snapshot(other, found, now)
        on_request(now, request)

    other.on_request = recalled
    return again.play().share() - day(seed).play().share()


def quantile(values: list[float], share: float) -> float:
    """The given quantile of the values, or 0 for none."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))] if ranked else 0.0


def main() -> None:
    """Runs the measurements and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--short", action="store_true")
    short = parser.parse_args().short
    out: dict = {"short": short}
    with ThreadPoolExecutor(8) as plays:
        kills = [
            plays.submit(run_with_kills, seed, 5 if short else 40)
            for seed in range(2 if short else 8)
        ]
        hang, shed, going_on = plays.submit(hung), plays.submit(full, 0), plays.submit(full, 1)
        well = plays.submit(played, script(0.5, "", end=10))
        voters = plays.submit(lease_with_full_disks)
        rows = [one.result() for one in kills]
        out |= {
            "kills": sum(r["kills"] for r in rows),
            "keys": sum(r["keys"] for r in rows),
            "second_runs": sum(r["second_runs"] for r in rows),
            "lost_outcomes": sum(r["lost"] for r in rows),
            "unknown_as_errored": sum(r["unknown"] for r in rows),
        }
        one = hang.result()
        out |= {
            "reqs_late": one["late"],
            "hung_resident_mb": round(one["resident_mb"], 1),
            "seconds_to_well_after_hang": one["back"],
            "hung_held": one["good"],
        }
        base, bound = value(well.result()), well.result().verdict.resident_mb + QUEUE + RESULTS
        out |= {
            "hung_resident_over_bound": round(one["resident_mb"] / bound, 2),
            "value_well": round(base, 3),
            "value_full_shed": round(value(shed.result()[0]) / base, 3),
            "value_full_go_on": round(value(going_on.result()[0]) / base, 3),
            "seconds_to_well": shed.result()[1],
            "full_second_runs": sum(
                n > 1 for p in shed.result()[0].processes.values() for n in p.keyed.values()
            ),
        }
        out["promises_kept_when_full"] = voters.result()["kept"]
        out["promised_when_full_s"] = voters.result()["moved_s"]
    with_, said = keyed_latencies(True, 4 if short else 20)
    without, _ = keyed_latencies(False, 4 if short else 20)
    out |= {
        "p50_ms": round(quantile(with_, 0.5), 2),
        "p99_ms": round(quantile(with_, 0.99), 2),
        "added_p50_ms": round(quantile(with_, 0.5) - quantile(without, 0.5), 2),
        "added_p99_ms": round(quantile(with_, 0.99) - quantile(without, 0.99), 2),
        "group_size": said.get("group"),
        "asked": len(with_),
    }
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        states = [
            pool.submit(key_ledger.explore_ledger, None, 40, policy) for policy in UndurablePolicy
        ]
        mutants = [pool.submit(key_ledger.explore_ledger, guard, 8) for guard in key_ledger.MUTANTS]
        for load in (1.0, 1.5) if short else (0.6, 1.0, 1.5):
            gains = list(pool.map(warmup_history_gain, [(seed, load) for seed in range(1, 31)]))
            half = 2.05 * statistics.stdev(gains) / len(gains) ** 0.5
            out[f"cold_start_gain_{load}"] = [round(statistics.mean(gains), 4), round(half, 4)]
        out |= {
            "crash_states": sum(one.result().states for one in states),
            "violations": sum(one.result().violation is not None for one in states),
            "mutants": len(mutants),
            "mutants_found": sum(one.result().violation is not None for one in mutants),
        }
    print(json.dumps(out))


if __name__ == "__main__":
    main()

"""Throughput of the store on this machine's disk, and the value of stored run times at a restart.

The restart is simulated.

python -m benchmarks.store [--short]
"""

from __future__ import annotations

import argparse
import json
import statistics
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks.pools import W
from gullyoke.emulator.day import SECOND, Machines, drawn
from gullyoke.emulator.fleet import Running, deciding
from gullyoke.storage import GroupCommitter, StorageFolder, Store, run_time_history


def durable(waiting: int, seconds: float) -> dict:
    """Commits per second and the latency of each, with `waiting` concurrent writers."""
    took, until = [], time.perf_counter() + seconds
    with tempfile.TemporaryDirectory() as folder:
        committer = GroupCommitter(Store(StorageFolder(folder)))

        def one(n: int) -> None:
            committed, i = threading.Semaphore(0), 0
            while time.perf_counter() < until:
                began, i = time.perf_counter(), i + 1
                committer.put(f"k{n}-{i % 50}", b"x" * 100, lambda ok: committed.release())
                committed.acquire()
                took.append(time.perf_counter() - began)

        threads = [threading.Thread(target=one, args=(n,)) for n in range(waiting)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        committer.close()
    took.sort()
    return {
        "a_second": round(len(took) / seconds),
        "p50_ms": round(took[len(took) // 2] * 1e3, 3),
        "p99_ms": round(took[len(took) * 99 // 100] * 1e3, 3),
        "group": round(committer.committed_entries / max(1, committer.committed_groups), 1),
    }


def recovery(megabytes: int) -> float:
    """Seconds to open a store with `megabytes` MB of values."""
    with tempfile.TemporaryDirectory() as folder:
        disk = StorageFolder(folder)
        store = Store(disk, segment_bytes=2**24, quota_bytes=2**30)
        for i in range(megabytes):
            store.put([(f"k{i}-{j}", b"x" * 1000) for j in range(1000)])
        disk.close()
        began = time.perf_counter()
        Store(StorageFolder(folder), quota_bytes=2**30)
        return round(time.perf_counter() - began, 2)


def write_amplification() -> float:
    """Bytes written to disk per byte put, under steady overwrites of a few keys."""
    written = requested = 0
    with tempfile.TemporaryDirectory() as folder:
        disk = StorageFolder(folder)
        store, append = Store(disk, segment_bytes=2**16), disk.append

        def counted(name: str, data: bytes) -> None:
            nonlocal written
            written += len(data)
            append(name, data)

        disk.append = counted
        for i in range(5000):
            store.put([(f"k{i % 200}", b"x" * 100)])
            requested += 100 + 30
    return round(written / requested, 2)


def restart(seed: int) -> dict:
    """Share of the value in the first 30 s after a cold start at 1.5 times the capacity.

    Compares no stored run times, those of a similar day, and those of a server that was ten times
    slower.
    """

    def learned(speed: float) -> run_time_history.RunTimeSnapshot:
        machines = Machines(servers=1, speeds=((1, speed),))
        running = Running(drawn(W, machines, 1.5, 30 * SECOND, 500 + seed), deciding(False))
        running.play()
        return run_time_history.take_snapshot(running.nodes[0].server, 1, 0.0)

    def play(found: run_time_history.RunTimeSnapshot | None) -> float:
        day = drawn(W, Machines(servers=1, fresh=True), 1.5, 30 * SECOND, seed)
        running = Running(day, deciding(False))
        if found is not None:
            server, read = running.nodes[0].server, running.nodes[0].server.on_request

            def first(now, request) -> None:
                read(now, request)
                server.on_request = read
                run_time_history.apply_snapshot(server, found, run_time_history.MAX_WEIGHT)

            server.on_request = first
        return running.play().share()

    return {"without": play(None), "with": play(learned(1.0)), "stale": play(learned(0.1))}


def main() -> None:
    """Runs the measurements and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--short", action="store_true", help="under 50 s")
    short = parser.parse_args().short
    out: dict = {f"waiting_{n}": durable(n, 2.0 if short else 10.0) for n in (1, 16, 128)}
    out |= {"recover_100_mb_s": recovery(100), "written_over_asked": write_amplification()}
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(restart, range(1, 31)))
    for key in ("without", "with", "stale"):
        out["restart_" + key] = round(statistics.mean(r[key] for r in rows), 3)
    for key in ("with", "stale"):
        apart = [r[key] - r["without"] for r in rows]
        half = 2.05 * statistics.stdev(apart) / len(apart) ** 0.5
        out[f"restart_{key}_less_without"] = [round(statistics.mean(apart), 4), round(half, 4)]
    print(json.dumps(out))


if __name__ == "__main__":
    main()

"""Cost of a request through each front end.

Measures the daemon's CPU time, the response time, and the daemon's memory when idle.

    python -m benchmarks.scgi [--short] [--before COMMIT]

Blocks of requests go through HTTP/1.1 and SCGI in turn, each request on a connection of its own, so
that both do the same work; HTTP/1.1 on a persistent connection is measured too. The engine is a
stand-in that answers at once.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import pathlib
import socket
import statistics
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from standins import Busy, Sockets, message

from gullyoke.experiments.usage import cpu, resident


@contextlib.contextmanager
def daemon(operator: bool, cwd: pathlib.Path = ROOT):
    """Starts a daemon with a stand-in engine; yields the daemon and its peers."""
    with contextlib.closing(Sockets()) as scene:
        scene.engine.down()
        scene.engine = Busy(2, 0.0)
        scene.line("site cores=2".split())
        if operator:
            scene.line('operator listener { name: "scgi" address: "SCGI_AT" }'.split())
        scene.root = cwd
        scene.start()
        scene.said("event=serving")
        yield scene


def block(scene, way: str, count: int, first: int) -> list[float]:
    """Sends `count` requests one after another; returns the seconds to each complete answer.

    The time is -1 for an answer other than 200, which counts as lost.
    """
    took, kept = [], None
    address = scene.scgi if way == "scgi" else scene.listen
    for i in range(first, first + count):
        closing = {"Connection": "close"} if way == "close" else {}
        data = message(f"r{i}", "view", scgi=way == "scgi", **closing)
        began = time.perf_counter()
        conn = kept or socket.create_connection(address, 10)
        conn.sendall(data)
        got = b""
        while not got.endswith(b"fine"):
            more = conn.recv(4096)
            if not more:
                break
            got += more
        took.append(time.perf_counter() - began if b" 200 " in got[:20] else -1.0)
        if way == "kept":
            kept = conn
        else:
            conn.close()
    if kept:
        kept.close()
    return took


def measure_front_ends(blocks: int, count: int) -> dict:
    """Measures CPU time, response times and lost requests of each front end."""
    found = {way: {"cpu": [], "took": []} for way in ("close", "scgi", "kept")}
    with daemon(True) as scene:
        for way in found:
            block(scene, way, 200, 0)  # warm
        number = 1000
        for _ in range(blocks):
            for way, row in found.items():
                before = cpu(scene.process.pid)
                row["took"] += block(scene, way, count, number)
                row["cpu"].append((cpu(scene.process.pid) - before) / count * 1e6)
                number += count
    out = {}
    for way, row in found.items():
        took = sorted(t for t in row["took"] if t >= 0)
        out[way] = {
            "cpu_us": round(statistics.median(row["cpu"]), 1),
            "p50_ms": round(1e3 * took[len(took) // 2], 3),
            "p99_ms": round(1e3 * took[len(took) * 99 // 100], 3),
            "lost": sum(t < 0 for t in row["took"]),
        }
    return out


def idle(cwd: pathlib.Path) -> int:
    """The lowest resident memory, in KiB, of three idle daemons without an operator's file."""
    sizes = []
    for _ in range(3):
        with daemon(False, cwd) as scene:
            time.sleep(1.0)
            sizes.append(resident(scene.process.pid))
    return min(sizes)


def main() -> None:
    """Runs the measurements and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--short", action="store_true", help="under 50 s")
    parser.add_argument(
        "--before", default="ab97135", help="the commit whose idle memory stands beside ours"
    )
    given = parser.parse_args()
    ways = measure_front_ends(6 if given.short else 20, 500)
    for way, row in ways.items():
        print(way, row)
    with tempfile.TemporaryDirectory() as folder:
        tree = subprocess.run(
            ["git", "archive", given.before, "gullyoke"], cwd=ROOT, stdout=subprocess.PIPE
        )
        before = None
        if tree.returncode == 0:
            subprocess.run(["tar", "-x", "-C", folder], input=tree.stdout, check=True)
            before = idle(pathlib.Path(folder))
        now = idle(ROOT)
    print(
        json.dumps(
            {
                "cpu_us": {way: row["cpu_us"] for way, row in ways.items()},
                "p50_ms": {way: row["p50_ms"] for way, row in ways.items()},
                "p99_ms": {way: row["p99_ms"] for way, row in ways.items()},
                "ratio_scgi_to_http": round(ways["scgi"]["cpu_us"] / ways["close"]["cpu_us"], 3),
                "lost": sum(row["lost"] for row in ways.values()),
                "idle_kib": now,
                "idle_kib_before": before,
            }
        )
    )


if __name__ == "__main__":
    main()

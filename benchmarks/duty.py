"""Singleton tasks: model checking, simulation with faults, and real processes.

    python -m benchmarks.duty [--short]

`--short` takes under 50 s on eight cores. The last line is one JSON object; all of it but the
`real_` figures is simulated.
"""

from __future__ import annotations

import argparse
import json
import os
import random
from concurrent.futures import ProcessPoolExecutor

from gullyoke.emulator.duty import SECOND, Play
from gullyoke.fault_testing import history
from gullyoke.fault_testing.play import Play as Real
from gullyoke.fault_testing.processes import DUTY
from gullyoke.fault_testing.script import read
from gullyoke.leases.dependency_probe import FAILURES_TO_DEAD, DependencyProbe
from gullyoke.leases.durations import LeaseDurations
from gullyoke.model_checking import leases as walk

PLAIN = "members 5 zones 5 seed 4 load 8\nat 0 heal\nby 3 equal\nend 8"
ROLL = """
members 4 zones 4 seed 4 load 8 voters 3 lease_ms 1500
at 0 heal
by 4 held
at 3 roll start 0.3 1
by 26 rolled done
by 27 restarted m0..m3
end 6
"""


def run_with_faults(seed: int) -> dict:
    """Simulates a minute of random faults; counts holders, overlaps and refused stale actions."""
    play = Play(seed, voters=3 + 2 * (seed % 2), members=7)
    play.run(6 * SECOND)
    play.trouble(60 * SECOND)
    return {
        "most": play.most,
        "faults": len(history.faults(play.acts)),
        "stale": sum(not act.taken for act in play.acts),
    }


def handover_s(seed: int, how: str) -> float:
    """Seconds until another holder: after a requested handover, a kill or a one-way partition."""
    play = Play(seed, voters=3, members=8)
    play.run(6 * SECOND + seed * 37_000)
    (old,) = play.holders()
    began = play.now
    if how == "asked":
        play.pass_to(old, next(name for name in play.members if name != old))
    elif how == "killed":
        play.kill(old)
    else:
        play.deaf.add((old, how))
    while play.now < began + 20 * SECOND:
        play.run(play.now + 10_000)
        if any(name != old for name in play.holders()):
            break
    return (play.now - began) / 1e6


def one_sided(seed: int) -> int:
    """Number of epochs started in a minute of a one-way partition of the holder."""
    play = Play(seed, voters=3, members=8)
    play.run(6 * SECOND)
    (old,) = play.holders()
    before = play.epochs()
    play.deaf.add((old, ("in", "out")[seed % 2]))
    play.run(play.now + 60 * SECOND)
    return play.epochs() - before


def held_share(seed: int) -> float:
    """Share of five minutes that had a holder, with a fault every 30 s and a majority always up."""
    play, share = Play(seed, voters=3, members=8), 0
    play.run(6 * SECOND)
    began, chance = play.now, random.Random(seed)
    for step in range(10):
        (name,) = play.holders() or [chance.choice(play.members)]
        what = chance.choice(("kill", "pause", "in", "out", "pass"))
        if what == "kill":
            play.kill(name)
            play.after(5 * SECOND, play.start, name)
        elif what == "pause":
            play.pause(name, 5 * SECOND)
        elif what == "pass":
            play.pass_to(name, next(n for n in play.members if n != name))
        else:
            play.deaf.add((name, what))
            play.after(8 * SECOND, play.deaf.clear)
        until = began + (step + 1) * 30 * SECOND
        while play.now < until:
            play.run(play.now + 20_000)
            share += bool(play.holders()) * 20_000
    return share / (play.now - began)


def attempts_at_dead_dependency(servers: int, duty: bool) -> float:
    """Attempts in a minute at a dead dependency by servers that all try to call it constantly."""
    chance = random.Random(servers)
    all_ = [DependencyProbe(chance.random) for _ in range(servers)]
    for one in all_:
        for _ in range(FAILURES_TO_DEAD + 1):
            one.record_call(SECOND, False)
    all_[0].set_is_holder(duty)
    tries = 0
    for now in range(2 * SECOND, 62 * SECOND, 50_000):
        if duty and now % (2 * SECOND) == 0:
            for one in all_[1:]:
                one.record_announcement(now, 1, True)
        for one in all_:
            if one.admit_call(now):
                tries += 1
                one.record_call(now, False)
    return tries


def real(script: str) -> tuple[object, Real]:
    """Runs a scenario with real processes; returns its verdict and the run."""
    play = Real(read(script))
    return play.run(), play


def quantile(values: list[float], share: float) -> float:
    """The given quantile of the values, rounded to three decimals."""
    ranked = sorted(values)
    return round(ranked[min(len(ranked) - 1, int(share * len(ranked)))], 3)


def main() -> None:
    """Runs the measurements and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--short", action="store_true")
    short = parser.parse_args().short
    plain, _ = real(PLAIN)
    verdict, play = real(ROLL)
    print("\n".join(verdict.lines()))
    out: dict = {"short": short, "lease_s": LeaseDurations().lease_us / 1e6}
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        right = pool.submit(walk.found, None, 3 if short else 5)
        mutants = {guard: pool.submit(walk.found, guard, 3) for guard in walk.MUTANTS}
        plays = [pool.submit(run_with_faults, seed) for seed in range(24 if short else 400)]
        n = range(30 if short else 300)
        handovers = {
            how: [pool.submit(handover_s, seed, how) for seed in n]
            for how in ("asked", "killed", "in", "out")
        }
        epochs = [pool.submit(one_sided, seed) for seed in range(4 if short else 40)]
        shares = [pool.submit(held_share, seed) for seed in range(3 if short else 30)]
        states, wrong = right.result()
        out |= {
            "states_walked": states,
            "violations": int(wrong is not None),
            "mutants_found": sum(one.result()[1] is not None for one in mutants.values()),
            "mutants": len(mutants),
        }
        done = [one.result() for one in plays]
        out |= {
            "plays": len(done),
            "overlapping_acts": sum(x["faults"] for x in done),
            "most_holders": max(x["most"] for x in done),
            "stale_acts_refused": sum(x["stale"] for x in done),
        }
        took = {how: [one.result() for one in row] for how, row in handovers.items()}
        out |= {
            "handover_asked_ms": [round(1000 * quantile(took["asked"], q)) for q in (0.5, 0.99)],
            "handover_killed_s": [quantile(took["killed"], q) for q in (0.5, 0.99)],
            "handover_one_sided_s": {
                "hears": quantile(took["out"], 0.99),
                "is_heard": quantile(took["in"], 0.99),
            },
            "epochs_a_minute_one_sided": max(one.result() for one in epochs),
            "held_share": round(min(one.result() for one in shares), 4),
        }
    for servers in (10, 100):
        out[f"asks_a_minute_{servers}"] = {
            "with": attempts_at_dead_dependency(servers, True),
            "without": attempts_at_dead_dependency(servers, False),
        }
    acts = play.shared.resource.acts
    rolled = [row for row in verdict.faults if row[1].startswith("roll")]
    ended = next((one.after for one in verdict.held if "rolled done" in one.what), None)
    out |= {
        "real_held": verdict.good(),
        "real_roll_servers_s": round(ended / 4, 2) if ended and rolled else None,
        "real_reqs": sum(verdict.requests.values()),
        "real_reqs_without_answer": verdict.requests.get("none", 0)
        + verdict.requests.get("late", 0),
        "real_value_lost": round(
            1
            - verdict.requests["done"]
            / max(1, sum(verdict.requests.get(what, 0) for what in ("done", "shed", "errored"))),
            4,
        ),
        "real_overlapping_acts": len(history.faults(acts)),
        "real_longest_gap_s": round(max(history.gaps(acts, DUTY), default=0.0), 2),
        "real_cpu_share": [round(plain.cpu_share, 4), round(verdict.cpu_share, 4)],
        "real_resident_mb": [round(plain.resident_mb, 1), round(verdict.resident_mb, 1)],
    }
    print(json.dumps(out))


if __name__ == "__main__":
    main()

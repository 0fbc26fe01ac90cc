"""A server that is told to drain before its engine is up runs what arrives after the grace.

Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

GRACE_S = 2.0  # DrainGraceUs of the settings
SLACK_S = 0.05  # each time limit is that much longer on sockets
STOP_MS = 3200
ENGINE_LATE_S = 1.2  # from the notice to drain to the start of the engine
FIRST_S, LAST_S = 2.2, 2.9  # when requests are sent, from the notice
SITE = (("box-view", "repeatable", 1.0), ("pay-order", "once", 2.0))


def segments(_name):
    """Return the seconds of a run: one segment, 0.28 to 0.49 s."""
    return [random.uniform(0.28, 0.49)]


async def send(record, server, notice):
    """Send requests between `FIRST_S` and `LAST_S`; return their times and tries, by id."""
    sent, tries = {}, []
    await asyncio.sleep(notice + FIRST_S - time.monotonic())
    while time.monotonic() < notice + LAST_S:
        request_id = standins.new_id()
        sent[request_id] = time.monotonic() - notice
        name = SITE[len(sent) % 2][0]
        tries.append(asyncio.create_task(standins.call(record, server.listen, request_id, name)))
        await asyncio.sleep(0.05)
    return sent, tries


async def drain(record, engine, server, up):
    """Play the drain; return the times from the notice and the answers, both by id."""
    notice = time.monotonic()
    record.add("platform: SIGTERM, stop in", STOP_MS, "ms")
    server.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(ENGINE_LATE_S)
    if not up.is_set():
        record.add("engine: is up")
        up.set()
    sent, tries = await send(record, server, notice)
    await asyncio.sleep(notice + STOP_MS / 1000 - time.monotonic())
    record.add("platform: SIGKILL")
    server.end()
    engine.end()
    return sent, dict(zip(sent, await asyncio.gather(*tries), strict=True))


def lost_orders(engine, late, answers):
    """Return how many runs of the class that must never run again got no answer 'served'."""
    return sum(engine.runs[each].name == "pay-order" and answers[each][0] != 200 for each in late)


async def play(record, trouble):
    """Drain a server, and return the exit status."""
    up = asyncio.Event()
    engine = standins.Engine(record, segments, up)
    database = standins.Database(record, lambda: 0.005)
    site = standins.settings(SITE, grace_ms=int(GRACE_S * 1000))
    async with standins.site(record, engine, database, site, STOP_MS) as server:
        if trouble:  # the server is up and waits for HELLO
            await asyncio.wait_for(engine.linked.wait(), 20)
            await asyncio.sleep(1.5)
        else:
            up.set()
            if not await server.ready():
                return 2
        sent, answers = await drain(record, engine, server, up)
    late = [each for each in engine.runs if sent[each] > GRACE_S + SLACK_S]
    for request_id in late:
        run = engine.runs[request_id]
        record.add(
            f"ran too late: {request_id} {run.name}, sent {sent[request_id]:.3f} s after the"
            f" notice, {'cut by the stop' if run.task.cancelled() else 'finished'},"
            f" answered {answers[request_id][0]}"
        )
    refused = sum(status in (-1, 429, 503) for status, _ in answers.values())
    record.add(
        f"verdict: {len(sent)} sent {FIRST_S} s after the notice or later, {refused} refused,"
        f" {len(late)} run; of the {sum(engine.runs[each].name == 'pay-order' for each in late)}"
        f" that must never run again {lost_orders(engine, late, answers)} were begun and are lost"
    )
    return 1 if late else 0


sys.exit(standins.main(HERE, play))

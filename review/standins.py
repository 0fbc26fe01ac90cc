"""Stand-ins for the peers of one server, on loopback, after the protocol page.

`Engine`, `Database` and `Names` listen; `Server` starts the daemon with the deploy file's command;
`call` is a gateway's try. All of them write to one `Record`.
"""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
# How a connection of a stand-in ends, the end of the script included.
ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
CLASSES = (("box-view", "repeatable", 1.0), ("schedule-set", "once", 2.0))


class Record:
    """The lines of record.txt: milliseconds since the start, then what happened."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115 - open until the script ends

    def add(self, *words):
        """Write one line."""
        at = (time.monotonic() - self.began) * 1000
        self.file.write(f"{at:9.1f} {' '.join(map(str, words))}\n")
        self.file.flush()


def settings(classes=CLASSES, cores=6, grace_ms=2000):
    """Return the settings of a small site; the keys are those of the first message of the wire."""
    profiles = [
        {
            "Name": name,
            "ObjectiveUs": 1_700_000,
            "DeadlineUs": 4_100_000,
            "Importance": worth,
            "Semantics": effect,
            "LateWorth": 0.2,
            "KeyTtlUs": 5_000_000,
        }
        for name, effect, worth in classes
    ]
    return {
        "Profiles": profiles,
        "FleetSize": 3,
        "WorthBy": "request",
        "Orgs": [],
        "Permissions": {"RetryAfter": True, "MaxRetryAfterUs": 1_000_000},
        "Rules": {
            "AnswerSlackUs": 80_000,
            "DrainGraceUs": grace_ms * 1000,
            "TipMultiple": 8.0,
            "TipAfterUs": 1_500_000,
            "StartCapacity": 0.25,
            "ColdUs": 10_000_000,
        },
        "FamilyInfo": {
            "Cores": cores,
            "MemoryKb": 200_000.0,
            "Blowup": 4.0,
            "KeyKb": 10.0,
            "FreshStart": False,
            "StopMode": "off",
            "OwnStats": ["core_use", "on_cores", "heap_share", "links"],
            "CallsByClass": [True for _ in classes],
            "ClassSkipWorth": [0.0 for _ in classes],
            "DependsOn": "one_for_all",
            "CallsOut": 50.0,
            "ShareSpanUs": 5_000_000,
            "LingerUs": 200_000,
            "Say": "off",
            "HeededUs": 1_000_000,
            "CancelSeen": False,
            "PassesDeadline": True,
            "DeepChecks": False,
            "Readiness": False,
            "CallerIdleUs": 30_000_000,
            "FreshForUs": 0,
            "Callers": 3,
        },
    }


class Run:
    """A run at the engine.

    Attributes:
        waits_for: The number of the call that the run waits for; None while it computes.
        fed: The replies that it was given, in order.
    """

    def __init__(self, request_id, name):
        self.request_id = request_id
        self.name = name
        self.began = time.monotonic()
        self.waits_for = None
        self.reply = None
        self.fed = []
        self.task = None


class Engine:
    """The engine: computes in segments, and asks for a call after each segment but the last.

    A new link takes the place of the one before it, and gets all notices after the one that it
    names. Runs go on without a link. RUN starts a run, but for a request that runs already nothing
    happens, and one that is over gets `void`. Neither results nor keys are kept: a request that ran
    before, and that has no answer yet, is run. FEED goes to the call that the run waits for; one
    for a run that waits for none is answered with NO.

    Attributes:
        runs: The run of each request, the last one if there were several.
        starts: How often each request was started.
        over: The requests that are over, for their gateway has an answer.

    Args:
        record: Where it writes what it does.
        segments: Returns the seconds of each segment of a request's run.
        up: An event; HELLO waits until it is set.
        cores: The cores, for the gauges.
        gap: The longest gap, in seconds, between the two pieces in which every second message to
            the server comes; 0 for messages that are whole.
    """

    def __init__(self, record, segments, up=None, cores=6, gap=0.0):
        self.record = record
        self.segments = segments
        self.cores = cores
        self.gap = gap
        self.up = up
        self.up_at = time.monotonic()
        self.notices = []
        self.runs = {}
        self.starts = collections.Counter()
        self.over = set()
        self.link = None
        self.linked = asyncio.Event()
        self.address = None

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def cut(self):
        """Break the link, if there is one; bytes under way are lost, commands read are kept."""
        if self.link is not None:
            self.record.add("engine", "link broken")
            self.link.transport.abort()
            self.link = None
            self.sender.cancel()

    async def _serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(*ENDS):
            while line := await reader.readline():
                words = line.decode("latin-1").split()
                body = b""
                if words[0] in ("RUN", "FEED"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                if words[0] == "ATTACH":
                    await self._attach(writer, int(words[1]))
                elif self.link is writer:
                    self._command(words, body)
        writer.close()

    def answered(self, request_id):
        """End a request, as its gateway has an answer; a run that waits for a call is halted."""
        self.over.add(request_id)
        run = self.runs.get(request_id)
        if run is not None and run.waits_for is not None and not run.reply.done():
            run.task.cancel()
            self._halted(run)

    def _halted(self, run):
        run.waits_for = None
        self.record.add("engine", "DONE", run.request_id, "halted")
        self._tell(f"DONE %d {run.request_id} halted 1 0\r\n\r\n")

    def end(self):
        """End all runs, as the engine is killed together with its server."""
        for run in self.runs.values():
            run.task.cancel()

    async def _attach(self, writer, last):
        self.linked.set()
        if self.up is not None:
            await self.up.wait()
        if self.link is not None and self.link is not writer:
            self.link.close()
            self.sender.cancel()
        self.link = writer
        age_ms = int((time.monotonic() - self.up_at) * 1000)
        self.record.add("engine", "ATTACH", last)
        self.out = asyncio.Queue()
        self.sender = asyncio.create_task(self._send(writer, self.out))
        self.out.put_nowait(f"HELLO warm {age_ms}\r\n".encode())
        for notice in self.notices[last:]:
            self.out.put_nowait(notice)

    async def _send(self, writer, out):
        """Write the messages to a link in order, some of them in two pieces."""
        while not writer.is_closing():
            message_ = await out.get()
            cut = random.randrange(1, len(message_))
            if self.gap and random.random() < 0.5:
                writer.write(message_[:cut])
                await asyncio.sleep(random.uniform(0, self.gap))
                message_ = message_[cut:]
            writer.write(message_)

    def _command(self, words, body):
        name, request_id = words[0], words[1]
        if name == "STAT":
            busy = sum(run.waits_for is None for run in self.runs.values() if not run.task.done())
            gauges = f"{min(1.0, busy / self.cores):.3f} {busy} 0.1 4"
            self.out.put_nowait(f"STATS {request_id} {gauges}\r\n".encode())
            return
        run = self.runs.get(request_id)
        if name == "RUN":
            if run is not None and not run.task.done():
                self.record.add("engine", "RUN", request_id, words[2], "runs already: nothing")
            elif request_id in self.over:
                self.record.add("engine", "RUN", request_id, words[2], "is over: void")
                self._tell(f"DONE %d {request_id} void 0 0\r\n\r\n")
            else:
                self.starts[request_id] += 1
                again = f"STARTED {self.starts[request_id]} TIMES" if run is not None else "started"
                self.record.add("engine", "RUN", request_id, words[2], again)
                run = self.runs[request_id] = Run(request_id, words[2])
                run.task = asyncio.create_task(self._run(run, body))
        elif name == "FEED" and run is not None and run.waits_for and not run.reply.done():
            self.record.add("engine", "FEED", request_id, body.decode(), "for call", run.waits_for)
            run.fed.append((run.waits_for, body.decode()))
            run.reply.set_result(None)
        else:
            self.record.add("engine", "not carried out", name, request_id, body.decode())
            self.out.put_nowait(f"NO {name} {request_id}\r\n".encode())

    async def _run(self, run, body):
        lengths = self.segments(run.name)
        for number, seconds in enumerate(lengths, 1):
            await asyncio.sleep(seconds)
            if number == len(lengths):
                break
            if run.request_id in self.over:
                self._halted(run)
                return
            run.waits_for = number
            run.reply = asyncio.get_running_loop().create_future()
            call = f"call {number} of {run.request_id}"
            self._tell(f"NEED %d {run.request_id} {len(call)}\r\n{call}\r\n")
            await run.reply
            run.waits_for = None
        result = f"{body.decode()}: " + "; ".join(reply for _, reply in run.fed)
        ms = int((time.monotonic() - run.began) * 1000)
        self.record.add("engine", "DONE", run.request_id)
        self._tell(f"DONE %d {run.request_id} ok {ms} {len(result)}\r\n{result}\r\n")

    def _tell(self, text):
        notice = (text % (len(self.notices) + 1)).encode()
        self.notices.append(notice)
        if self.link is not None:
            self.out.put_nowait(notice)


class Database:
    """The database: answers each call with ROWS that name the call.

    Args:
        record: Where it writes what it does.
        seconds: Returns the seconds until the answer to a call.
        copies: The share of the replies that come a second time on their connection.
        delay: The longest time, in seconds, from a reply to its second copy.
    """

    def __init__(self, record, seconds, copies=0.0, delay=0.0):
        self.record = record
        self.seconds = seconds
        self.copies = copies
        self.delay = delay

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(*ENDS):
            while line := await reader.readline():
                words = line.decode("latin-1").split()
                if words[0] == "Q":
                    call = (await reader.readexactly(int(words[-1]) + 2))[:-2].decode()
                    asyncio.create_task(self._answer(writer, words[1], call))  # noqa: RUF006
        writer.close()

    async def _answer(self, writer, request_id, call):
        await asyncio.sleep(self.seconds())
        rows = reply_to(call)
        self.record.add("database", "ROWS", request_id, rows)
        reply = f"{request_id} ROWS {len(rows)}\r\n{rows}\r\n".encode()
        with contextlib.suppress(ConnectionError):
            writer.write(reply)
            if random.random() < self.copies:
                await asyncio.sleep(random.uniform(0, self.delay))
                self.record.add("database", "second copy", request_id, rows)
                writer.write(reply)


def reply_to(call):
    """Return the database's reply to a call."""
    return f"rows for {call}"


class Names:
    """The name service: accepts every report."""

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        with contextlib.suppress(*ENDS):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = int(head.split("content-length:")[1].split()[0])
                await reader.readexactly(length)
                writer.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")


def free_address():
    """Return a loopback address with a port that was free."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


class Server:
    """The daemon, started from the root by the deploy file's `run`."""

    def __init__(self, folder, configuration, environment=None):
        self.folder = pathlib.Path(folder)
        self.configuration = configuration
        self.environment = environment or {}
        self.listen = configuration["listen"]
        self.process = None

    async def start(self, command=None):
        """Write the configuration and start the process."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        with open(self.folder / "server.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command or deploy["run"],
                cwd=ROOT,
                env=os.environ | {"NODE_CONFIG": str(path)} | self.environment,
                stdout=log,
                stderr=log,
            )

    def end(self):
        """Kill the process if it is still there."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    async def ready(self, seconds=20):
        """Wait until a health check is answered with 200; return whether it was."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                status, _ = await exchange(
                    self.listen, b"GET /ping HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                if status == 200:
                    return True
            await asyncio.sleep(0.05)
        return False


def configuration(engine, database, names, site, stop_ms=3200):
    """Return the content of the configuration file."""
    return {
        "name": "n3",
        "listen": free_address(),
        "engine": engine,
        "db": database,
        "naming": names,
        "seed": f"{random.getrandbits(64):016x}",
        "stop_ms": stop_ms,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": site,
    }


async def exchange(address, data):
    """Send a message on a connection of its own; return the status and the body of the answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writer.write(data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.lower().split("content-length:")[1].split()[0])
        return int(head.split()[1]), (await reader.readexactly(length)).decode()
    finally:
        writer.close()


def message(request_id, name, wait_ms=4100, **fields):
    """Return a gateway's request, as bytes; its body names the request."""
    body = f"body of {request_id}"
    given = {
        "Trace-Id": request_id,
        "Accepted-At-Ms": int(time.time() * 1000),
        "Client-No": 1,
        "Max-Wait-Ms": wait_ms,
        "Reserve-Kb": 24.5,
        "Standing": 0.5,
        "Content-Length": len(body),
        "Connection": "close",
    } | fields
    head = "".join(f"{key}: {value}\r\n" for key, value in given.items())
    return f"POST /call/{name} HTTP/1.1\r\nHost: origin.svc\r\n{head}\r\n{body}".encode()


async def call(record, address, request_id, name, wait_ms=4100, **fields):
    """Send a request as a gateway does; return status and body, or 0 if there was no answer."""
    record.add("gateway", "sends", request_id, name)
    try:
        status, body = await asyncio.wait_for(
            exchange(address, message(request_id, name, wait_ms, **fields)), wait_ms / 1000 + 1
        )
    except ConnectionRefusedError:
        status, body = -1, "refused connection"
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        status, body = 0, f"no answer: {type(error).__name__}"
    record.add("gateway", "got", request_id, status, body)
    return status, body


def new_id():
    """Return a request id: 16 hex digits."""
    return f"{random.getrandbits(64):016x}"


@contextlib.asynccontextmanager
async def site(record, engine, database, settings_, stop_ms=3200):
    """Start the peers and a server among them; kill the server at the end."""
    names = Names()
    for peer in (engine, database, names):
        await peer.start()
    with tempfile.TemporaryDirectory() as folder:
        server = Server(
            folder,
            configuration(engine.address, database.address, names.address, settings_, stop_ms),
        )
        await server.start()
        try:
            yield server
        finally:
            server.end()
            await server.process.wait()


async def load(record, engine, server, names, rate, seconds):
    """Send requests of these classes as gateways do; return status and body of each, by id."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    answers = {}

    async def one():
        request_id = new_id()
        answers[request_id] = await call(record, server.listen, request_id, random.choice(names))
        engine.answered(request_id)

    tries = []
    while loop.time() < until:
        tries.append(asyncio.create_task(one()))
        await asyncio.sleep(random.expovariate(rate))
    await asyncio.gather(*tries)
    return answers


async def breaks(engine, every):
    """Break the engine's link again and again, every so many seconds on average."""
    while True:
        await asyncio.sleep(every * random.uniform(0.8, 1.2))
        engine.cut()


def main(folder, play):
    """Play a case: `play` gets the record and whether there is trouble, and returns the status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes on the way out
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return asyncio.run(play(record, trouble))
    except (OSError, TimeoutError) as error:
        record.add("could not run:", type(error).__name__, error)
        return 2

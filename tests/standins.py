"""Test doubles, on loopback, for the peers of a real server, and the runner of socket scenarios."""

import contextlib
import json
import os
import pathlib
import queue
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

import msgspec

from gullyoke.experiments.ports import free

ROOT = pathlib.Path(__file__).parent.parent
TIMEOUT_S = 20  # seconds before an expected event counts as missing
REQUEST_CLASSES = (
    ("view", "repeatable", 1.0, True, 0.3),
    ("book", "by_key", 2.0, False, 0.0),
    ("pay", "once", 3.0, True, 0.0),
)


def site(**over):
    """The `settings` part of a configuration; `over` replaces some of its values."""
    values = {
        "timeout": 60_000,
        "target": 20_000,
        "fresh": 0,
        "grace": 1000,
        "idle": 30_000,
        "cores": 2,
        "stop": "off",
        "window": 5000,
        "classes": "",
    }
    values.update({key: over[key] for key in values if key in over})
    profiles = [
        {
            "Name": values["classes"] + name,
            "ObjectiveUs": int(values["target"] * 1000),
            "DeadlineUs": int(values["timeout"] * 1000),
            "Importance": value,
            "Semantics": kind,
            "LateWorth": 0.2,
            "KeyTtlUs": int(values["window"] * 1000),
        }
        for name, kind, value, _, _ in REQUEST_CLASSES
    ]
    info = {
        "Cores": int(values["cores"]),
        "MemoryKb": 1e6,
        "Blowup": 4.0,
        "KeyKb": 10.0,
        "FreshStart": False,
        "StopMode": values["stop"],
        "OwnStats": ["core_use", "on_cores", "heap_share", "links"],
        "CallsByClass": [h[3] for h in REQUEST_CLASSES],
        "ClassSkipWorth": [h[4] for h in REQUEST_CLASSES],
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
        "CallerIdleUs": int(values["idle"] * 1000),
        "FreshForUs": int(values["fresh"] * 1000),
        "Callers": 3,
    }
    rules = {
        "AnswerSlackUs": 80_000,
        "DrainGraceUs": int(values["grace"] * 1000),
        "TipMultiple": 8.0,
        "TipAfterUs": 1_500_000,
        "StartCapacity": 0.25,
        "ColdUs": 10_000_000,
    }
    return {
        "Profiles": profiles,
        "FamilyInfo": info,
        "Rules": rules,
        "FleetSize": 3,
        "WorthBy": "request",
        "Orgs": [],
        "Permissions": {"RetryAfter": True, "MaxRetryAfterUs": 1_000_000},
    }


def request_id(name):
    return name.encode().hex().rjust(16, "0")


def named(word):
    with contextlib.suppress(ValueError, UnicodeDecodeError):
        if len(word) == 16:
            return bytes.fromhex(word).lstrip(b"\0").decode()
    return word


def message(name, request_class, length="", scgi=False, of=None, **fields):
    """A gateway's request, as bytes; header fields with the value 'no' are left out.

    `of` names the first attempt that this request retries: a retry carries the same body.
    """
    body = f"body of {of or name}".encode()
    if scgi:
        fields |= {"Content-Length": "no"}
    given = {
        "Trace-Id": request_id(name),
        "Accepted-At-Ms": str(int(time.time() * 1000)),
        "Client-No": "1",
        "Reserve-Kb": "10.0",
        "Max-Wait-Ms": "60000",
        "Standing": "0.5",
        "Content-Length": length or str(len(body)),
    } | fields
    if scgi:
        headers = {
            "CONTENT_LENGTH": length or str(len(body)),
            "SCGI": "1",
            "REQUEST_METHOD": "POST",
            "REQUEST_URI": f"/call/{request_class}?x=1",
        }
        headers |= {"HTTP_" + k.upper().replace("-", "_"): v for k, v in given.items() if v != "no"}
        return netstring(headers) + body
    head = "".join(f"{key}: {value}\r\n" for key, value in given.items() if value != "no")
    return f"POST /call/{request_class} HTTP/1.1\r\nHost: origin.svc\r\n{head}\r\n".encode() + body


def netstring(headers):
    block = "".join(f"{key}\0{value}\0" for key, value in headers.items()).encode()
    return f"{len(block)}:".encode() + block + b","


class StandIn:
    """A peer that listens and records what it receives.

    `heard` queues the received messages; `links` lists the accepted connections.
    """

    def __init__(self):
        self.heard, self.links, self.listener, self.address = (
            queue.Queue(),
            [],
            None,
            ("127.0.0.1", 0),
        )
        # `joined`: the numbers of ATTACH. `carries`: by request name, the links it came on.
        self.joined, self.carries = queue.Queue(), {}
        self.up()

    def up(self):
        self.listener = socket.create_server(self.address)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def down(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.drop()

    def move(self):
        """Listen on another address; connections accepted on the old one stay open."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.address = ("127.0.0.1", 0)
        self.up()

    def drop(self):
        for link in self.links:
            with contextlib.suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)
            link.close()
        self.links.clear()

    def accept(self, listener):
        with contextlib.suppress(OSError):
            while True:
                link = listener.accept()[0]
                link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.links.append(link)
                threading.Thread(target=self.read, args=(link,), daemon=True).start()

    def read(self, link):
        with contextlib.suppress(OSError, ValueError), link.makefile("rb") as file:
            for line in file:
                self.message(link, file, line.decode("latin-1").split())

    def message(self, link, file, words):
        size = int(words[-1]) + 2 if words[0] in ("RUN", "FEED", "Q") else 0
        self.carries.setdefault(named(words[1]), []).append(link)
        self.heard.put([words[0], named(words[1]), file.read(size)[:-2].decode("latin-1"), link])

    def say(self, text, link=None):
        (link or self.links[-1]).sendall(text.encode("latin-1"))


class Engine(StandIn):
    """An engine that answers STAT by itself, and ATTACH once `state` is set.

    While `silent`, it answers no STAT, so that nothing shows which commands it has read.
    """

    def __init__(self):
        self.silent = False
        self.state, self.notices, self.beats, self.needs = None, 0, threading.Semaphore(0), {}
        super().__init__()

    def message(self, link, file, words):
        if words[0] == "STAT":
            if not self.silent:
                self.say(f"STATS {words[1]} 0.5 1 0.1 3\r\n", link)
                self.beats.release()
        elif words[0] == "ATTACH":
            self.silent = False
            self.joined.put(words[1])
            if self.state:
                self.say(f"HELLO {self.state} 5000\r\n", link)
        elif words[0] == "SKIP":
            self.heard.put([words[0], named(words[1]), words[2], link])
        else:
            super().message(link, file, words)

    def beat(self):
        """Wait for two more STAT messages: the engine has then read all that was sent before."""
        while self.beats.acquire(blocking=False):
            pass
        for _ in range(2):
            assert self.beats.acquire(timeout=TIMEOUT_S), "no wake-up"


class Busy(Engine):
    """An engine that completes runs by itself.

    It executes `cores` runs at a time, `span` seconds each, in order of arrival.
    """

    def __init__(self, cores, span):
        self.cores, self.span, self.tasks, self.there = cores, span, queue.SimpleQueue(), 0
        self.lock = threading.Lock()
        super().__init__()
        self.state = "warm"
        for _ in range(cores):
            threading.Thread(target=self.work, daemon=True).start()

    def message(self, link, file, words):
        if words[0] == "RUN":
            file.read(int(words[-1]) + 2)
            with self.lock:
                self.there += 1
            self.tasks.put(words[1])
        elif words[0] == "STAT":
            with self.lock:
                self.say(
                    f"STATS {words[1]} {min(1.0, self.there / self.cores)} {self.there} 0.1 9\r\n",
                    link,
                )
        else:
            super().message(link, file, words)

    def work(self):
        while True:
            name = self.tasks.get()
            time.sleep(self.span)
            with self.lock, contextlib.suppress(OSError, IndexError):
                self.complete(name)

    def complete(self, name):
        """Report the end of a run; called under the lock."""
        self.there -= 1
        self.notices += 1
        self.say(f"DONE {self.notices} {name} ok 10 4\r\nfine\r\n")


class ServiceRegistry(StandIn):
    def message(self, link, file, words):
        while line := file.readline().strip():
            words += line.decode().split()
        body = file.read(int(words[-1])).decode()
        self.heard.put([words[1], json.loads(body)["serving"], "", link])
        self.say("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", link)


class BackEnd(StandIn):
    """An SCGI application server: one request a connection, answered as the scenario says."""

    def read(self, link):
        with contextlib.suppress(OSError, ValueError), link.makefile("rb") as file:
            size = b""
            while (byte := file.read(1)).isdigit():
                size += byte
            parts = file.read(int(size) + 1)[:-2].decode().split("\0")
            headers = dict(zip(parts[::2], parts[1::2], strict=True))
            body = file.read(int(headers["CONTENT_LENGTH"])).decode()
            name = named(headers["HTTP_TRACE_ID"])
            self.carries.setdefault(name, []).append(link)
            self.heard.put([name, body, headers, link])
            if not file.read(1):  # the server closed the connection
                self.joined.put(name)

    def answer(self, name, text):
        link = self.carries[name][-1]
        self.say(text, link)

    def end(self, name, broken=False):
        link = self.carries[name][-1]
        if broken:
            link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            link.close()
        with contextlib.suppress(OSError):
            link.shutdown(socket.SHUT_RDWR)


class Sockets:
    """Runs a scenario on one real server; tests/README.md has the notation."""

    def __init__(self):
        self.wanted, self.backends, self.folder = [], {}, tempfile.TemporaryDirectory()
        self.operator = pathlib.Path(self.folder.name, "operator.textproto")
        self.scgi, self.listen = free(), free()
        self.engine, self.db, self.naming = Engine(), StandIn(), ServiceRegistry()
        self.root, self.rest, self.latest, self.pooled, self.rows = ROOT, {}, {}, [], None
        self.given, self.gateways, self.process, self.lines, self.config = {}, {}, None, [], None
        self.firsts = {}  # by idempotency key, the name of the first attempt
        self.held = False  # whether reading the configuration waits for `release`

    def close(self):
        for peer in (self.engine, self.db, self.naming, *self.backends.values()):
            peer.down()
        for conn, _ in self.gateways.values():
            conn.close()
        if self.process:
            self.process.kill()
            self.process.wait()
            os.unlink(self.config)
        self.folder.cleanup()

    def start(self):
        if not self.held:
            self.configure_file()
        files = int(self.given.get("files", 1024))
        serve = ["serve", "--operator", str(self.operator)]
        extra = [".cli", *serve] if self.wanted or self.rows else [""]
        if "disk" in self.given:
            extra = [".fault_testing.faulty", f"{self.folder.name}/faults", *serve]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gullyoke" + extra[0], *extra[1:]],
            cwd=self.root,
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"NODE_CONFIG": self.config},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (files, files)),
        )
        threading.Thread(target=self.collect, args=(self.process,), daemon=True).start()
        if self.held:
            self.eventually(self.blocks_sigterm, "SIGTERM blocked")
        else:
            self.said("event=started")

    def blocks_sigterm(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("SigBlk:")[2].split()[0], 16) >> (signal.SIGTERM - 1) & 1

    def configure_file(self):
        """Write the configuration file, which `close` deletes once the server was started."""
        if self.config is None:
            self.config = tempfile.mkstemp(".json")[1]
        self.configure()

    def configure(self):
        pool = (
            ""
            if self.rows is None
            else "backends {{\n{}\n}}".format(
                "\n".join([self.row(*row) for row in self.rows] + self.pooled)
            )
        )
        self.operator.write_text("\n".join([*self.wanted, pool]))
        at = "{}:{}".format
        config = {
            "name": self.given.get("name", "n3"),
            "listen": at(*self.listen),
            "engine": at(*self.engine.address),
            "naming": at(*self.naming.address),
            "db": at(*self.db.address),
            "seed": "8c1f30d27a5be964",
            "stop_ms": int(self.given.get("stop_ms", 1500)),
            "settings": site(**self.given),
            "limits": {
                "cores": 1.0,
                "memory_mb": 192,
                "sockets": int(self.given.get("sockets", 1024)),
            },
        }
        pathlib.Path(self.config).write_text(json.dumps(config))

    def collect(self, process):
        with process.stderr:
            for line in process.stderr:
                self.lines.append(line)

    def said(self, text):
        """Wait for a log line that contains the text."""
        self.eventually(
            lambda: next((x for x in self.lines if text in x), None), f"'{text}' in the log"
        )

    @staticmethod
    def eventually(ask, what):
        until = time.monotonic() + TIMEOUT_S
        while not ask():
            assert time.monotonic() < until, f"never came: {what}"
            time.sleep(0.01)

    def line(self, parts):
        who, rest = parts[0], parts[1:]
        if who == "site":
            for key, value in (p.split("=", 1) for p in rest):
                self.given[key] = float(value) if value.replace(".", "", 1).isdigit() else value
            return
        if who == "operator":
            text = " ".join(rest).replace("SCGI_AT", "{}:{}".format(*self.scgi))
            text = text.replace("STORE_AT", f"{self.folder.name}/store")
            self.wanted.append(text.replace("UNIX_AT", f"unix:{self.folder.name}/scgi.sock"))
            return
        if who == "pool":
            self.pooled.append(" ".join(rest))
            return
        if who == "backends":  # the back ends to use from now on; new ones are started
            self.rows = [name.split(",") for name in rest]
            for name, *_ in self.rows:
                if name not in self.backends:
                    self.backends[name] = BackEnd()
            return
        if who == "disk":
            self.at_disk(*rest)
            return
        if who == "hold":
            self.hold()
            return
        if self.process is None:
            self.start()
        if who.rstrip("<").isdigit() or (who.rstrip("<")[1:].isdigit() and who[0] in "su"):
            self.gateway(who, rest)
        elif who in ("b*>", "b*"):
            self.any_backend(who, rest)
        elif who.rstrip(">") in self.backends:
            self.backend(self.backends[who.rstrip(">")], who, rest)
        elif who.endswith(">"):
            peer = {"engine>": self.engine, "db>": self.db, "naming>": self.naming}[who]
            got = peer.heard.get(timeout=TIMEOUT_S)[:3]
            assert got[: len(rest)] == rest or [*got[:2], *got[2].split()] == rest, f"heard {got}"
        else:
            getattr(self, f"at_{who}")(*rest)

    def row(self, name, *more):
        extra = " ".join(x.replace("=", ": ") for x in more)
        return f'backend {{ address: "127.0.0.1:{self.backends[name].address[1]}" {extra} }} '

    # The peers.

    def any_backend(self, who, rest):
        """A step at whichever back end received the request."""
        if who == "b*>":

            def asked():
                return [b for b in self.backends.values() if not b.heard.empty()]

            self.eventually(asked, f"{rest[0]} at a back end")
            self.latest[rest[0]] = asked()[0]
        self.backend(self.latest[rest[0 if who == "b*>" else 1]], who, rest)

    def backend(self, one, who, rest):
        if who.endswith(">"):
            got = one.heard.get(timeout=TIMEOUT_S)
            assert got[0] == rest[0], f"heard {got}"
            for key, mark, value in (x.partition("=") for x in rest[1:]):
                assert got[2].get(key) == value if mark else key in got[2], f"headers {got[2]}"
            return
        verb, name = rest[0], rest[1] if len(rest) > 1 else None
        text = " ".join(rest[2:])
        if verb == "done":
            one.answer(name, f"Status: 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}")
        elif verb == "raw":
            one.answer(name, text.encode().decode("unicode_escape"))
        elif verb == "flood":
            with contextlib.suppress(OSError):
                one.answer(name, "x" * int(text))
        elif verb in ("end", "reset"):
            one.end(name, verb == "reset")
        elif verb == "closed":
            assert one.joined.get(timeout=TIMEOUT_S) == name
        elif verb == "none":
            time.sleep(0.15)
            assert one.heard.empty(), f"heard {one.heard.get()[:2]}"
        else:
            self.peer(one, verb, rest[1:])

    def at_engine(self, verb, *rest):
        engine = self.engine
        if verb == "up":
            assert engine.joined.get(timeout=TIMEOUT_S) is not None
            engine.state = rest[0]
            engine.say(f"HELLO {engine.state} 5000\r\n")
            self.said("event=serving")
        elif verb == "attached":
            got = engine.joined.get(timeout=TIMEOUT_S)
            assert got == rest[0], f"attached at {got}"
        elif verb == "silent":
            engine.silent = True
        elif verb == "none":
            engine.beat()
            assert engine.heard.empty(), f"heard {engine.heard.get()[:3]}"
        elif verb in ("need", "done", "redone"):
            engine.notices += verb != "redone"
            text = " ".join(rest[1 if verb == "need" else 2 :])
            tail = f"{len(text)}\r\n{text}\r\n"
            if verb == "need":
                engine.say(f"NEED {engine.notices} {request_id(rest[0])} {tail}")
            else:
                engine.say(f"DONE {engine.notices} {request_id(rest[0])} {rest[1]} 12 {tail}")
        else:
            self.peer(engine, verb, rest)

    def at_db(self, verb, *rest):
        if verb in ("ROWS", "FULL", "FAIL", "TIMEOUT", "NONE"):
            text = " ".join(rest[1:])
            tail = f" {len(text)}\r\n{text}" if verb == "ROWS" else ""
            self.db.say(f"{request_id(rest[0])} {verb}{tail}\r\n", self.db.carries[rest[0]][-1])
        elif verb in ("on", "before"):
            text = (
                " ".join(rest[1:])
                .replace("ID", request_id(rest[0]))
                .encode()
                .decode("unicode_escape")
            )
            self.db.say(text, self.db.carries[rest[0]][-1 if verb == "on" else -2])
        else:
            self.peer(self.db, verb, rest)

    def at_naming(self, verb, *rest):
        self.peer(self.naming, verb, rest)

    def peer(self, peer, verb, rest):
        if verb == "raw":
            peer.say(" ".join(rest).encode().decode("unicode_escape"))
        else:
            {"down": peer.down, "drop": peer.drop, "back": peer.up}[verb]()

    # The process.

    def at_ping(self, status):
        with socket.create_connection(self.listen, TIMEOUT_S) as conn, conn.makefile("rb") as file:
            conn.sendall(b"GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
            got = file.readline().split()[1].decode()
        assert got == status, f"check answered {got}"

    def at_leave(self):
        self.process.send_signal(signal.SIGTERM)

    def at_reload(self, *peers):
        """Reload a configuration with new addresses for these peers; `torn` truncates its file."""
        for name in peers:
            if name != "torn":
                {"engine": self.engine, "db": self.db, "naming": self.naming}[name].move()
        self.configure()
        if "torn" in peers:
            os.truncate(self.config, 100)
        self.process.send_signal(signal.SIGHUP)

    def hold(self):
        """Let the server wait in the start, or in a reload that begins now, for `release`.

        Its configuration becomes a named pipe that nobody has written yet.
        """
        self.configure_file()
        self.text = pathlib.Path(self.config).read_text()
        os.unlink(self.config)
        os.mkfifo(self.config)
        self.held = True
        if self.process:
            self.process.send_signal(signal.SIGHUP)

    def at_release(self):
        pathlib.Path(self.config).write_text(self.text)
        self.held = False

    def at_wait(self, ms):
        """Let a time pass, for scenarios about a time limit of the server."""
        time.sleep(int(ms) / 1000)

    def at_pause(self):
        self.process.send_signal(signal.SIGSTOP)

    def at_resume(self):
        self.process.send_signal(signal.SIGCONT)

    def at_exit(self, code):
        assert self.process.wait(TIMEOUT_S) == int(code), self.process.returncode

    def at_kill(self):
        self.process.kill()
        self.process.wait()
        self.engine.drop()
        self.process, self.engine.state, self.engine.notices = None, None, 0
        self.lines.clear()

    def at_disk(self, *words):
        """Set the disk faults from now on, or change the store folder itself."""
        store = pathlib.Path(self.folder.name, "store")
        if words[0] == "lost":
            store.rename(store.with_name(f"lost{time.monotonic_ns()}"))
        elif words[0] == "made":
            store.mkdir()
        elif words[0] == "limit":  # largest file in bytes that the system allows
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (int(words[1]), -1))
        elif words[0] == "records":  # all without a body digest, or two more that can't be read
            self.change_records(store, words[1])
        elif words[0] == "mark":  # a store of another server's name or of a later format
            from gullyoke.storage import StorageFolder, Store

            files = StorageFolder(store / "keys")
            Store(files).put([("mark", msgspec.msgpack.encode([int(words[1]), words[2], 1, 0]))])
            files.close()
        else:
            pathlib.Path(self.folder.name, "faults").write_text(" ".join(words))

    @staticmethod
    def change_records(store, how):
        from gullyoke.storage import StorageFolder, Store

        files = StorageFolder(store / "keys")
        keys = Store(files)
        if how == "undigested":
            rows = [(k, msgspec.msgpack.decode(v)) for k, v in keys.items() if k[0] == "n"]
            keys.put([(key, msgspec.msgpack.encode(values[:7])) for key, values in rows])
        else:
            keys.put([("nspoilt", b"\xc1"), ("nlater", msgspec.msgpack.encode([2] * 9))])
        files.close()

    def at_log(self, *words):
        self.said(" ".join(words))

    def counters(self):
        """Ask the server to log its counters; return the last ones logged, by name."""
        self.process.send_signal(signal.SIGUSR1)
        time.sleep(0.05)
        last = next((x for x in reversed(self.lines) if "event=counters" in x), "")
        return dict(pair.split("=", 1) for pair in last.split() if "=" in pair)

    def at_counter(self, name, wanted):
        self.eventually(
            lambda: self.counters().get(name) == wanted,
            f"{name}={wanted} in {[x for x in self.lines if 'counters' in x][-1:]}",
        )

    def at_ended(self, wanted, peer="gateway"):
        """Wait until this many connections of gateways, or of another peer, have ended.

        Those that were refused never began.
        """

        def ask():
            return sum(
                int(n)
                for name, n in self.counters().items()
                if name.startswith(f"ends_{peer}_") and name != f"ends_{peer}_refused"
            )

        self.eventually(lambda: ask() == int(wanted), f"{wanted} connections ended")

    # The gateways.

    def at_crowd(self, count):
        for i in range(int(count)):
            self.gateways[f"crowd{i}"] = socket.create_connection(self.listen, TIMEOUT_S), None

    def at_swarm(self, kind, count, request_class):
        """Open `count` connections with a request on each; ignore those that the server refuses."""
        for i in range(int(count)):
            with contextlib.suppress(OSError):
                self.gateway(f"{kind}{1000 + i}", ["read", f"w{i}", request_class])

    def at_each(self, count, verb, what, *rest):
        """On connections 1 to `count`, send a request on each or check the answer of each."""
        for i in range(1, int(count) + 1):
            self.gateway(
                str(i) if verb == "read" else f"{i}<",
                ["read", f"e{i}", what, *rest] if verb == "read" else [what],
            )

    def at_uncrowd(self):
        for name in [x for x in self.gateways if x.startswith("crowd")]:
            self.gateways.pop(name)[0].close()

    def gateway(self, who, rest):
        number = who.rstrip("<")
        if number not in self.gateways:
            if number[0] == "u":
                conn = socket.socket(socket.AF_UNIX)
                conn.settimeout(TIMEOUT_S)
                conn.connect(f"{self.folder.name}/scgi.sock")
            else:
                conn = socket.create_connection(
                    self.scgi if number[0] == "s" else self.listen, TIMEOUT_S
                )
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.gateways[number] = conn, conn.makefile("rb")
        conn, file = self.gateways[number]
        if who.endswith("<"):
            self.answered(file, rest)
        elif rest[0] in ("read", "torn", "stuck"):
            fields = dict(p.split("=", 1) for p in rest[3:])
            if "age" in fields:
                fields["Accepted-At-Ms"] = str(int(time.time() * 1000) - int(fields.pop("age")))
            if "Replay-Key" in fields:
                fields["of"] = fields.get("of") or self.firsts.setdefault(
                    fields["Replay-Key"], rest[1]
                )
            data = message(*rest[1:3], scgi=not number.isdigit(), **fields)
            self.rest[number] = data[-3:]
            for i in range(len(data)) if rest[0] == "torn" else ():
                conn.sendall(data[i : i + 1])
            if rest[0] != "torn":
                conn.sendall(data if rest[0] == "read" else data[:-3])
        elif rest[0] == "raw":
            with contextlib.suppress(OSError):  # the server may close before it has read all of it
                conn.sendall(" ".join(rest[1:]).encode().decode("unicode_escape").encode("latin-1"))
        elif rest[0] == "rest":  # the bytes that `stuck` held back
            conn.sendall(self.rest[number])
        elif rest[0] == "flood":
            with contextlib.suppress(OSError):
                conn.sendall(b"x" * int(rest[1]))
        elif rest[0] == "half":
            conn.shutdown(socket.SHUT_WR)
        elif rest[0] in ("close", "reset"):
            if rest[0] == "reset":
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            file.close()
            conn.close()
            del self.gateways[number]
        elif rest[0] != "open":
            raise AssertionError(f"unknown '{rest[0]}'")

    def answered(self, file, wanted):
        """Check the answer: STATUS [BODY...] [+field[=value]...], `any`, or `end` for a close."""
        try:
            first = file.readline().split()
        except ConnectionResetError:
            first = []
        if wanted == ["end"]:
            assert not first, f"answered {first}"
            return
        assert first, "no answer"
        fields = {}
        while line := file.readline().strip().decode():
            key, _, value = line.partition(": ")
            fields[key.lower()] = value
        body = file.read(int(fields["content-length"])).decode()
        got = first[1].decode()
        if wanted == ["any"]:
            return
        assert got == wanted[0], f"answered {got} {body}"
        assert [x for x in wanted[1:] if x[0] != "+"] == body.split(), f"body '{body}'"
        for mark in (x[1:].partition("=") for x in wanted[1:] if x[0] == "+"):
            assert mark[0] in fields and mark[2] in ("", fields[mark[0]]), f"fields {fields}"

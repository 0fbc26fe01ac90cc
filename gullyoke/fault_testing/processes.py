"""The members of a fault test.

Real processes of this program on loopback, each with its own engine.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter

from gullyoke.emulator.day import Day
from gullyoke.experiments import usage
from gullyoke.experiments.ports import free
from gullyoke.experiments.world import Database, Engine, Names, Peer, config, good
from gullyoke.fault_testing.script import Script
from gullyoke.fault_testing.standins import BackEnd, Below, Resource

DUTY = "play"  # the application's singleton task in fault tests
UNIQUED = "set"  # the class of the requests with idempotency keys
STARTUP_TIMEOUT_S = 20.0  # seconds until a started process has to answer its health check


def text(address: tuple[str, int]) -> str:
    """Return an address as `HOST:PORT`."""
    return "{}:{}".format(*address)


class Counting(Engine):
    """An engine that counts the runs of each request, and of each key in `keyed`.

    `keyed` covers all engines of a member, since no key may run twice. The requests of a key have
    the same id except for the last three bits.
    """

    def __init__(self, cores: int, calls: set[str], keyed: Counter[int]) -> None:
        self.begun: dict[str, int] = {}
        self.keyed = keyed
        super().__init__(cores, calls)

    def message(self, link, file, words: list[str]) -> None:
        """Count a run and pass the message on to the engine."""
        if words[0] == "RUN":
            self.begun[words[1]] = self.begun.get(words[1], 0) + 1
            if words[2] == UNIQUED:
                self.keyed[int(words[1], 16) >> 3] += 1
        super().message(link, file, words)


class Process:
    """One member; its addresses stay the same over restarts."""

    def __init__(
        self, name: str, script: Script, day: Day, folder: pathlib.Path, shared: Shared
    ) -> None:
        self.name, self.script, self.day, self.folder = name, script, day, folder
        self.shared, self.homes = shared, {}  # addresses of the lenders, by name
        self.voters: dict[str, str] = {}
        self.set = 1  # the number of the set of voters
        self.listen, self.status, self.members = free(), free(), free()
        self.faults = (
            folder / f"{name}-faults"
        )  # selects the disk faults (gullyoke/fault_testing/faulty.py)
        self.advertised = self.members
        self.seeds: list[str] = []
        self.engine: Counting | None = None
        self.child: subprocess.Popen | None = None
        self.starts, self.codes = 0, []
        self.keyed: Counter[int] = Counter()  # runs by key; not bounded, as a fault test is short
        self.lines: list[dict] = []  # parsed log lines in order; not bounded either
        self.asked_to_end = False
        self.checkouts: tuple[pathlib.Path, ...] = ()
        """Checkouts of the program, one per start in order; empty for the present one."""

    def checkout(self) -> pathlib.Path | None:
        """Return the checkout for the present start; further starts use the last one."""
        return self.checkouts[min(self.starts, len(self.checkouts)) - 1] if self.checkouts else None

    def operator(self) -> pathlib.Path:
        """Write the operator's file of the member and return its path."""
        path = self.folder / f"{self.name}.textproto"
        seeds = "\n".join(f'  seed: "{seed}"' for seed in self.seeds)
        store = self.folder / f"{self.name}-store"
        store.mkdir(exist_ok=True)
        path.write_text(
            f'log {{ form: JSON }}\nstore {{ folder: "{store}" quota_mb: 1 {self.keys()}}}\n'
            f'fleet {{\n  name: "rig"\n  listen: "{text(self.members)}"\n'
            f'  advertise: "{text(self.advertised)}"\n{seeds}\n  zone: "{self.script.zone(self.name)}"\n'
            f'  key_file: "{self.folder}/key"\n  status: "{text(self.status)}"\n'
            f"  size: true\n  heed: true\n{self.shares()}}}\n{self.pool()}{self.duties()}"
        )
        return path

    def keys(self) -> str:
        """Return the settings of idempotency keys."""
        if not self.script.uniqued:
            return ""
        return f"keys {{ without: {'GO_ON' if self.script.go_on else 'SHED'} }} "

    def shares(self) -> str:
        """Return the settings of the shared slots."""
        homes = "".join(
            f'    home {{ name: "{name}" address: "{at}" }}\n' for name, at in self.homes.items()
        )
        return (
            f"  shares {{\n{homes}    slots: {self.script.slots} largest: {self.script.members}\n  }}\n"
            if self.script.slots
            else ""
        )

    def duties(self) -> str:
        """Return the settings of singleton tasks; creates their folder."""
        if not self.script.voters:
            return ""
        voters = "".join(
            f'  voter {{ name: "{name}" address: "{at}" }}\n' for name, at in self.voters.items()
        )
        folder = self.folder / f"{self.name}-duties"
        folder.mkdir(exist_ok=True)
        more = "  book: true\n  ask: true\n" if self.script.slots else ""
        own = f'name: "{DUTY}" address: "{self.shared.resource.address}" every_ms: 100'
        return (
            f"duties {{\n{voters}  set: {self.set}\n"
            f'  lease_ms: {self.script.lease_ms:g}\n  folder: "{folder}"\n'
            f"  roll: true\n  record: true\n{more}  duty {{ {own} }}\n}}\n"
        )

    def pool(self) -> str:
        """Return the settings of the back ends."""
        if not self.shared.back_ends:
            return ""
        back_ends = "".join(
            f'  backend {{ address: "{text(b.address)}" zone: "z{i % self.script.zones}" }}\n'
            for i, b in enumerate(self.shared.back_ends.values())
        )
        subset = f"  subset: {self.script.subset}\n" if self.script.subset else ""
        return f"backends {{\n{subset}{back_ends}}}\n"

    def start(self) -> None:
        """Start the engine and the process, unless the process is running."""
        if self.child is not None and self.child.poll() is None:
            return
        self.engine = Counting(
            self.day.machines.cores, {w.name for w in self.day.works if w.calls}, self.keyed
        )
        self.starts += 1
        seed = random.Random(f"{self.script.seed} {self.name} {self.starts}").getrandbits(64)
        path = self.folder / f"{self.name}.json"
        path.write_text(
            config(
                self.name,
                self.listen,
                (self.engine, self.shared.below, self.shared.names),
                self.day,
                seed,
                stop_ms=1500,
                sockets=2048,
            )
        )
        self.asked_to_end = False
        command = (
            ["gullyoke.fault_testing.faulty", str(self.faults)]
            if self.script.faulty()
            else ["gullyoke.cli"]
        )
        self.child = subprocess.Popen(
            [sys.executable, "-m", *command, "serve", "--operator", str(self.operator())],
            stderr=subprocess.PIPE,
            text=True,
            cwd=self.checkout(),
            env=os.environ | {"NODE_CONFIG": str(path)},
        )
        threading.Thread(target=self.collect, args=(self.child,), daemon=True).start()

    def collect(self, child: subprocess.Popen) -> None:
        """Append the log lines of a process to `lines` until it ends."""
        with child.stderr:
            for line in child.stderr:
                try:
                    self.lines.append(json.loads(line))
                except ValueError:  # plain text of a process that could not start
                    self.lines.append({"event": line.strip()})

    def up(self) -> bool:
        """Return whether the process is running."""
        return self.child is not None and self.child.poll() is None

    def wait(self) -> None:
        """Wait until the process answers its health check. Raises `ChildProcessError`."""
        until = time.monotonic() + STARTUP_TIMEOUT_S
        while not good(self.listen):
            if time.monotonic() > until or not self.up():
                code = self.child.poll()
                raise ChildProcessError(
                    f"{self.name} did not start, exit code {code}: {self.lines[-3:]}"
                )
            time.sleep(0.05)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.up():
            self.child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and close its engine."""
        self.asked_to_end = True
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()
        if self.engine is not None:
            self.engine.close()
            if self.engine.link is not None:  # unset where the process never connected
                with contextlib.suppress(OSError):
                    self.engine.link.close()

    def stop(self) -> None:
        """Request a graceful shutdown without waiting for it."""
        self.asked_to_end = True
        self.signal(signal.SIGTERM)

    def end(self) -> None:
        """Shut the process down, and kill it after 4 s."""
        self.asked_to_end = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.child is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.child.wait(4)
        self.kill()

    def cpu(self) -> float:
        """Return the processor time used so far, in seconds."""
        return usage.cpu(self.child.pid)

    def resident(self) -> float:
        """Return the resident memory in MB."""
        return usage.resident(self.child.pid) / 1024

    def disk(self, how: str, *more: str) -> None:
        """Apply a disk fault.

        `lost` moves the folder of singleton tasks away, so that the next start creates a new one;
        `ill` makes writes to files fail; `well` ends faults; `copied` backs up the store and
        `restored` puts the backup in its place while the process is down. All other words are
        faults of gullyoke/fault_testing/faulty.py for all folders.
        """
        store, copy = self.folder / f"{self.name}-store", self.folder / f"{self.name}-copy"
        if how == "copied":
            shutil.copytree(store, copy)
            return
        if how == "restored":
            shutil.rmtree(store)
            shutil.copytree(copy, store)
            return
        self.faults.write_text("well" if how in ("lost", "ill") else " ".join((how, *more)))
        folder = self.folder / f"{self.name}-duties"
        if how == "lost":
            folder.rename(self.folder / f"{self.name}-duties-{self.starts}")
        elif how == "ill":
            limit = 0 if self.up() else resource.RLIM_INFINITY
            resource.prlimit(self.child.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))
        elif how == "well" and self.up():
            resource.prlimit(self.child.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY,) * 2)

    def asked(self, what: str) -> dict | None:
        """Send a command to the status address; return the reply, or None without one."""
        try:
            with socket.create_connection(self.status, 0.5) as conn:
                conn.settimeout(0.5)
                conn.sendall(f"{what}\n".encode())
                with conn.makefile("rb") as file:
                    return json.loads(file.read())
        except (OSError, ValueError):
            return None


class Shared:
    """The stand-ins that all members share; back ends by name."""

    def __init__(self, script: Script) -> None:
        self.below: Peer = Below(script.call_ms / 1000) if script.slots else Database()
        self.names, self.resource = Names(), Resource()
        self.back_ends = {
            f"b{i}": BackEnd(f"b{i}", script.work_ms / 1000) for i in range(script.backends)
        }

    def close(self) -> None:
        """Close all stand-ins."""
        for one in (self.below, self.names, self.resource, *self.back_ends.values()):
            one.close()

"""The members of a play.

Real processes of this program, each with an engine of its own, on loopback.
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

DUTY = "play"  # the application's duty that plays have
UNIQUED = "set"  # the class of the reqs with keys
COME_UP = 20.0  # seconds for a process to answer its check


def text(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


class Counting(Engine):
    """Counts how often each req was begun, and by `keyed` each key, over all engines of a member:
    twice would be a rule broken. A key's reqs have all but the last three bits of their ids in
    common.
    """

    def __init__(self, cores: int, calls: set[str], keyed: Counter[int]) -> None:
        self.begun: dict[str, int] = {}
        self.keyed = keyed
        super().__init__(cores, calls)

    def message(self, link, file, words: list[str]) -> None:
        if words[0] == "RUN":
            self.begun[words[1]] = self.begun.get(words[1], 0) + 1
            if words[2] == UNIQUED:
                self.keyed[int(words[1], 16) >> 3] += 1
        super().message(link, file, words)


class Process:
    """One member: its addresses stay the same over restarts."""

    def __init__(
        self, name: str, script: Script, day: Day, folder: pathlib.Path, shared: Shared
    ) -> None:
        self.name, self.script, self.day, self.folder = name, script, day, folder
        self.shared, self.homes = shared, {}  # addresses of those who lend, by name
        self.voters: dict[str, str] = {}
        self.set = 1  # the number of that set of voters
        self.listen, self.status, self.members = free(), free(), free()
        self.faults = (
            folder / f"{name}-faults"
        )  # what its disks do (gullyoke/fault_testing/faulty.py)
        self.advertised = self.members
        self.seeds: list[str] = []
        self.engine: Counting | None = None
        self.child: subprocess.Popen | None = None
        self.starts, self.codes = 0, []
        self.keyed: Counter[int] = Counter()  # runs by key; a play is short
        self.lines: list[dict] = []  # the log's, as they came; a play is short
        self.asked_to_end = False
        self.checkouts: tuple[pathlib.Path, ...] = ()
        """Checkouts of the program that its starts run, in turn; empty for the present one."""

    def checkout(self) -> pathlib.Path | None:
        """The checkout that the present start runs; the last one for all starts after it."""
        return self.checkouts[min(self.starts, len(self.checkouts)) - 1] if self.checkouts else None

    def operator(self) -> pathlib.Path:
        """Its operator's file, written anew at each start."""
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
        if not self.script.uniqued:
            return ""
        return f"keys {{ without: {'GO_ON' if self.script.go_on else 'SHED'} }} "

    def shares(self) -> str:
        homes = "".join(
            f'    home {{ name: "{name}" address: "{at}" }}\n' for name, at in self.homes.items()
        )
        return (
            f"  shares {{\n{homes}    slots: {self.script.slots} largest: {self.script.members}\n  }}\n"
            if self.script.slots
            else ""
        )

    def duties(self) -> str:
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
        if not self.shared.back_ends:
            return ""
        back_ends = "".join(
            f'  backend {{ address: "{text(b.address)}" zone: "z{i % self.script.zones}" }}\n'
            for i, b in enumerate(self.shared.back_ends.values())
        )
        subset = f"  subset: {self.script.subset}\n" if self.script.subset else ""
        return f"backends {{\n{subset}{back_ends}}}\n"

    def start(self) -> None:
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
        with child.stderr:
            for line in child.stderr:
                try:
                    self.lines.append(json.loads(line))
                except ValueError:  # what it says where it can't start
                    self.lines.append({"event": line.strip()})

    def up(self) -> bool:
        return self.child is not None and self.child.poll() is None

    def wait(self) -> None:
        """Until it answers its check. Raises `ChildProcessError`."""
        until = time.monotonic() + COME_UP
        while not good(self.listen):
            if time.monotonic() > until or not self.up():
                code = self.child.poll()
                raise ChildProcessError(f"{self.name} did not come up, {code}: {self.lines[-3:]}")
            time.sleep(0.05)

    def signal(self, number: int) -> None:
        if self.up():
            self.child.send_signal(number)

    def kill(self) -> None:
        """Its end without a word, and its engine's."""
        self.asked_to_end = True
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()
        if self.engine is not None:
            self.engine.close()
            if self.engine.link is not None:  # it may never have come as far as that
                with contextlib.suppress(OSError):
                    self.engine.link.close()

    def stop(self) -> None:
        """An orderly end, without waiting for it."""
        self.asked_to_end = True
        self.signal(signal.SIGTERM)

    def end(self) -> None:
        self.asked_to_end = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.child is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.child.wait(4)
        self.kill()

    def cpu(self) -> float:
        """Seconds of processor time so far."""
        return usage.cpu(self.child.pid)

    def resident(self) -> float:
        """MB of memory that it has now."""
        return usage.resident(self.child.pid) / 1024

    def disk(self, how: str, *more: str) -> None:
        """Its duties' folder: `lost` is a fresh one from its next start on, `ill` one that can't be
        written; all its folders: the words of gullyoke/fault_testing/faulty.py; `well` all of it again.
        `copied` is a backup of what it keeps, and `restored` that backup in its place, while the
        process is down.
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
        """What it says on its status address; None where it does not answer."""
        try:
            with socket.create_connection(self.status, 0.5) as conn:
                conn.settimeout(0.5)
                conn.sendall(f"{what}\n".encode())
                with conn.makefile("rb") as file:
                    return json.loads(file.read())
        except (OSError, ValueError):
            return None


class Shared:
    """What all members share below and beside them; back ends by their names."""

    def __init__(self, script: Script) -> None:
        self.below: Peer = Below(script.call_ms / 1000) if script.slots else Database()
        self.names, self.resource = Names(), Resource()
        self.back_ends = {
            f"b{i}": BackEnd(f"b{i}", script.work_ms / 1000) for i in range(script.backends)
        }

    def close(self) -> None:
        for one in (self.below, self.names, self.resource, *self.back_ends.values()):
            one.close()

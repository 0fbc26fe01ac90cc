"""What an operator asks a running server on loopback: its view, its last changes.

One line in, JSON out.
"""

from __future__ import annotations

import socket
import threading

import msgspec

from gullyoke.membership.row import TURNS
from gullyoke.peer_transport.link import PeerLink
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics

PATIENCE, LINE = 1.0, 256  # seconds for a whole question, and its bytes


class StatusServer(threading.Thread):
    """One asker at a time, none for longer than PATIENCE.

    What is asked costs the members' lock for a copy.
    """

    def __init__(self, address: tuple[str, int], link: PeerLink, metrics: Metrics) -> None:
        """Raises `OSError` where it can't listen."""
        super().__init__(name="fleet-status", daemon=True)
        self.sock = socket.create_server(address, backlog=8)
        self.link, self.metrics, self.ended = link, metrics, False

    def run(self) -> None:
        while not self.ended:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            try:
                with conn:
                    conn.settimeout(PATIENCE)
                    self.answer(conn)
            except OSError:
                self.metrics.increment("fleet.status.broken")
            except Exception:
                self.metrics.record_internal_error("fleet-status")

    def answer(self, conn: socket.socket) -> None:
        line = b""
        while b"\n" not in line and len(line) <= LINE:
            more = conn.recv(LINE)
            if not more:
                return
            line += more
        asked, *words = line.partition(b"\n")[0].decode("latin-1").split() or [""]
        if asked in self.link.commands:  # another part's: it takes what locks it needs
            found = self.link.commands[asked](words)
        else:
            with self.link.lock:
                found = {"status": status, "events": events}.get(asked, unknown)(self.link)
        conn.sendall(msgspec.json.encode(found) + b"\n")

    def end(self) -> None:
        self.ended = True
        self.sock.close()


def unknown(link: PeerLink) -> dict:
    return {"fault": "right would be status or events"}


def status(link: PeerLink) -> dict:
    """The view as it stands here; times in ms."""
    one, now = link.member, clock.now()
    size = one.size(now)
    signals = link.signals.rows if link.signals is not None else {}
    told = {who: reading for who, (_, _, reading) in signals.items()}
    rows = []
    for row in sorted(one.view.rows.values(), key=lambda row: row.name):
        edge, reading = one.edges.get(row.id), told.get(row.id)
        rows.append(
            {
                "name": row.name,
                "state": one.state(now, row),
                "zone": row.zone,
                "address": row.address,
                "start": row.number // TURNS,
                "refuted": row.number % TURNS,
                "accused_by": len(one.tally.accusers(row.id, row.number)),
                "round_trip_ms": round(edge.rtt / 1000, 2)
                if edge is not None and edge.rtt
                else None,
                "room": None if reading is None else round(reading.room, 2),
                "shed": None if reading is None else round(reading.shed, 2),
                "pace": None if reading is None else reading.pace,
            }
        )
    return {
        "name": one.row.name,
        "stage": one.entry.stage.value,
        "view": one.view.number,
        "digest": f"{one.view.digest:016x}",
        "members": size.members,
        "seen": size.seen,
        "age_ms": size.age // 1000,
        "confidence": round(size.confidence, 2),
        "unsure": one.trust.unsure(now),
        "failing": round(one.trust.failing, 2),
        "lost": round(one.trust.lost, 2),
        "rows": rows,
        **{name: tell(now) for name, tell in link.status_sections.items()},
    }


def events(link: PeerLink) -> dict:
    """The last changes with their evidence; how long ago, in ms."""
    one, now = link.member, clock.now()
    return {
        "name": one.row.name,
        "events": [
            {
                "ago_ms": (now - e.at) // 1000,
                "view": e.number,
                "what": e.what,
                "name": e.name,
                "status": e.status,
                "by": e.by,
                "evidence": e.evidence,
            }
            for e in one.history.events
        ],
    }

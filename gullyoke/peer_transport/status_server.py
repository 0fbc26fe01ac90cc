"""Answers operators' queries on loopback: one line as the query, one line of JSON as the answer.

`gullyoke fleet` and operators' scripts read the keys of the answers, so the keys must not change.
"""

from __future__ import annotations

import socket
import threading
from typing import Any, Final

import msgspec

from gullyoke.membership.member_record import REFUTATIONS_PER_START, MemberRecord
from gullyoke.peer_transport.link import PeerLink
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics

CLIENT_TIMEOUT_S: Final = 1.0  # for each read and write
MAX_LINE_BYTES: Final = 256
BACKLOG: Final = 8  # connections waiting to be accepted


class StatusServer(threading.Thread):
    """Answers one connection at a time.

    `status` and `events` are answered under the link's lock.
    """

    def __init__(self, address: tuple[str, int], link: PeerLink, metrics: Metrics) -> None:
        """Listen on an address.

        Args:
            address: Host and port.
            link: The link whose member and commands provide the answers.
            metrics: Counts failed connections.

        Raises:
            OSError: If listening fails.
        """
        super().__init__(name="fleet-status", daemon=True)
        self.sock = socket.create_server(address, backlog=BACKLOG)
        self.link = link
        self.metrics = metrics
        self.ended = False

    def run(self) -> None:
        """Serve connections until the socket is closed."""
        while not self.ended:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            try:
                with connection:
                    connection.settimeout(CLIENT_TIMEOUT_S)
                    self.answer(connection)
            except OSError:
                self.metrics.increment("fleet.status.broken")
            except Exception:
                self.metrics.record_internal_error("fleet-status")

    def answer(self, connection: socket.socket) -> None:
        """Read one line and answer it; a connection closed before the line ends gets no answer."""
        line = b""
        while b"\n" not in line and len(line) <= MAX_LINE_BYTES:
            data = connection.recv(MAX_LINE_BYTES)
            if not data:
                return
            line += data
        command, *arguments = line.partition(b"\n")[0].decode("latin-1").split() or [""]
        connection.sendall(msgspec.json.encode(self._result(command, arguments)) + b"\n")

    def _result(self, command: str, arguments: list[str]) -> dict[str, Any]:
        if command in self.link.commands:  # a command takes the locks that it needs
            return self.link.commands[command](arguments)
        with self.link.lock:
            if command == "status":
                return status(self.link)
            if command == "events":
                return events(self.link)
        return {"fault": "right would be status or events"}

    def end(self) -> None:
        """Close the socket, which ends the thread."""
        self.ended = True
        self.sock.close()


def status(link: PeerLink) -> dict[str, Any]:
    """Return the membership view of this server; the caller holds the link's lock."""
    member = link.member
    now = clock.now()
    size = member.size(now)
    known_members = sorted(member.view.records.values(), key=lambda known: known.name)
    return {
        "name": member.record.name,
        "stage": member.join_state.stage.value,
        "view": member.view.version,
        "digest": f"{member.view.digest:016x}",
        "members": size.members,
        "seen": size.seen,
        "age_ms": size.age_us // 1000,
        "confidence": round(size.confidence, 2),
        "unsure": member.local_health.unsure(now),
        "failing": round(member.local_health.failing, 2),
        "lost": round(member.local_health.lost, 2),
        "rows": [_member_status(link, now, known) for known in known_members],
        **{name: section(now) for name, section in link.status_sections.items()},
    }


def _member_status(link: PeerLink, now: int, record: MemberRecord) -> dict[str, Any]:
    """Return the status of one member as this server observes it."""
    member = link.member
    edge = member.edges.get(record.id)
    received = link.signals.rows.get(record.id) if link.signals is not None else None
    load = received.report if received is not None else None
    return {
        "name": record.name,
        "state": member.state(now, record),
        "zone": record.zone,
        "address": record.address,
        "start": record.version // REFUTATIONS_PER_START,
        "refuted": record.version % REFUTATIONS_PER_START,
        "accused_by": len(member.suspicions.accusers(record.id, record.version)),
        "round_trip_ms": round(edge.round_trip_us / 1000, 2)
        if edge is not None and edge.round_trip_us
        else None,
        "room": None if load is None else round(load.free_capacity, 2),
        "shed": None if load is None else round(load.rejected_share, 2),
        "pace": None if load is None else load.latency_ratio,
    }


def events(link: PeerLink) -> dict[str, Any]:
    """Return the last changes of the view with their evidence; the caller holds the link's lock.

    `ago_ms` is the time since a change, in milliseconds.
    """
    member = link.member
    now = clock.now()
    return {
        "name": member.record.name,
        "events": [
            {
                "ago_ms": (now - event.at_us) // 1000,
                "view": event.view_version,
                "what": event.kind,
                "name": event.name,
                "status": event.status,
                "by": event.by,
                "evidence": event.evidence,
            }
            for event in member.history.events
        ],
    }

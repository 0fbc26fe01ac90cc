"""The last changes of the view with their evidence, for whoever asks afterwards."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from gullyoke.membership.view import Change

MOST = 256


class ViewEvent(NamedTuple):
    """One change as it was seen here. `by` is the name of who saw to it, where that is known."""

    at_us: int
    view_version: int
    kind: str
    name: str
    status: str
    by: str
    evidence: str


class ViewHistory:
    """Table: the last MOST events; the oldest leaves."""

    def __init__(self) -> None:
        self.events: deque[ViewEvent] = deque(maxlen=MOST)

    def add(self, now: int, change: Change, by: str) -> ViewEvent:
        mark, record = change.update, change.record
        evidence = (
            f"{mark.accusing} of {mark.eligible} observers"
            if mark and mark.eligible
            else "own word"
        )
        event = ViewEvent(
            now,
            change.view_version,
            change.kind,
            record.name,
            record.status.name.lower(),
            by,
            evidence,
        )
        self.events.append(event)
        return event

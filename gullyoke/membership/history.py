"""The last changes of the view with their evidence, for whoever asks afterwards."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from gullyoke.membership.view import Change

MOST = 256


class Event(NamedTuple):
    """One change as it was seen here. `by` is the name of who saw to it, where that is known."""

    at: int
    number: int
    what: str
    name: str
    status: str
    by: str
    evidence: str


class History:
    """Table: the last MOST events; the oldest leaves."""

    def __init__(self) -> None:
        self.events: deque[Event] = deque(maxlen=MOST)

    def add(self, now: int, change: Change, by: str) -> Event:
        mark, row = change.mark, change.row
        evidence = (
            f"{mark.accusing} of {mark.standing} observers"
            if mark and mark.standing
            else "own word"
        )
        event = Event(
            now, change.number, change.what, row.name, row.status.name.lower(), by, evidence
        )
        self.events.append(event)
        return event

"""The most recent changes of the view with their evidence, for operators."""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

from gullyoke.membership.view import Change, ChangeKind

MAX_EVENTS: Final = 256


class ViewEvent(NamedTuple):
    """One change of the view.

    Attributes:
        at_us: When this member applied the change, in microseconds of the caller's clock.
        view_version: The view's version after the change.
        kind: The kind of change.
        name: The name of the member that changed.
        status: The member's new status, in lower case.
        by: The name of the member that decided on the change; `-` if none is known.
        evidence: The reason for the decision, for operators to read.
    """

    at_us: int
    view_version: int
    kind: ChangeKind
    name: str
    status: str
    by: str
    evidence: str


class ViewHistory:
    """The last `MAX_EVENTS` events, the oldest first."""

    def __init__(self) -> None:
        self.events: deque[ViewEvent] = deque(maxlen=MAX_EVENTS)

    def add(self, now: int, change: Change, by: str) -> ViewEvent:
        """Append a change that the member with the name `by` decided on."""
        event = ViewEvent(
            now,
            change.view_version,
            change.kind,
            change.record.name,
            change.record.status.name.lower(),
            by,
            _evidence(change),
        )
        self.events.append(event)
        return event


def _evidence(change: Change) -> str:
    update = change.update
    if update is None or not update.eligible:
        return "own word"
    return f"{update.accusing} of {update.eligible} observers"

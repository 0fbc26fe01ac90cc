"""Runs that the decisions let go on while no back end takes one.

Short, and nobody waits there in vain.
"""

from __future__ import annotations

from collections import deque


class Line:
    """First in, first out: the decisions have put them in order.

    It holds as many as the pool takes at once, and none when the pool takes none, so that it is
    room for what is on its way, not a second hold.

    Table: the line; a run leaves it when it is sent or given up.
    """

    def __init__(self) -> None:
        self.runs: deque = deque()

    def add(self, run, room: int) -> bool:
        """Whether it may wait here."""
        if len(self.runs) >= room:
            return False
        self.runs.append(run)
        return True

    def drop(self, run) -> bool:
        """Take it out; whether it was there."""
        try:
            self.runs.remove(run)
            return True
        except ValueError:
            return False

    def hopeless(self, now: int, usual: float, room: int) -> list:
        """Take out all who can no longer be answered in time, whose callers wait no more, and the
        youngest while it is too long.
        """
        late = [run for run in self.runs if now + usual > run.due or not run.wanted()]
        for run in late:
            self.runs.remove(run)
        while len(self.runs) > room:
            late.append(self.runs.pop())
        return late

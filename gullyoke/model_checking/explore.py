"""Checks every state that a world can reach within a number of moves, each state once.

The search is breadth first, so the first violation found is one with the fewest moves. A state that
was seen is kept as the digest of its key, and a world whose moves are still to be made is kept
pickled. A world keeps the number of states small by leaving out of its `moves` those that make no
difference to its checks.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Hashable, Iterable, Sequence
from hashlib import blake2b
from typing import Any, NamedTuple, Protocol

Move = tuple[Any, ...]


class World(Protocol):
    """A state that can be pickled; a move changes it in place."""

    def moves(self) -> Sequence[Move]:
        """Return the moves that are possible in this state."""

    def make(self, move: Move) -> None:
        """Make one move: change the state in place."""

    def key(self) -> Hashable:
        """Return the key of the state; states with equal keys behave alike from here on."""

    def wrong(self) -> str | None:
        """Return a description of the violation in this state; None if there is none."""


class Walked(NamedTuple):
    """The result of an exploration.

    Attributes:
        states: How many different states were seen.
        depth: The number of moves within which all states were checked; with a violation, the
            number of moves that lead to it.
        whole: Whether the exploration ended before the limit on states was reached.
        found: A description of the first violation; None if none was found.
        way: The moves from the start to the violation.
    """

    states: int
    depth: int
    whole: bool
    found: str | None
    way: tuple[Move, ...]

    def script(self) -> str:
        """Return the moves to the violation, one a line."""
        return "\n".join(" ".join(map(str, move)) for move in self.way)


def walked(
    start: World, depth: int, most: int = 10**6, every: Callable[[int], None] | None = None
) -> Walked:
    """Explore the states that can be reached from a start.

    Args:
        start: The world to start from.
        depth: How many moves to make from the start at most.
        most: How many states may be seen before the exploration stops.
        every: Called after each level of moves with the number of states seen.
    """
    first = pickle.dumps(start, -1)
    seen: dict[bytes, tuple[bytes, Move] | None] = {digest(start.key()): None}
    frontier = [(first, digest(start.key()))]
    if (wrong := start.wrong()) is not None:
        return Walked(1, 0, True, wrong, ())
    for level in range(1, depth + 1):
        later: list[tuple[bytes, bytes]] = []
        for data, at in frontier:
            moves = pickle.loads(data).moves()
            for move in moves:
                world = pickle.loads(data)
                world.make(move)
                name = digest(world.key())
                if name in seen:
                    continue
                seen[name] = at, move
                if (wrong := world.wrong()) is not None:
                    return Walked(len(seen), level, True, wrong, way(seen, name))
                if len(seen) >= most:
                    return Walked(len(seen), level - 1, False, None, ())
                later.append((pickle.dumps(world, -1), name))
        if every is not None:
            every(len(seen))
        if not later:
            return Walked(len(seen), level, True, None, ())
        frontier = later
    return Walked(len(seen), depth, True, None, ())


def from_all(
    names: Iterable[str], begun: Callable[[str], World], depth: int, most: int
) -> tuple[int, str | None]:
    """Explore from each start in turn until a violation is found.

    Args:
        names: The names of the starts.
        begun: Returns the world of a start.
        depth: How many moves to make from each start at most.
        most: How many states may be seen from one start.

    Returns:
        How many states were seen, and the first violation with its start and the moves to it.
    """
    states = 0
    for name in names:
        walk = walked(begun(name), depth, most)
        states += walk.states
        if walk.found:
            return states, f"{name}: {walk.found}\n{walk.script()}"
    return states, None


def digest(key: Hashable) -> bytes:
    """Return the digest of a state's key, which stands for the state once it was seen."""
    return blake2b(repr(key).encode(), digest_size=12).digest()


def way(seen: dict[bytes, tuple[bytes, Move] | None], name: bytes) -> tuple[Move, ...]:
    """Return the moves from the start to a state.

    `seen` has the digest of the state before each state and the move between the two.
    """
    moves: list[Move] = []
    while (step := seen[name]) is not None:
        name = step[0]
        moves.append(step[1])
    return tuple(reversed(moves))

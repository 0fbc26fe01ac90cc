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


class ExplorationResult(NamedTuple):
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
    start: World, depth: int, max_states: int = 10**6, on_level: Callable[[int], None] | None = None
) -> ExplorationResult:
    """Explore the states that can be reached from a start.

    Args:
        start: The world to start from.
        depth: How many moves to make from the start at most.
        max_states: How many states may be seen before the exploration stops.
        on_level: Called after each level of moves with the number of states seen.
    """
    first = pickle.dumps(start, -1)
    seen: dict[bytes, tuple[bytes, Move] | None] = {digest(start.key()): None}
    frontier = [(first, digest(start.key()))]
    if (violation := start.wrong()) is not None:
        return ExplorationResult(1, 0, True, violation, ())
    for level in range(1, depth + 1):
        next_frontier: list[tuple[bytes, bytes]] = []
        for data, previous in frontier:
            moves = pickle.loads(data).moves()
            for move in moves:
                world = pickle.loads(data)
                world.make(move)
                name = digest(world.key())
                if name in seen:
                    continue
                seen[name] = previous, move
                if (violation := world.wrong()) is not None:
                    return ExplorationResult(
                        len(seen), level, True, violation, moves_to(seen, name)
                    )
                if len(seen) >= max_states:
                    return ExplorationResult(len(seen), level - 1, False, None, ())
                next_frontier.append((pickle.dumps(world, -1), name))
        if on_level is not None:
            on_level(len(seen))
        if not next_frontier:
            return ExplorationResult(len(seen), level, True, None, ())
        frontier = next_frontier
    return ExplorationResult(len(seen), depth, True, None, ())


def from_all(
    names: Iterable[str], start_world: Callable[[str], World], depth: int, max_states: int
) -> tuple[int, str | None]:
    """Explore from each start in turn until a violation is found.

    Args:
        names: The names of the starts.
        start_world: Returns the world of a start.
        depth: How many moves to make from each start at most.
        max_states: How many states may be seen from one start.

    Returns:
        How many states were seen, and the first violation with its start and the moves to it.
    """
    states = 0
    for name in names:
        result = walked(start_world(name), depth, max_states)
        states += result.states
        if result.found:
            return states, f"{name}: {result.found}\n{result.script()}"
    return states, None


def digest(key: Hashable) -> bytes:
    """Return the digest of a state's key, which stands for the state once it was seen."""
    return blake2b(repr(key).encode(), digest_size=12).digest()


def moves_to(seen: dict[bytes, tuple[bytes, Move] | None], name: bytes) -> tuple[Move, ...]:
    """Return the moves from the start to a state.

    `seen` has the digest of the state before each state and the move between the two.
    """
    moves: list[Move] = []
    while (step := seen[name]) is not None:
        name = step[0]
        moves.append(step[1])
    return tuple(reversed(moves))

"""Every state that a world can come to within so many moves, each looked at once.

Breadth first, so that the first wrong state found has the shortest way to it. A state is kept as
the digest of its key; worlds on the frontier are kept pickled. Moves that a world says to be alike
for what is asked (its `moves` leaves them out) are not walked: that is where a world reduces.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Hashable, Iterable, Sequence
from hashlib import blake2b
from typing import Any, NamedTuple, Protocol

Move = tuple[Any, ...]


class World(Protocol):
    """A state that can be pickled and moved on in place."""

    def moves(self) -> Sequence[Move]:
        """All that can happen next."""

    def make(self, move: Move) -> None:
        """Let one thing happen."""

    def key(self) -> Hashable:
        """What tells two states apart; equal keys go on alike."""

    def wrong(self) -> str | None:
        """What must not be so and is, in words."""


class Walked(NamedTuple):
    """`states`, how many were looked at; `depth`, how many moves deep all of them.

    `whole`, whether nothing was left out for want of room; `found`, the first wrong thing with the
    way to it.
    """

    states: int
    depth: int
    whole: bool
    found: str | None
    way: tuple[Move, ...]

    def script(self) -> str:
        """The way as lines, for people and for the rig."""
        return "\n".join(" ".join(map(str, move)) for move in self.way)


def walked(
    start: World, depth: int, most: int = 10**6, every: Callable[[int], None] | None = None
) -> Walked:
    """Walk until something is wrong, nothing is new, `depth` moves are made or `most` states are
    seen.
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
    """States walked from each start by its name, and the first wrong thing with its start and
    way.
    """
    states = 0
    for name in names:
        walk = walked(begun(name), depth, most)
        states += walk.states
        if walk.found:
            return states, f"{name}: {walk.found}\n{walk.script()}"
    return states, None


def digest(key: Hashable) -> bytes:
    """Return what a state is remembered by."""
    return blake2b(repr(key).encode(), digest_size=12).digest()


def way(seen: dict[bytes, tuple[bytes, Move] | None], name: bytes) -> tuple[Move, ...]:
    """Return the moves from the start to a state, by the digests of those before it."""
    moves: list[Move] = []
    while (step := seen[name]) is not None:
        name = step[0]
        moves.append(step[1])
    return tuple(reversed(moves))

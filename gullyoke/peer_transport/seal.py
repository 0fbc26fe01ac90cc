"""The seal of a datagram.

A keyed digest over it, its count and the fleet's name, under one of two keys.

What does not verify is dropped and counted, never answered. The first key of the file seals; both
verify, so that a new one can come in before the old one goes. Counts grow with each datagram of a
start and are kept by sender: one that is old or came already is dropped.
"""

from __future__ import annotations

import hmac
from collections import OrderedDict
from hashlib import blake2b

from gullyoke.errors import GullyokeError

DIGEST, COUNT = 16, 8  # bytes at the end of a datagram
SHORTEST, KEYS = 16, 2  # bytes of a key at the least; keys in a file at the most
WINDOW = 1024  # counts that may come out of order
SENDERS = 4096  # of whom counts are kept; the one longest silent goes first


class UnusableKeyError(GullyokeError, ValueError):
    """A key file that can't be right; the text says why."""


def parse_keys(text: str) -> tuple[bytes, ...]:
    """The keys of a file: one or two lines of hex digits, the first one sealing.

    `#` begins a comment.
    """
    lines = [line.partition("#")[0].strip() for line in text.splitlines()]
    try:
        keys = tuple(bytes.fromhex(line) for line in lines if line)
    except ValueError:
        raise UnusableKeyError(
            "a line that is not hex digits; right would be 32 or more of them a line"
        ) from None
    if not 1 <= len(keys) <= KEYS:
        raise UnusableKeyError(f"{len(keys)} keys; right would be one or two lines")
    if min(map(len, keys)) < SHORTEST or max(map(len, keys)) > blake2b.MAX_KEY_SIZE:
        raise UnusableKeyError(
            f"a key of under {SHORTEST} or over {blake2b.MAX_KEY_SIZE} bytes; right would be "
            f"{2 * SHORTEST} to {2 * blake2b.MAX_KEY_SIZE} hex digits"
        )
    return keys


class Seal:
    """Seals and opens datagrams of one fleet."""

    def __init__(self, fleet: str, keys: tuple[bytes, ...]) -> None:
        self.person = blake2b(fleet.encode(), digest_size=16).digest()
        self.keys, self.count = keys, 0

    def seal(self, data: bytes) -> bytes:
        self.count += 1
        data += self.count.to_bytes(COUNT, "big")
        return data + self._digest(self.keys[0], data)

    def open(self, data: bytes) -> tuple[bytes, int] | None:
        """What was sealed, and its count; None where it does not verify."""
        body, digest = data[:-DIGEST], data[-DIGEST:]
        if len(body) < COUNT or not any(
            hmac.compare_digest(self._digest(key, body), digest) for key in self.keys
        ):
            return None
        return body[:-COUNT], int.from_bytes(body[-COUNT:], "big")

    def _digest(self, key: bytes, data: bytes) -> bytes:
        return blake2b(data, digest_size=DIGEST, key=key, person=self.person).digest()


class ReplayWindow:
    """Which datagrams came already.

    Table: one row a sender's start, at most SENDERS: the highest count, and a bit for each of the
    WINDOW before it.
    """

    def __init__(self) -> None:
        self.rows: OrderedDict[int, tuple[int, int]] = OrderedDict()

    def fresh(self, life: int, count: int) -> bool:
        """Whether this is new; it counts as come from now on."""
        top, bits = self.rows.pop(life, (0, 0))
        if count > top:
            bits = (bits << min(count - top, WINDOW) | 1) & ((1 << WINDOW) - 1)
            top, new = count, True
        else:
            bit = 1 << (top - count)
            new = top - count < WINDOW and not bits & bit
            bits |= bit if new else 0
        self.rows[life] = top, bits
        if len(self.rows) > SENDERS:
            self.rows.popitem(last=False)
        return new

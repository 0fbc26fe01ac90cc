"""The seal of a datagram: a keyed digest over its data, the sender's count and the fleet's name.

A datagram that does not verify is dropped and counted, never answered. The first key of the key
file seals and both keys verify, so that keys can be replaced without interruption. A process
numbers the datagrams that it sends with an increasing count; a receiver drops a datagram whose
count is too old or was received before.
"""

from __future__ import annotations

import hmac
from collections import OrderedDict
from hashlib import blake2b
from typing import Final, NamedTuple

from gullyoke.errors import GullyokeError

DIGEST_BYTES: Final = 16  # at the end of a datagram
COUNT_BYTES: Final = 8  # before the digest
SHORTEST_KEY_BYTES: Final = 16
MAX_KEYS: Final = 2  # in a key file
WINDOW: Final = 1024  # counts that may arrive out of order
MAX_SENDERS: Final = 4096  # senders whose counts are kept; the least recent is dropped first


class UnusableKeyError(GullyokeError, ValueError):
    """The key file is not valid; the text says why."""


def parse_keys(text: str) -> tuple[bytes, ...]:
    """Return the keys of a key file; the first one seals.

    The file has one or two lines of hex digits; `#` begins a comment.

    Raises:
        UnusableKeyError: For any other text.
    """
    lines = [line.partition("#")[0].strip() for line in text.splitlines()]
    try:
        keys = tuple(bytes.fromhex(line) for line in lines if line)
    except ValueError:
        raise UnusableKeyError(
            "a line is not hex digits; expected 32 or more of them per line"
        ) from None
    if not 1 <= len(keys) <= MAX_KEYS:
        raise UnusableKeyError(f"{len(keys)} keys; expected one or two lines")
    shortest = min(map(len, keys))
    longest = max(map(len, keys))
    if shortest < SHORTEST_KEY_BYTES or longest > blake2b.MAX_KEY_SIZE:
        raise UnusableKeyError(
            f"a key of under {SHORTEST_KEY_BYTES} or over {blake2b.MAX_KEY_SIZE} bytes; expected "
            f"{2 * SHORTEST_KEY_BYTES} to {2 * blake2b.MAX_KEY_SIZE} hex digits"
        )
    return keys


class OpenedDatagram(NamedTuple):
    """The data of a verified datagram, and the sender's count in it."""

    data: bytes
    sender_count: int


class Seal:
    """Seals and opens the datagrams of one fleet.

    Attributes:
        keys: The first key seals, all keys verify; may be replaced at any time.
    """

    def __init__(self, fleet: str, keys: tuple[bytes, ...]) -> None:
        """Start with the count 0; `fleet` is the fleet's name."""
        self.keys = keys
        self._personalization = blake2b(fleet.encode(), digest_size=16).digest()
        self._count = 0

    def seal(self, data: bytes) -> bytes:
        """Return the data with the next count and the digest."""
        self._count += 1
        data += self._count.to_bytes(COUNT_BYTES, "big")
        return data + self._digest(self.keys[0], data)

    def open(self, data: bytes) -> OpenedDatagram | None:
        """Return the data and the count of a datagram; None if it does not verify."""
        body = data[:-DIGEST_BYTES]
        digest = data[-DIGEST_BYTES:]
        if len(body) < COUNT_BYTES:
            return None
        if not any(hmac.compare_digest(self._digest(key, body), digest) for key in self.keys):
            return None
        return OpenedDatagram(body[:-COUNT_BYTES], int.from_bytes(body[-COUNT_BYTES:], "big"))

    def _digest(self, key: bytes, data: bytes) -> bytes:
        person = self._personalization
        return blake2b(data, digest_size=DIGEST_BYTES, key=key, person=person).digest()


class SenderCounts(NamedTuple):
    """The highest count of a sender, and a bit for each of the last `WINDOW` counts."""

    highest: int
    seen: int


class ReplayWindow:
    """Detects replayed datagrams by the counts of each sender's incarnation."""

    def __init__(self) -> None:
        """Start without senders."""
        self._senders: OrderedDict[int, SenderCounts] = OrderedDict()

    def record_if_new(self, incarnation: int, count: int) -> bool:
        """Record a datagram's count; return whether the datagram is new."""
        highest, seen = self._senders.pop(incarnation, SenderCounts(0, 0))
        if count > highest:
            seen = (seen << min(count - highest, WINDOW) | 1) & ((1 << WINDOW) - 1)
            highest = count
            new = True
        else:
            age = highest - count
            new = age < WINDOW and not seen & (1 << age)
            if new:
                seen |= 1 << age
        self._senders[incarnation] = SenderCounts(highest, seen)
        if len(self._senders) > MAX_SENDERS:
            self._senders.popitem(last=False)
        return new

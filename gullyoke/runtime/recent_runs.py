"""The ids of the requests that were run lately, by which a second run of one is prevented."""

from __future__ import annotations

from typing import Final

MAX_IDS: Final = 8192  # about 1.5 MB


class RecentRuns:
    """The ids of requests whose run has ended.

    Guards against a request that is sent again under its id after its client has left: the first
    one is no longer in flight, and nothing else would tell that it has run. All methods are called
    under the dispatcher's lock.

    Args:
        retention: How many microseconds an id is kept; the oldest go earlier if there are more than
            `max_ids`.
        max_ids: The maximum number of ids.
    """

    def __init__(self, retention: int, max_ids: int = MAX_IDS) -> None:
        self.retention = retention
        self.max_ids = max_ids
        self._expiries: dict[str, int] = {}  # by id, in the order of expiry

    def __len__(self) -> int:
        return len(self._expiries)

    def add(self, request_id: str, now: int) -> None:
        """Keep the id of a request whose run has ended."""
        self._expiries.pop(request_id, None)
        self._expiries[request_id] = now + self.retention
        self._drop_oldest(now)

    def contains(self, request_id: str, now: int) -> bool:
        """Return whether a request with this id was run lately."""
        return self._expiries.get(request_id, now) > now

    def _drop_oldest(self, now: int) -> None:
        while self._expiries:
            oldest = next(iter(self._expiries))
            if self._expiries[oldest] > now and len(self._expiries) <= self.max_ids:
                return
            del self._expiries[oldest]

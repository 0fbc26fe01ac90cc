"""The commands that the ledger of idempotency keys returns: disk writes and actions."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from gullyoke.durability.key_record import KeyRecord


class UndurablePolicy(Enum):
    """The operator's choice for requests whose record the disk can't make durable in time."""

    REJECT = "shed"  # reject the request unrun, or fail it if it has run
    RUN_ANYWAY = "go on"  # run and answer the request without a record


class ActionKind(Enum):
    """What the caller has to do with a request."""

    RUN = "run"  # start its run
    REJECT = "unrun"  # reject it: it was not run and will not be
    REPORT_DUPLICATE = "known"  # fail it: it may have run before
    REPORT_END = "end"  # report how its run ended
    REPORT_UNKNOWN = "unknown"  # fail it, since the end of its run is not on the disk


class LedgerAction(NamedTuple):
    """An action to be taken for the request with a key."""

    kind: ActionKind
    key: str


class RecordWrite(NamedTuple):
    """A write to be made durable; the caller makes writes in the order in which it got them.

    The caller passes the outcome to `KeyLedger.write_finished`, or calls `write_rejected` if the
    write could not be queued.

    Attributes:
        key: The key.
        record: The record to write; None removes the key.
        number: The number of the write.
    """

    key: str
    record: KeyRecord | None
    number: int

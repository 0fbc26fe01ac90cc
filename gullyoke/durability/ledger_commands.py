"""What the ledger of idempotency keys asks of its caller: writes to the disk, and actions."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from gullyoke.durability.key_record import KeyRecord


class UndurablePolicy(Enum):
    """What is done where the disk can't make a record durable in time. The operator's choice."""

    REJECT = "shed"  # the request is rejected unrun, or fails where it has run
    RUN_ANYWAY = "go on"  # it runs and is answered without a record


class ActionKind(Enum):
    """What is to be done with a request."""

    RUN = "run"  # start its run
    REJECT = "unrun"  # it was not and will not be run
    REPORT_DUPLICATE = "known"  # it may have run before: it fails
    REPORT_END = "end"  # say how the run ended
    REPORT_UNKNOWN = "unknown"  # say that it failed: its end is not on the disk


class LedgerAction(NamedTuple):
    """What is to be done with the request of a key."""

    kind: ActionKind
    key: str


class RecordWrite(NamedTuple):
    """A write that is to be made durable, in the order in which the ledger gives them.

    Its outcome goes to `KeyLedger.write_finished`, or to `write_rejected` where it could not be
    queued.

    Attributes:
        key: The key.
        record: What is written; None removes the key.
        number: The write's own.
    """

    key: str
    record: KeyRecord | None
    number: int

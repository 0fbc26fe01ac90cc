"""The commands that a request's path yields for its server to carry out.

A command with `suspends` set leaves the path waiting until the next event. Commands without details
are shared instances, so that none is made for a request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Command:
    """Base of all commands."""

    suspends: ClassVar[bool] = False


@dataclass(frozen=True, slots=True)
class Enqueue(Command):
    """Wait in the queue for a turn on the cores."""

    suspends: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class Run(Command):
    """Start the run, or resume a paused one."""

    suspends: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class Await(Command):
    """Do nothing until the next event."""

    suspends: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class CallDependency(Command):
    """Make the call that the run waits for; it is given up after `timeout` microseconds."""

    timeout: int
    suspends: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class SkipDependencyCall(Command):
    """Let the run go on without the call that it waits for."""

    suspends: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class AwaitDuplicate(Command):
    """Answer from the request that this one duplicates, once that has ended."""

    suspends: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class Cancel(Command):
    """Cancel the run."""


@dataclass(frozen=True, slots=True)
class RememberKey(Command):
    """Remember the request's key for `duration` microseconds, so that duplicates are recognized."""

    duration: int


@dataclass(frozen=True, slots=True)
class ForgetKey(Command):
    """Forget the key that `RememberKey` remembered."""


@dataclass(frozen=True, slots=True)
class Reject(Command):
    """Answer finally that the request was not run.

    The client may be advised to come back after `retry_after` microseconds (0: no advice), or to
    try no other server.
    """

    retry_after: int = 0
    stop_retrying: bool = False


@dataclass(frozen=True, slots=True)
class Fail(Command):
    """Answer finally that the request failed."""


ENQUEUE = Enqueue()
RUN = Run()
AWAIT = Await()
SKIP_DEPENDENCY_CALL = SkipDependencyCall()
AWAIT_DUPLICATE = AwaitDuplicate()
CANCEL = Cancel()
FORGET_KEY = ForgetKey()
FAIL = Fail()

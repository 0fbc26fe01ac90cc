"""The commands that the path of a request yields for its server to carry out.

A command with `suspends` set suspends the path until the next event. Commands without details are
shared instances, so that none is allocated for each request.
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
    """Wait in the queue for the cores."""

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
    """Make the dependency call that the run waits for; abandon it after `timeout` microseconds."""

    timeout: int
    suspends: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class SkipDependencyCall(Command):
    """Resume the run without the dependency call that it waits for."""

    suspends: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class AwaitDuplicate(Command):
    """Once the request that this one duplicates has ended, answer with its result."""

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
    """Send the final answer that the request was not run.

    Args:
        retry_after: Microseconds after which the client should retry; 0 for no advice.
        stop_retrying: Whether the client should try no other server.
    """

    retry_after: int = 0
    stop_retrying: bool = False


@dataclass(frozen=True, slots=True)
class Fail(Command):
    """Send the final answer that the request failed."""


ENQUEUE = Enqueue()
RUN = Run()
AWAIT = Await()
SKIP_DEPENDENCY_CALL = SkipDependencyCall()
AWAIT_DUPLICATE = AwaitDuplicate()
CANCEL = Cancel()
FORGET_KEY = ForgetKey()
FAIL = Fail()

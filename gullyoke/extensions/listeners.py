"""Further listeners, next to the one of the daemon's own configuration."""

from __future__ import annotations

from gullyoke.daemon.extension import DaemonParts
from gullyoke.extensions.base import BaseExtension
from gullyoke.frontends.http1 import Http1
from gullyoke.frontends.listener import Frontend
from gullyoke.frontends.scgi import Scgi
from gullyoke.operator_config.wanted import ListenerSection


class Listeners(BaseExtension):
    """Opens the listeners of the operator's file."""

    name = section = "ways"

    def __init__(self, listeners: tuple[ListenerSection, ...]) -> None:
        """Create the extension from the listeners in the file."""
        super().__init__(listeners)
        self.listeners = listeners

    def attach(self, daemon: DaemonParts) -> None:
        """Listen on each address; accepting begins with the daemon's start.

        Raises:
            OSError: an address can't be listened on.
        """
        for listener in self.listeners:
            daemon.connections.listen(listener.address, _create_front_end(daemon, listener))


def _create_front_end(daemon: DaemonParts, listener: ListenerSection) -> Frontend:
    if listener.protocol == "SCGI":
        return Scgi(daemon.message_handler, listener.name)
    return Http1(daemon.message_handler, listener.name)

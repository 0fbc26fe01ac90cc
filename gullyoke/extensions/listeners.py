"""Further ways in, beside the platform's HTTP/1.1."""

from __future__ import annotations

from gullyoke.daemon.extension import DaemonParts
from gullyoke.extensions.base import BaseExtension
from gullyoke.frontends.http1 import Http1
from gullyoke.frontends.scgi import Scgi
from gullyoke.operator_config.wanted import Way

PROTOCOLS = {"SCGI": Scgi, "HTTP_1": Http1}


class Listeners(BaseExtension):
    name = section = "ways"

    def __init__(self, ways: tuple[Way, ...]) -> None:
        super().__init__(ways)
        self.ways = ways

    def attach(self, daemon: DaemonParts) -> None:
        for way in self.ways:
            daemon.connections.listen(
                way.address, PROTOCOLS[way.protocol](daemon.message_handler, way.name)
            )

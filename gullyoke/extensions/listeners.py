"""Further ways in, beside the platform's HTTP/1.1."""

from __future__ import annotations

from gullyoke.daemon.daemon import Daemon
from gullyoke.extensions.unit import Plain
from gullyoke.frontends.http1 import Http1
from gullyoke.frontends.scgi import Scgi
from gullyoke.operator_config.wanted import Way

PROTOCOLS = {"SCGI": Scgi, "HTTP_1": Http1}


class Listeners(Plain):
    name = part = "ways"

    def __init__(self, ways: tuple[Way, ...]) -> None:
        super().__init__(ways)
        self.ways = ways

    def join(self, daemon: Daemon) -> None:
        for way in self.ways:
            daemon.connections.listen(way.address, PROTOCOLS[way.protocol](daemon.intake, way.name))

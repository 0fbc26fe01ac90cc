"""Reading batches of messages, and writing the replies."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TextIO

from gullyoke.settings.site_settings import parse_site_facts
from gullyoke.simulator_adapter.simulated_server import HANDLERS, SimulatedServer
from gullyoke.simulator_adapter.wire import Fields, MalformedMessageError, parse_fields


class BatchReader:
    """Reads batches line by line, and holds all simulated servers of the process.

    A batch is a `frame` line, messages after `on` lines that name their server, and an `eob` line.
    """

    def __init__(self) -> None:
        self.servers: dict[str, SimulatedServer] = {}
        self.servers_in_batch: dict[str, None] = {}  # in the order of their first messages
        self.now = -1
        self.sequence_number = -1
        self.in_batch = False
        self.server_name = ""  # the server to which the next messages go

    def read_line(self, text: str) -> list[str] | None:
        """Process one line.

        Returns:
            The lines of the reply if the line ends a batch, or else None.

        Raises:
            ValueError: If the line is malformed or out of order.
            KeyError: If the line lacks a field, or contains an unknown name.
        """
        parts = text.split(" ")
        name = parts[0]
        if name == "frame":
            self._begin_batch(parse_fields(parts[1:]))
            return None
        if not self.in_batch:
            raise ValueError(f"'{name}' outside a batch")
        if name == "eob":
            return self._end_batch()
        fields = parse_fields(parts[1:])
        if name == "on":
            self.server_name = fields["Who"]
            if not self.server_name:
                raise ValueError("'on' with an empty server name")
        elif not self.server_name:
            raise ValueError(f"'{name}' before any 'on'")
        else:
            self._deliver_message(name, fields)
        return None

    def _begin_batch(self, fields: Fields) -> None:
        now = int(fields["TimeUs"])
        sequence_number = int(fields["seq"])
        if self.in_batch:
            raise ValueError("'frame' inside a batch")
        if sequence_number <= self.sequence_number or now < self.now:
            raise ValueError(
                f"batch {sequence_number} at {now} out of order after "
                f"{self.sequence_number} at {self.now}"
            )
        self.now = now
        self.sequence_number = sequence_number
        self.in_batch = True
        self.server_name = ""

    def _deliver_message(self, name: str, fields: Fields) -> None:
        """Deliver a message to the server that the last `on` line named."""
        if name == "configure":
            int(fields["Entropy"])  # checked only: the controller draws no random numbers
            server = SimulatedServer(self.now, parse_site_facts(fields))
            self.servers[self.server_name] = server
            self.servers_in_batch[self.server_name] = None
        elif name == "power_off":
            self.servers.pop(self.server_name, None)
            self.servers_in_batch.pop(self.server_name, None)
        elif name in HANDLERS:
            if self.server_name not in self.servers:
                raise ValueError(f"'{name}' for '{self.server_name}', which was not configured")
            self.servers_in_batch[self.server_name] = None
            HANDLERS[name](self.servers[self.server_name], self.now, fields)
        else:
            raise ValueError(f"unknown message '{name}'")

    def _end_batch(self) -> list[str]:
        reply: list[str] = []
        for name in self.servers_in_batch:
            lines = self.servers[name].end_batch(self.now)
            if lines:
                reply.append(f"source Who={name}")
                reply += lines
        self.servers_in_batch.clear()
        self.in_batch = False
        reply.append(f"eor seq={self.sequence_number}")
        return reply


def answer_batches(source: Iterable[bytes], sink: TextIO) -> None:
    """Answer batches until the input ends.

    Args:
        source: The lines of the batches.
        sink: Receives the replies, and is flushed after each.

    Raises:
        MalformedMessageError: If the input does not follow the wire protocol.
    """
    reader = BatchReader()
    for number, raw_line in enumerate(source, 1):
        try:
            text = raw_line.decode("utf-8").rstrip("\r\n")
            reply = reader.read_line(text) if text else None
        except KeyError as error:
            raise MalformedMessageError(
                f"line {number}: missing field or unknown name {error}"
            ) from None
        except ValueError as error:
            raise MalformedMessageError(f"line {number}: {error}") from None
        if reply is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    if reader.in_batch:
        raise MalformedMessageError("the input ended inside a batch")

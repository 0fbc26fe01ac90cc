"""The SCGI front: one req a connection, its answer, and a close."""

from __future__ import annotations

from gullyoke.codec import scgi
from gullyoke.codec.buffer import Buffer
from gullyoke.frontends.connection import Connection
from gullyoke.frontends.http1 import HEALTH
from gullyoke.frontends.message_handler import MessageHandler
from gullyoke.runtime.close_reasons import CloseReason
from gullyoke.runtime.messages import Answer, BadRequestError, Message


class Scgi:
    """`name` tells listeners apart in counters and logs."""

    buffer = scgi.BUFFER

    def __init__(self, handler: MessageHandler, name: str = "scgi") -> None:
        self.handler, self.name = handler, name

    def exchange(self, connection: Connection, buffer: Buffer) -> CloseReason:
        connection.rest()
        try:
            message = scgi.read(buffer, connection.begin_message)
            if message is None:
                return CloseReason.CLOSED
            answer = self.take(message, connection)
        except BadRequestError as fault:
            answer = connection.table.refused(connection, fault)
        connection.answer(scgi.answer(answer))
        return CloseReason.DECLARED

    def take(self, message: Message, connection: Connection) -> Answer:
        method, path, _ = message.first
        if path == HEALTH:
            if method not in ("GET", "HEAD"):
                raise BadRequestError(405, "method")
            return self.handler.health()
        return self.handler.request(message, connection)

"""The HTTP/1.1 front: one message at a time on a connection, until a side ends it."""

from __future__ import annotations

from gullyoke.codec import http
from gullyoke.codec.buffer import Buffer
from gullyoke.frontends.connection import Connection
from gullyoke.frontends.message_handler import MessageHandler
from gullyoke.runtime.close_reasons import CloseReason
from gullyoke.runtime.messages import Answer, BadRequestError, Message

HEALTH = "/ping"


class Http1:
    """`name` tells listeners apart in counters and logs."""

    buffer = http.BUFFER

    def __init__(self, handler: MessageHandler, name: str = "gateway") -> None:
        self.handler, self.name = handler, name

    def exchange(self, connection: Connection, buffer: Buffer) -> CloseReason:
        while True:
            connection.rest()
            try:
                message = http.read(buffer, connection.begin_message)
                if message is None:
                    return CloseReason.CLOSED
                answer, close = self.take(message, connection)
            except BadRequestError as fault:
                answer, close = connection.table.refused(connection, fault), True
            connection.answer(http.answer(answer, close))
            if close:
                return CloseReason.DECLARED

    def take(self, message: Message, connection: Connection) -> tuple[Answer, bool]:
        """The answer, and whether the connection is closed after it."""
        method, path, version = message.first
        close = message.closes() or version == "HTTP/1.0"
        if path == HEALTH:
            if method not in ("GET", "HEAD"):
                raise BadRequestError(405, "method")
            return self.handler.health(), close
        answer = self.handler.request(message, connection)
        return answer, close or self.handler.lifecycle.closing

"""The HTTP/1.1 front end: one message at a time on a connection, until a side closes it."""

from __future__ import annotations

from gullyoke.codec import http
from gullyoke.codec.buffer import Buffer
from gullyoke.frontends.connection import Connection
from gullyoke.frontends.message_handler import HEALTH_PATH, MessageHandler
from gullyoke.runtime.close_reasons import CloseReason
from gullyoke.runtime.messages import BadRequestError, Message


class Http1:
    """A `Frontend` with keep-alive connections.

    Args:
        handler: Answers the messages.
        name: The name of the front end in counters and logs.
    """

    max_message_bytes = http.MAX_MESSAGE_BYTES

    def __init__(self, handler: MessageHandler, name: str = "gateway") -> None:
        self.handler = handler
        self.name = name

    def serve(self, connection: Connection, buffer: Buffer) -> CloseReason:
        """Read messages and write answers until a side closes; return why it closed."""
        while True:
            connection.become_idle()
            try:
                message = http.read(buffer, connection.begin_message)
                if message is None:
                    return CloseReason.CLOSED
                answer = self.handler.answer(message, connection)
                close = self._closes_after(message)
            except BadRequestError as error:
                answer = connection.table.answer_bad_request(connection, error)
                close = True
            connection.write_answer(http.encode_answer(answer, close))
            if close:
                return CloseReason.DECLARED

    def _closes_after(self, message: Message) -> bool:
        """Return whether the connection is closed after the answer to a message."""
        _, path, version = message.start_line
        if message.wants_close() or version == "HTTP/1.0":
            return True
        return path != HEALTH_PATH and self.handler.lifecycle.closing

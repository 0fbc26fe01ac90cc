"""The SCGI front end: one request on each connection, which is closed after the answer."""

from __future__ import annotations

from gullyoke.codec import scgi
from gullyoke.codec.buffer import Buffer
from gullyoke.frontends.connection import Connection
from gullyoke.frontends.message_handler import MessageHandler
from gullyoke.runtime.close_reasons import CloseReason
from gullyoke.runtime.messages import BadRequestError


class Scgi:
    """A `Frontend` with one request on each connection.

    Args:
        handler: Answers the messages.
        name: The name of the front end in counters and logs.
    """

    max_message_bytes = scgi.MAX_MESSAGE_BYTES

    def __init__(self, handler: MessageHandler, name: str = "scgi") -> None:
        self.handler = handler
        self.name = name

    def serve(self, connection: Connection, buffer: Buffer) -> CloseReason:
        """Read the message and write the answer; return why the connection is closed."""
        connection.become_idle()
        try:
            message = scgi.read(buffer, connection.begin_message)
            if message is None:
                return CloseReason.CLOSED
            answer = self.handler.answer(message, connection)
        except BadRequestError as error:
            answer = connection.table.answer_bad_request(connection, error)
        connection.write_answer(scgi.encode_answer(answer))
        return CloseReason.DECLARED

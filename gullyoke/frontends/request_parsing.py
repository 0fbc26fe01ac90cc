"""Admit: a message of a gateway becomes a req, is checked and handed to the decisions."""

from __future__ import annotations

import re

from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.messages import BadRequestError, Message
from gullyoke.runtime.pending_request import PendingRequest

PATH = "/call/"
LONGEST = 24 * 3600 * 1000  # ms; no caller waits longer, and no stamp is older


ID = re.compile(r"[0-9a-fA-F]{16}")
FIGURE = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


def number(
    fields: dict[str, str], name: str, default: float, most: float, least: float = 0.0
) -> float:
    """A field's figure, from `least` on, under `most`; guards against what is none or can't be."""
    text = fields.get(name)
    if text is None:
        return default
    if not FIGURE.fullmatch(text) or not least <= (value := float(text)) < most:
        raise BadRequestError(400, f"field {name}")
    return value


def stamp(fields: dict[str, str], name: str) -> int:
    """How long ago, in microseconds, the time was that a field tells in Unix ms."""
    text = fields.get(name)
    if text is None:
        return 0
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise BadRequestError(400, f"field {name}")
    return min(clock.age_of_unix_ms(int(text)), LONGEST * 1000)


def parse_request(dispatcher: Dispatcher, message: Message, front: str) -> PendingRequest:
    """The req that a message holds."""
    method, path, _ = message.first
    if not path.startswith(PATH):
        raise BadRequestError(404, "path")
    if method != "POST":
        raise BadRequestError(405, "method")
    request_class = dispatcher.request_classes.get(path[len(PATH) :])
    if request_class is None:
        raise BadRequestError(404, "handler")
    fields = message.fields
    request_id = fields.get("trace-id", "")
    if not ID.fullmatch(request_id):
        raise BadRequestError(400, "field trace-id")
    tenant = fields.get("project")
    if tenant is not None and tenant not in dispatcher.tenants:
        raise BadRequestError(400, "field project")
    arrived = clock.now() - stamp(fields, "accepted-at-ms")
    wait = int(number(fields, "max-wait-ms", request_class.timeout / 1000, LONGEST) * 1000)
    key = fields.get("replay-key") or fields.get("lookup-key")
    request = PendingRequest(
        request_class,
        arrived,
        arrived + wait,
        number(fields, "reserve-kb", 0.0, 2000.0, 1e-9),
        fields.get("is-retry") == "1",
        None,
        key is not None,
        dispatcher.tenants.get(tenant),
        int(number(fields, "expected-ms", 0.0, LONGEST) * 1000),
        number(fields, "standing", 0.0, 1.0),
    )
    request.attach_message(request_id, key, message, front)
    return request


def submit(dispatcher: Dispatcher, request: PendingRequest) -> None:
    """Hand it to the decisions.

    Raises `Unfit` where it could be taken for another: then nothing runs.
    """

    def read() -> None:
        nonlocal unfit
        unfit = conflict_with(dispatcher, request)
        if unfit is None:
            dispatcher.requests[request.request_id] = request
            _, request.duplicate_of = dispatcher.duplicates.find(request, dispatcher.now)
            dispatcher.server.on_request(dispatcher.now, request)

    unfit: BadRequestError | None = None
    dispatcher.handle(read, request)
    if unfit is not None:
        raise unfit


def conflict_with(dispatcher: Dispatcher, request: PendingRequest) -> BadRequestError | None:
    """What forbids to take it beside what is in hand or was answered."""
    if request.request_id in dispatcher.requests:
        return BadRequestError(409, "a request of this id is in hand already")
    if dispatcher.duplicates.conflicts(request):
        return BadRequestError(422, "another request came under this key")
    return None

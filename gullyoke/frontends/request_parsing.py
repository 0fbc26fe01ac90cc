"""Parses and checks requests, and submits them to the admission controller."""

from __future__ import annotations

import re
from typing import Final

from gullyoke.admission.interface import RequestClass, Tenant
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.messages import BadRequestError, Message
from gullyoke.runtime.pending_request import PendingRequest

CALL_PATH: Final = "/call/"
MAX_WAIT_MS: Final = 24 * 3600 * 1000  # upper limit for timeouts and for the age of timestamps
MAX_MEMORY_KB: Final = 2000.0
MIN_MEMORY_KB: Final = 1e-9  # the stated memory has to be positive
MAX_TIMESTAMP_DIGITS: Final = 15

REQUEST_ID: Final = re.compile(r"[0-9a-fA-F]{16}")
NUMBER: Final = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


def parse_number(
    fields: dict[str, str], name: str, default: float, limit: float, least: float = 0.0
) -> float:
    """Return the number in a header field.

    Args:
        fields: The header fields of the message.
        name: The name of the field.
        default: The result if the field is missing.
        limit: The number must be less than this.
        least: The number must be at least this.

    Raises:
        BadRequestError: The value of the field is not such a number.
    """
    text = fields.get(name)
    if text is None:
        return default
    if not NUMBER.fullmatch(text) or not least <= (value := float(text)) < limit:
        raise BadRequestError(
            400,
            f"header field {name} is {text[:20]!r}, not a number from {least:g} below {limit:g}",
        )
    return value


def parse_age_us(fields: dict[str, str], name: str) -> int:
    """Return the age, in microseconds, of a header field with a Unix time in milliseconds.

    Returns:
        The age, at most `MAX_WAIT_MS`; 0 if the field is missing.

    Raises:
        BadRequestError: The value of the field is not a whole number.
    """
    text = fields.get(name)
    if text is None:
        return 0
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_TIMESTAMP_DIGITS):
        raise BadRequestError(
            400, f"header field {name} is {text[:20]!r}, not a Unix time in milliseconds"
        )
    return min(clock.age_of_unix_ms(int(text)), MAX_WAIT_MS * 1000)


def parse_request(dispatcher: Dispatcher, message: Message, frontend_name: str) -> PendingRequest:
    """Return the request in a message.

    Raises:
        BadRequestError: The message is not a valid request of this site.
    """
    request_class = _request_class_of(dispatcher, message)
    fields = message.fields
    request_id = fields.get("trace-id", "")
    if not REQUEST_ID.fullmatch(request_id):
        raise BadRequestError(
            400, f"header field trace-id is {request_id[:20]!r}, not 16 hex digits"
        )
    tenant = _tenant_of(dispatcher, fields)
    arrived = clock.now() - parse_age_us(fields, "accepted-at-ms")
    client_timeout_ms = request_class.timeout / 1000
    wait_us = int(parse_number(fields, "max-wait-ms", client_timeout_ms, MAX_WAIT_MS) * 1000)
    key = fields.get("replay-key") or fields.get("lookup-key")
    request = PendingRequest(
        request_class=request_class,
        arrived=arrived,
        deadline=arrived + wait_us,
        memory_kb=parse_number(fields, "reserve-kb", 0.0, MAX_MEMORY_KB, MIN_MEMORY_KB),
        is_retry=fields.get("is-retry") == "1",
        has_key=key is not None,
        tenant=tenant,
        cost_hint=int(parse_number(fields, "expected-ms", 0.0, MAX_WAIT_MS) * 1000),
        rank=parse_number(fields, "standing", 0.0, 1.0),
    )
    request.attach_message(request_id, key, message, frontend_name)
    return request


def _request_class_of(dispatcher: Dispatcher, message: Message) -> RequestClass:
    method, path, _ = message.start_line
    if not path.startswith(CALL_PATH):
        raise BadRequestError(404, f"path {path[:40]!r} does not begin with {CALL_PATH}")
    if method != "POST":
        raise BadRequestError(405, f"method {method[:20]!r} is not POST")
    request_class = dispatcher.request_classes.get(path[len(CALL_PATH) :])
    if request_class is None:
        raise BadRequestError(404, f"path {path[:40]!r} names no request class")
    return request_class


def _tenant_of(dispatcher: Dispatcher, fields: dict[str, str]) -> Tenant | None:
    name = fields.get("project")
    if name is None:
        return None
    tenant = dispatcher.tenants.get(name)
    if tenant is None:
        raise BadRequestError(400, f"header field project is {name[:40]!r}, not a known tenant")
    return tenant


def submit(dispatcher: Dispatcher, request: PendingRequest) -> None:
    """Submit a request to the controller.

    Raises:
        BadRequestError: The request conflicts with another one and is not run.
    """
    conflict: BadRequestError | None = None

    def act() -> None:
        nonlocal conflict
        _, request.duplicate_of = dispatcher.duplicates.find(request, dispatcher.now)
        conflict = conflict_with(dispatcher, request)
        if conflict is None:
            assert dispatcher.controller is not None
            dispatcher.requests[request.request_id] = request
            dispatcher.controller.on_request(dispatcher.now, request)

    dispatcher.handle(act, request)
    if conflict is not None:
        raise conflict


def conflict_with(dispatcher: Dispatcher, request: PendingRequest) -> BadRequestError | None:
    """Return the error if a request conflicts with one in flight or answered; None if not.

    A duplicate by its key never conflicts with a request that was run under its own id: it gets the
    result of that run.
    """
    if request.request_id in dispatcher.requests:
        return BadRequestError(409, f"a request with id {request.request_id} is in flight already")
    was_run = dispatcher.recent_runs.contains(request.request_id, dispatcher.now)
    if was_run and request.duplicate_of is None:
        return BadRequestError(409, f"a request with id {request.request_id} was run already")
    if dispatcher.duplicates.conflicts(request):
        return BadRequestError(
            422, f"request {request.request_id} reuses the key of a request with another body"
        )
    return None

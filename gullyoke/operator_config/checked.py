"""Reads files in protobuf text format and checks them against their schema.

Each fault is reported as one line that names the valid values. The bounds of each field are in the
schema, as the option `gullyoke.bounds` (operator.proto).
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from google.protobuf import text_format
from google.protobuf.descriptor import Descriptor, FieldDescriptor
from google.protobuf.message import Message

from gullyoke.operator_config import operator_pb2 as schema
from gullyoke.operator_config.wanted import OperatorFileError

MAX_BYTES = 2**20  # bytes of a file that are read
KEY_NAME = re.compile(r"[A-Za-z_]\w*")
PARSE_ERROR = re.compile(r"(?:(\d+):(\d+) : )?(.*)", re.DOTALL)
Kind = TypeVar("Kind", bound=Message)


def parse_checked(
    path: str, empty: Kind, extra_faults: Callable[[Kind], Iterable[tuple[str, str]]]
) -> Kind:
    """Read a file and return it as a message.

    Args:
        path: the file.
        empty: a new message of the file's type.
        extra_faults: returns the faults that the schema can't state, each as a key and a
            description.

    Raises:
        OperatorFileError: the file can't be read or is invalid; the error has all faults, in the
            order of their lines.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_BYTES + 1)
        if len(data) > MAX_BYTES:
            raise OperatorFileError(
                [
                    f"{path}:1: the file: over {MAX_BYTES} bytes; "
                    "right would be a file of a few pages"
                ]
            )
        text = data.decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorFileError([f"{path}:1: the file: can't be read: {error}"]) from None
    try:
        message = text_format.Parse(text, empty)
    except text_format.ParseError as error:
        line, _, description = PARSE_ERROR.fullmatch(str(error)).groups()
        raise OperatorFileError(
            [f"{path}:{line or 1}: {describe_parse_error(description, empty.DESCRIPTOR)}"]
        ) from None
    lines = key_lines(text)
    faults = sorted(
        (
            (lines.get(key) or lines.get(key.rpartition(".")[0]) or 1, key, why)
            for key, why in [*bound_faults(message, ""), *extra_faults(message)]
        ),
        key=lambda row: row[0],
    )
    if faults:
        raise OperatorFileError([f"{path}:{line}: {key}: {why}" for line, key, why in faults])
    return message


def describe_parse_error(description: str, root: Descriptor) -> str:
    """Return the parser's message as one line, with the valid keys where a key is unknown."""
    description = " ".join(description.split())
    match = re.search(r'Message type "([\w.]+)" has no field named "(\w+)"', description)
    kind = match and root.file.message_types_by_name.get(match[1].rpartition(".")[2])
    if not kind:
        return description
    return (
        f"{match[2]}: no such key; right would be one of {', '.join(f.name for f in kind.fields)}"
    )


def key_lines(text: str) -> dict[str, int]:
    """Return the line of each key by its path, such as `backends.backend[1].weight`."""
    lines: dict[str, int] = {}
    count: dict[str, int] = {}
    parents: list[str] = []  # the open messages, with their numbers in their lists
    last, last_line, key = "", 1, ""
    tokens = text_format.Tokenizer(text.splitlines())
    while not tokens.AtEnd():
        token, line = tokens.token, tokens.ParseError("").GetLine()
        if token in (":", "{", "<") and (KEY_NAME.fullmatch(last) or last in ("[", ",")):
            if KEY_NAME.fullmatch(last):
                key, key_line = last, last_line
            else:
                key_line = line  # another message of a list
            path = ".".join([*parents, key])
            nth = count[path] = count.get(path, -1) + 1
            numbered = f"{key}[{nth}]"
            lines[".".join([*parents, numbered])] = key_line
            if not nth:
                lines[path] = key_line
        if token in ("{", "<"):
            parents.append(numbered)
        elif token in ("}", ">") and parents:
            key = parents.pop().partition("[")[0]
        last, last_line = token, line
        tokens.NextToken()
    single = {re.sub(r"\[0\](?=\.)", "", key): line for key, line in lines.items()}
    return single | lines


def bound_faults(message: Message, path: str) -> Iterator[tuple[str, str]]:
    """Yield the faults of a message's fields, nested ones too, that violate the schema's bounds.

    Each fault is a key and a description.
    """
    for field in message.DESCRIPTOR.fields:
        bounds = field.GetOptions().Extensions[schema.bounds]
        values = field_values(message, field)
        key = f"{path}{field.name}"
        if bounds.required and not any(values):
            yield key, f"missing; right would be {bounds.right}"
            continue
        for i, value in enumerate(values):
            value_key = f"{key}[{i}]" if field.is_repeated else key
            if isinstance(value, Message):
                yield from bound_faults(value, value_key + ".")
            elif not is_within(value, bounds):
                yield value_key, f"{value!r} can't be; right would be {bounds.right}"


def field_values(message: Message, field: FieldDescriptor) -> list:
    """Return the values of a field in a message; an empty list if the field is not set."""
    if field.is_repeated:
        return list(getattr(message, field.name))
    if field.has_presence and not message.HasField(field.name):
        return []
    return [getattr(message, field.name)]


def is_within(value: object, bounds: schema.Bounds) -> bool:
    """Return whether a value is within the bounds."""
    if isinstance(value, str):
        return not bounds.pattern or (
            re.fullmatch(bounds.pattern, value) is not None and has_valid_port(value)
        )
    if isinstance(value, float) and not math.isfinite(value):
        return False
    return not (
        (bounds.HasField("least") and value < bounds.least)
        or (bounds.HasField("most") and value > bounds.most)
    )


def has_valid_port(value: str) -> bool:
    """Return whether the port of a host and port is valid; True for any other text."""
    _, mark, port = value.rpartition(":")
    return not mark or not port.isdigit() or 0 < int(port) < 65536

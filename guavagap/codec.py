"""Conversion between message classes and Cap'n Proto.

The schema is loaded at run time. Each message class maps to the struct of the same
name, and the messages that are sent on links are members of the union in ``Frame``.
"""

from enum import IntEnum
from pathlib import Path
from typing import NamedTuple, get_args, get_origin, get_type_hints

import capnp

from guavagap import messages, stream_messages
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.messages import Datagram

__all__ = ["decode_datagram", "decode_frame", "encode_datagram", "encode_frame"]

MAX_TRAVERSAL_WORDS = 16 * 1024 * 1024

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("schemas") / "mesh.capnp"))


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


class _Field(NamedTuple):
    python_name: str
    schema_name: str
    item_class: type | None
    is_list: bool
    is_bytes: bool


def _fields_of(message_class: type) -> tuple[_Field, ...]:
    fields = []
    for name, hint in get_type_hints(message_class).items():
        is_list = get_origin(hint) is tuple
        item = get_args(hint)[0] if is_list else hint
        item_class = item if hasattr(item, "_fields") else None
        fields.append(
            _Field(name, _camel_case(name), item_class, is_list, hint is bytes)
        )
    return tuple(fields)


_CLASSES = {
    name: value
    for name, value in (vars(messages) | vars(stream_messages)).items()
    if isinstance(value, type) and hasattr(value, "_fields")
}
_FIELDS = {
    message_class: _fields_of(message_class) for message_class in _CLASSES.values()
}
_FRAME_NAMES = {
    message_class: name[0].lower() + name[1:]
    for name, message_class in _CLASSES.items()
    if name[0].lower() + name[1:] in _SCHEMA.Frame.schema.union_fields
}
_FRAME_CLASSES = {name: message_class for message_class, name in _FRAME_NAMES.items()}


def _to_dict(message) -> dict:
    values = {}
    for field in _FIELDS[type(message)]:
        value = getattr(message, field.python_name)
        if field.item_class is not None and field.is_list:
            value = [_to_dict(item) for item in value]
        elif field.item_class is not None:
            value = _to_dict(value)
        elif field.is_list:
            value = list(value)
        elif isinstance(value, IntEnum):
            value = int(value)
        values[field.schema_name] = value
    return values


def _from_reader(reader, message_class: type):
    values = []
    for field in _FIELDS[message_class]:
        value = getattr(reader, field.schema_name)
        if field.item_class is not None and field.is_list:
            value = tuple(_from_reader(item, field.item_class) for item in value)
        elif field.item_class is not None:
            value = _from_reader(value, field.item_class)
        elif field.is_list:
            value = tuple(value)
        elif field.is_bytes:
            value = bytes(value)
        values.append(value)
    return message_class(*values)


def encode_frame(message) -> bytes:
    """Encode a message as the packed bytes of a frame."""
    frame = _SCHEMA.Frame.new_message(
        **{_FRAME_NAMES[type(message)]: _to_dict(message)}
    )
    return frame.to_bytes_packed()


def decode_frame(body: bytes):
    """Decode the message of a frame.

    Raises:
        GuavagapError: FRAME_INVALID when the frame cannot be decoded.
    """
    try:
        frame = _SCHEMA.Frame.from_bytes_packed(
            body, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        )
        name = frame.which
        name = name() if callable(name) else str(name)
        return _from_reader(getattr(frame, name), _FRAME_CLASSES[name])
    except (capnp.KjException, ValueError, KeyError, AttributeError) as error:
        raise _frame_error(error) from None


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram as packed bytes."""
    return _SCHEMA.Datagram.new_message(**_to_dict(datagram)).to_bytes_packed()


def decode_datagram(body: bytes) -> Datagram:
    """Decode a datagram.

    Raises:
        GuavagapError: FRAME_INVALID when the datagram cannot be decoded.
    """
    try:
        reader = _SCHEMA.Datagram.from_bytes_packed(
            body, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        )
        return _from_reader(reader, Datagram)
    except (capnp.KjException, ValueError, KeyError, AttributeError) as error:
        raise _frame_error(error) from None


def _frame_error(error: Exception) -> GuavagapError:
    first_line = str(error).splitlines()[0] if str(error) else repr(error)
    return GuavagapError(ErrorKind.FRAME_INVALID, f"cannot decode: {first_line}")

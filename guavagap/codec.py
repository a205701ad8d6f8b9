"""Conversion between message classes and Cap'n Proto.

The schema is loaded at run time. Each message class maps to the struct of the same
name, and the messages that are sent on links are members of the union in ``Frame``.
"""

from pathlib import Path
from typing import Callable, NamedTuple, get_args, get_origin, get_type_hints

import capnp

from guavagap import messages, stream_messages
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.messages import Datagram
from guavagap.stream_messages import Header

__all__ = ["decode_datagram", "decode_frame", "encode_datagram", "encode_frame"]

MAX_TRAVERSAL_WORDS = 16 * 1024 * 1024

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("schemas") / "mesh.capnp"))


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


def _write_value(builder, name: str, value, item_class) -> None:
    setattr(builder, name, value)


def _write_integer(builder, name: str, value, item_class) -> None:
    """Write an integer; pycapnp does not accept members of an ``IntEnum``."""
    setattr(builder, name, int(value))


def _read_value(value, item_class):
    return value


def _write_list(builder, name: str, value, item_class) -> None:
    setattr(builder, name, list(value))


def _read_list(value, item_class) -> tuple:
    return tuple(value)


def _write_struct(builder, name: str, value, item_class) -> None:
    _write_fields(builder.init(name), value)


def _read_struct(value, item_class):
    return _from_reader(value, item_class)


def _write_structs(builder, name: str, value, item_class) -> None:
    items = builder.init(name, len(value))
    for index, item in enumerate(value):
        _write_fields(items[index], item)


def _read_structs(value, item_class) -> tuple:
    return tuple(_from_reader(item, item_class) for item in value)


def _write_headers(builder, name: str, value, item_class) -> None:
    """Write headers as one block, since a struct for each would dominate the cost."""
    setattr(builder, name, b"\n".join([b":".join(header) for header in value]))


def _read_headers(value, item_class) -> tuple:
    if not value:
        return ()
    headers = []
    for line in value.split(b"\n"):
        header_name, colon, header_value = line.partition(b":")
        if not colon:
            raise ValueError("header without a colon")
        headers.append((header_name, header_value))
    return tuple(headers)


class _Field(NamedTuple):
    """A field of a message class.

    Attributes:
        item_class: class of the field's value or of its items, if it is a message.
        write: sets the field of a builder to a value that is not empty.
        read: returns the Python value of a field that was read.
    """

    python_name: str
    schema_name: str
    item_class: type | None
    write: Callable
    read: Callable


def _make_field(name: str, hint) -> _Field:
    schema_name = _camel_case(name)
    if hint == tuple[Header, ...]:
        return _Field(name, schema_name, None, _write_headers, _read_headers)
    is_list = get_origin(hint) is tuple
    item = get_args(hint)[0] if is_list else hint
    if hasattr(item, "_fields"):
        write, read = _write_struct, _read_struct
        if is_list:
            write, read = _write_structs, _read_structs
        return _Field(name, schema_name, item, write, read)
    if is_list:
        return _Field(name, schema_name, None, _write_list, _read_list)
    write = _write_integer if hint is int else _write_value
    return _Field(name, schema_name, None, write, _read_value)


def _fields_of(message_class: type) -> tuple[_Field, ...]:
    hints = get_type_hints(message_class)
    return tuple(_make_field(name, hint) for name, hint in hints.items())


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


def _write_fields(builder, message) -> None:
    """Set the fields of a builder; empty values are the defaults of the schema."""
    for field, value in zip(_FIELDS[type(message)], message):
        if value:
            field.write(builder, field.schema_name, value, field.item_class)


def _from_reader(reader, message_class: type):
    return message_class(
        *[
            field.read(getattr(reader, field.schema_name), field.item_class)
            for field in _FIELDS[message_class]
        ]
    )


def encode_frame(message) -> bytes:
    """Encode a message as the packed bytes of a frame."""
    frame = _SCHEMA.Frame.new_message()
    _write_fields(frame.init(_FRAME_NAMES[type(message)]), message)
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
    builder = _SCHEMA.Datagram.new_message()
    _write_fields(builder, datagram)
    return builder.to_bytes_packed()


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

"""Conversion between message classes and Cap'n Proto.

The schema is loaded at run time. Each message class maps to the struct of the same
name, and the messages that are sent on links are members of the union in ``Frame``.

A message that holds a value which the schema cannot hold is sent without the items of
its lists that hold one; if none of its items is the cause, it is not sent.
"""

from collections import Counter
from pathlib import Path
from typing import Callable, NamedTuple, get_args, get_origin, get_type_hints

import capnp

from guavagap import messages, stream_messages
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.logs import get_logger
from guavagap.messages import Datagram
from guavagap.stream_messages import Header

__all__ = [
    "decode_datagram",
    "decode_frame",
    "dropped_items",
    "encode_datagram",
    "encode_frame",
    "find_problem",
]

log = get_logger()

# Number of items that were left out of messages, by message class.
dropped_items: Counter[str] = Counter()

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


def _find_text_problem(value) -> str | None:
    if not isinstance(value, str):
        return f"{type(value).__name__} is not text"
    try:
        value.encode()
    except UnicodeEncodeError as error:
        return f"text is not valid Unicode: {error.reason}"
    if "\0" in value:
        return "text contains a null character"
    return None


def _find_data_problem(value) -> str | None:
    if not isinstance(value, bytes):
        return f"{type(value).__name__} is not bytes"
    return None


def _find_bool_problem(value) -> str | None:
    if value not in (True, False):
        return f"{type(value).__name__} is not a truth value"
    return None


def _find_header_problem(value) -> str | None:
    """Return what is wrong with headers, which the schema holds as one block."""
    for name, text in value:
        if b":" in name or b"\n" in name or b"\n" in text:
            return f"header {name[:40]!r} contains a separator"
    return None


def _make_integer_check(bits: int) -> Callable:
    allowed = range(2**bits)

    def find_integer_problem(value) -> str | None:
        if not isinstance(value, int):
            return f"{type(value).__name__} is not an integer"
        if value not in allowed:
            return f"integer of {value.bit_length()} bits is not in 0..2^{bits}-1"
        return None

    return find_integer_problem


_SCALAR_CHECKS: dict[str, Callable] = {
    "text": _find_text_problem,
    "data": _find_data_problem,
    "bool": _find_bool_problem,
    "uint8": _make_integer_check(8),
    "uint16": _make_integer_check(16),
    "uint32": _make_integer_check(32),
    "uint64": _make_integer_check(64),
}


def _make_check(schema_type, hint) -> Callable | None:
    """Return the check of a field's values, or of its items; None for messages.

    Args:
        schema_type: type of the field in the schema.
        hint: type of the field in the message class.
    """
    if hint == tuple[Header, ...]:
        return _find_header_problem
    kind = str(schema_type.which())
    if kind == "list":
        return _make_check(schema_type.list.elementType, hint)
    return None if kind == "struct" else _SCALAR_CHECKS[kind]


class _Field(NamedTuple):
    """A field of a message class.

    Attributes:
        item_class: class of the field's value or of its items, if it is a message.
        write: sets the field of a builder to a value that is not empty.
        read: returns the Python value of a field that was read.
        find_problem: returns why the schema cannot hold a value or an item, or None if
            it can; None for messages.
        is_list: whether the schema has a list.
    """

    python_name: str
    schema_name: str
    item_class: type | None
    write: Callable
    read: Callable
    find_problem: Callable | None
    is_list: bool


def _make_field(name: str, hint, struct_schema) -> _Field:
    schema_name = _camel_case(name)
    schema_type = struct_schema.fields[schema_name].proto.slot.type
    check = _make_check(schema_type, hint)
    if hint == tuple[Header, ...]:
        return _Field(
            name, schema_name, None, _write_headers, _read_headers, check, False
        )
    is_list = get_origin(hint) is tuple
    item = get_args(hint)[0] if is_list else hint
    if hasattr(item, "_fields"):
        write, read = _write_struct, _read_struct
        if is_list:
            write, read = _write_structs, _read_structs
        return _Field(name, schema_name, item, write, read, None, is_list)
    if is_list:
        return _Field(name, schema_name, None, _write_list, _read_list, check, True)
    write = _write_integer if hint is int else _write_value
    return _Field(name, schema_name, None, write, _read_value, check, False)


def _fields_of(message_class: type) -> tuple[_Field, ...]:
    struct_schema = getattr(_SCHEMA, message_class.__name__).schema
    return tuple(
        _make_field(name, hint, struct_schema)
        for name, hint in get_type_hints(message_class).items()
    )


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


def find_problem(message) -> str | None:
    """Return why the schema cannot hold a message, or None if it can.

    The text names the field, and the problem without the value.
    """
    for field, value in zip(_FIELDS[type(message)], message):
        problem = _find_field_problem(field, value)
        if problem is not None:
            return f"{type(message).__name__}.{field.python_name}: {problem}"
    return None


def _find_field_problem(field: _Field, value) -> str | None:
    items = value if field.is_list else (value,)
    find = field.find_problem or find_problem
    return next((problem for item in items if (problem := find(item))), None)


def _drop_invalid_items(message):
    """Return a message without the items of lists that the schema cannot hold.

    Items that are messages keep those of their own items that it can hold.
    """
    changes = {}
    for field, value in zip(_FIELDS[type(message)], message):
        if field.item_class is not None and not field.is_list:
            changes[field.python_name] = _drop_invalid_items(value)
        if field.is_list:
            changes[field.python_name] = _keep_valid_items(message, field, value)
    return message._replace(**changes)


def _keep_valid_items(message, field: _Field, items: tuple) -> tuple:
    if field.item_class is not None:
        items = tuple(map(_drop_invalid_items, items))
    kept = []
    for item in items:
        problem = (field.find_problem or find_problem)(item)
        if problem is None:
            kept.append(item)
            continue
        name = type(message).__name__
        dropped_items[name] += 1
        log.error(
            "item left out of message",
            message=name,
            field=field.python_name,
            why=problem,
        )
    return tuple(kept)


# What pycapnp raises for a value that a field cannot hold.
_ENCODING_ERRORS = (capnp.KjException, ValueError, OverflowError, TypeError)


def _encode(message, build: Callable) -> bytes:
    """Encode a message, without the items that the schema cannot hold.

    Raises:
        GuavagapError: MESSAGE_INVALID when it cannot be encoded without them either.
    """
    try:
        return build(message)
    except _ENCODING_ERRORS:
        # The usual path is not slowed down by checks.
        message = _drop_invalid_items(message)
    problem = find_problem(message)
    if problem is not None:
        raise GuavagapError(ErrorKind.MESSAGE_INVALID, problem)
    try:
        return build(message)
    except _ENCODING_ERRORS as error:
        detail = f"{type(message).__name__}: {type(error).__name__}"
        raise GuavagapError(ErrorKind.MESSAGE_INVALID, detail) from None


def _build_frame(message) -> bytes:
    frame = _SCHEMA.Frame.new_message()
    _write_fields(frame.init(_FRAME_NAMES[type(message)]), message)
    return frame.to_bytes_packed()


def encode_frame(message) -> bytes:
    """Encode a message as the packed bytes of a frame.

    Raises:
        GuavagapError: MESSAGE_INVALID when the schema cannot hold it.
    """
    return _encode(message, _build_frame)


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


def _build_datagram(datagram: Datagram) -> bytes:
    builder = _SCHEMA.Datagram.new_message()
    _write_fields(builder, datagram)
    return builder.to_bytes_packed()


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram as packed bytes.

    Raises:
        GuavagapError: MESSAGE_INVALID when the schema cannot hold it.
    """
    return _encode(datagram, _build_datagram)


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

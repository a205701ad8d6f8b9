"""Validation of decoded JSON and TOML against typed dictionaries.

``pydantic`` is imported with the first validation. A node on a platform with an
operator never validates documents, and ``pydantic`` would take a quarter of its start
and a sixth of its memory.
"""

from typing import NamedTuple

__all__ = ["STRICT", "InvalidValueError", "Limits", "ValueProblem", "make_validator"]

# Configuration of typed dictionaries without unknown keys and type conversions.
STRICT = {"extra": "forbid", "strict": True}


class ValueProblem(NamedTuple):
    """One validation error.

    Attributes:
        location: keys and indices that lead to the invalid part.
        reason: the error and the allowed values.
    """

    location: tuple[str | int, ...]
    reason: str


class InvalidValueError(ValueError):
    """A value does not match its schema.

    Attributes:
        problems: every problem that was found.
    """

    def __init__(self, problems: list[ValueProblem]):
        super().__init__(problems[0])
        self.problems = problems


class Limits:
    """Limits of an annotated type.

    Args:
        limits: names and values as in a core schema of ``pydantic``: ``pattern``,
            ``min_length``, ``max_length``, ``ge``, ``gt`` and ``le``.
    """

    def __init__(self, **limits):
        self._limits = limits

    def __get_pydantic_core_schema__(self, source, handler) -> dict:
        return {**handler(source), **self._limits}


class _Validator:
    """Validates values against one schema."""

    def __init__(self, schema):
        self._schema = schema
        self._adapter = None

    def validate(self, value: object):
        """Return a decoded value that matches the schema.

        Raises:
            InvalidValueError: it does not match.
        """
        return self._run("validate_python", value)

    def validate_json(self, body: bytes):
        """Decode JSON and return the value if it matches the schema.

        Raises:
            InvalidValueError: it is not JSON or does not match.
        """
        return self._run("validate_json", body)

    def _run(self, method: str, value):
        from pydantic import TypeAdapter, ValidationError

        if self._adapter is None:
            self._adapter = TypeAdapter(self._schema)
        try:
            return getattr(self._adapter, method)(value)
        except ValidationError as error:
            details = error.errors(include_url=False, include_context=False)
            raise InvalidValueError(
                [ValueProblem(item["loc"], item["msg"]) for item in details]
            ) from None


def make_validator(schema) -> _Validator:
    """Return a validator of a typed dictionary or another annotated type."""
    return _Validator(schema)

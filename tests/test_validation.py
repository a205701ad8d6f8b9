"""Tests of the validation of decoded values."""

import subprocess
import sys
from typing import Annotated, NotRequired

import testtools
from typing_extensions import TypedDict

from guavagap.validation import STRICT, InvalidValueError, Limits, make_validator


class Item(TypedDict):
    """A value with each kind of limit."""

    __pydantic_config__ = STRICT

    name: Annotated[str, Limits(pattern="^[a-z]+$", max_length=3)]
    count: NotRequired[Annotated[int, Limits(ge=1, le=9)]]
    share: NotRequired[Annotated[float, Limits(gt=0)]]
    tags: NotRequired[Annotated[list[str], Limits(min_length=1)]]


class ValidationTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.validator = make_validator(Item)

    def locations(self, value) -> list[tuple]:
        """Return the locations of all problems of a value."""
        try:
            self.validator.validate(value)
        except InvalidValueError as error:
            return [problem.location for problem in error.problems]
        return []

    def test_valid_value_is_returned(self):
        value = {"name": "abc", "count": 9, "share": 0.5, "tags": ["x"]}
        self.assertEqual(value, self.validator.validate(value))

    def test_each_limit_is_reported_at_its_place(self):
        value = {"name": "abcd", "count": 10, "share": 0.0, "tags": []}
        expected = [("name",), ("count",), ("share",), ("tags",)]
        self.assertEqual(expected, self.locations(value))

    def test_unknown_keys_and_other_types_are_invalid(self):
        self.assertEqual([("other",)], self.locations({"name": "a", "other": 1}))
        self.assertEqual([("count",)], self.locations({"name": "a", "count": "1"}))

    def test_text_that_is_not_json_is_invalid(self):
        self.assertRaises(InvalidValueError, self.validator.validate_json, b"{")

    def test_daemon_starts_without_pydantic(self):
        code = "import sys, guavagap.daemon; sys.exit('pydantic' in sys.modules)"
        self.assertEqual(0, subprocess.run([sys.executable, "-c", code]).returncode)

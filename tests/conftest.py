"""Marks the tests listed in KNOWN-RED.txt, and no others, as expected failures."""

from pathlib import Path

import pytest
from hypothesis import settings

# On a busy machine an example of a property test takes longer than Hypothesis's
# default deadline of 200 ms.
settings.register_profile("no-deadline", deadline=None)
settings.load_profile("no-deadline")

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_failures() -> set[str]:
    """Return the IDs of the tests that fail because of a known fault."""
    lines = KNOWN_RED_PATH.read_text("utf-8").splitlines()
    return {
        line.strip().removeprefix(TEST_PREFIX)
        for line in lines
        if line.strip().startswith(TEST_PREFIX)
    }


def pytest_collection_modifyitems(items):
    """Mark the listed tests so that their failure does not fail the run."""
    known = read_known_failures()
    for item in items:
        if item.nodeid in known:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))

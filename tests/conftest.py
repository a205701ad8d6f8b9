"""Passes over the tests that KNOWN-RED.txt names, and over no others."""

from pathlib import Path

import pytest

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_failures() -> set[str]:
    """Return the test identifiers that are known to fail for a real fault."""
    lines = KNOWN_RED_PATH.read_text("utf-8").splitlines()
    return {
        line.strip().removeprefix(TEST_PREFIX)
        for line in lines
        if line.strip().startswith(TEST_PREFIX)
    }


def pytest_collection_modifyitems(items):
    """Let a known red test fail without failing the run."""
    known = read_known_failures()
    for item in items:
        if item.nodeid in known:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))

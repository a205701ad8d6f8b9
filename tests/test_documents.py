"""Tests of decoding and validating service documents."""

import copy
from pathlib import Path

import testtools

from guavagap.documents import (
    check_document,
    decode_document,
    encode_document,
    parse_document,
    routes_overlap,
)

VALID = {
    "service": "cart",
    "owner": "team@shop.example",
    "edited_from": 0,
    "wanted": {"backend_server_version": "v1", "complete_by": "2027-01-01T00:00:00Z"},
    "pools": [{"name": "main"}],
    "routes": [
        {
            "name": "all",
            "host": "shop.example",
            "path_prefix": "/cart",
            "is_idempotent": False,
            "timeout_s": 1.0,
            "pool": "main",
        }
    ],
}


def make_document(**paths) -> dict:
    """Return the valid document with top-level fields replaced."""
    return copy.deepcopy(VALID) | paths


class CheckDocumentTests(testtools.TestCase):
    def problems_of(self, value) -> dict[str, str]:
        checked = check_document(value, "cart.toml")
        return {item.path: item.reason for item in checked.error}

    def test_valid_document_survives_a_round_trip(self):
        document = check_document(VALID, "f").ok
        self.assertEqual(document, decode_document(encode_document(document), "f").ok)

    def test_all_problems_are_reported_together(self):
        value = make_document(service="Not A Name", surprise=1)
        value["routes"][0]["timeout_s"] = -1
        del value["owner"]
        paths = set(self.problems_of(value))
        self.assertEqual({"service", "surprise", "routes[0].timeout_s", "owner"}, paths)

    def test_unknown_pool_is_refused_naming_the_known_pools(self):
        value = make_document()
        value["routes"][0]["pool"] = "other"
        reason = self.problems_of(value)["routes[0].pool"]
        self.assertIn("main", reason)

    def test_duplicate_routes_are_refused(self):
        value = make_document(routes=VALID["routes"] * 2)
        paths = set(self.problems_of(value))
        self.assertEqual({"routes[1].name", "routes[1]"}, paths)

    def test_impossible_date_is_refused(self):
        value = make_document(
            wanted={
                "backend_server_version": "v1",
                "complete_by": "2027-13-01T00:00:00Z",
            }
        )
        self.assertIn("wanted.complete_by", self.problems_of(value))

    def test_text_that_is_not_toml_is_refused(self):
        checked = parse_document("service = ", "cart.toml")
        self.assertIn("not TOML", checked.error[0].reason)

    def test_examples_are_valid(self):
        files = sorted(Path("examples").rglob("*.toml"))
        self.assertEqual(6, len(files))
        for file in files:
            self.assertTrue(parse_document(file.read_text(), str(file)).is_ok(), file)


class OverlapTests(testtools.TestCase):
    def overlap(self, **changes) -> bool:
        route = VALID["routes"][0]
        return routes_overlap(route, {**route, **changes})

    def test_same_match_overlaps(self):
        self.assertTrue(self.overlap(name="other"))
        self.assertTrue(self.overlap(path_prefix="/cart/"))

    def test_other_host_prefix_or_methods_do_not_overlap(self):
        self.assertFalse(self.overlap(host="other.example"))
        self.assertFalse(self.overlap(path_prefix="/cart/x"))
        self.assertFalse(self.overlap(methods=["GET"]))

"""Tests of applying deltas: whole commits, rising epochs, routes with known pools."""

import testtools

from guavagap.configuration import Configuration
from guavagap.documents import compute_digest, encode_document
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.head import Delta, compute_delta, compute_head_digest
from guavagap.snapshot import find_route

PATH = "/{}"


def make_document(service: str, path: str | None = None) -> dict:
    """Return a valid document."""
    return {
        "service": service,
        "owner": "team",
        "edited_from": 0,
        "wanted": {
            "backend_server_version": "v1",
            "complete_by": "2027-01-01T00:00:00Z",
        },
        "pools": [{"name": "main"}],
        "routes": [
            {
                "name": "all",
                "host": "*",
                "path_prefix": path or f"/{service}",
                "is_idempotent": True,
                "timeout_s": 1.0,
                "pool": "main",
            }
        ],
    }


def make_entry(body: bytes, epoch: int, version: int = 1) -> dict:
    """Return an entry for a document body."""
    return {
        "version": version,
        "digest": compute_digest(body),
        "epoch": epoch,
        "document_epoch": epoch,
        "author": "alice",
        "committed_at_s": 0.0,
        "stable_version": "v1",
        "rollout": None,
        "rolled_back_versions": [],
        "is_deleted": False,
    }


def make_full_delta(
    epoch: int, bodies: dict[str, bytes], epochs: dict[str, int]
) -> Delta:
    """Return the delta of a complete head."""
    entries = {s: make_entry(body, epochs[s]) for s, body in bodies.items()}
    by_digest = {compute_digest(body): body for body in bodies.values()}
    return Delta(0, epoch, entries, by_digest, compute_head_digest(epoch, entries))


class ApplyTests(testtools.TestCase):
    def make(self, *services: str) -> Configuration:
        configuration = Configuration()
        bodies = {s: encode_document(make_document(s)) for s in services}
        configuration.apply(make_full_delta(1, bodies, dict.fromkeys(services, 1)))
        return configuration

    def next_delta(self, configuration, service, body, epoch=2) -> Delta:
        entries = dict(configuration.head["entries"])
        entries[service] = make_entry(body, epoch, version=2)
        head = {"epoch": epoch, "change": None, "entries": entries}
        return compute_delta(
            head, {**configuration.bodies, compute_digest(body): body}, epoch - 1
        )

    def assert_rejected(self, function, *args):
        try:
            function(*args)
        except GuavagapError as error:
            self.assertEqual(ErrorKind.CONFIGURATION_REJECTED, error.kind)
        else:
            self.fail("the delta was applied")

    def route(self, configuration, path: bytes):
        return find_route(configuration.snapshot, b"h", path, b"GET")

    def test_lower_or_equal_epoch_is_ignored(self):
        configuration = self.make("a", "b")
        body = encode_document(make_document("a", "/new"))
        configuration.apply(self.next_delta(configuration, "a", body, 2))
        bodies = {"a": encode_document(make_document("a", "/old"))}
        for epoch in (1, 2):
            self.assertFalse(
                configuration.apply(make_full_delta(epoch, bodies, {"a": epoch}))
            )
        self.assertEqual(2, configuration.epoch)
        self.assertIsNotNone(self.route(configuration, b"/new"))

    def test_delta_with_a_gap_wrong_digest_or_missing_body_is_rejected(self):
        configuration = self.make("a")
        body = encode_document(make_document("a", "/new"))
        delta = self.next_delta(configuration, "a", body)
        self.assert_rejected(configuration.apply, delta._replace(base_epoch=5))
        self.assert_rejected(configuration.apply, delta._replace(head_digest="0"))
        self.assert_rejected(configuration.apply, delta._replace(bodies={}))
        corrupt = {compute_digest(body): body + b" "}
        self.assert_rejected(configuration.apply, delta._replace(bodies=corrupt))
        self.assertEqual(1, configuration.epoch)
        self.assertIsNotNone(self.route(configuration, b"/a"))

    def test_invalid_document_rejects_its_whole_commit_and_no_other(self):
        configuration = self.make("a", "b", "c")
        invalid = make_document("a", "/new")
        invalid["routes"][0]["pool"] = "nowhere"
        bodies = {
            "a": encode_document(invalid),
            "b": encode_document(make_document("b", "/new-b")),
            "c": encode_document(make_document("c", "/new-c")),
        }
        delta = make_full_delta(3, bodies, {"a": 2, "b": 2, "c": 3})
        self.assertTrue(configuration.apply(delta))
        self.assertEqual({"a", "b"}, set(configuration.rejections))
        self.assertIn("nowhere", configuration.rejections["a"].reason)
        for path, is_routed in (
            (b"/a", True),
            (b"/b", True),
            (b"/new", False),
            (b"/new-b", False),
            (b"/new-c", True),
            (b"/c", False),
        ):
            self.assertEqual(
                is_routed, self.route(configuration, path) is not None, path
            )

    def test_later_valid_version_clears_a_rejection(self):
        configuration = self.make("a")
        invalid = make_document("a")
        invalid["routes"][0]["timeout_s"] = -1
        configuration.apply(
            self.next_delta(configuration, "a", encode_document(invalid))
        )
        self.assertEqual({"a"}, set(configuration.rejections))
        valid = encode_document(make_document("a", "/better"))
        configuration.apply(self.next_delta(configuration, "a", valid, 3))
        self.assertEqual({}, configuration.rejections)
        self.assertIsNotNone(self.route(configuration, b"/better"))

    def test_route_claimed_by_another_service_is_rejected(self):
        configuration = self.make("a", "b")
        body = encode_document(make_document("b", "/a"))
        configuration.apply(self.next_delta(configuration, "b", body))
        self.assertEqual({"b"}, set(configuration.rejections))
        self.assertEqual("a", self.route(configuration, b"/a").service.service)

    def test_deleted_service_has_no_routes(self):
        configuration = self.make("a", "b")
        entries = dict(configuration.head["entries"])
        entries["a"] = entries["a"] | {
            "epoch": 2,
            "document_epoch": 2,
            "is_deleted": True,
        }
        head = {"epoch": 2, "change": None, "entries": entries}
        configuration.apply(compute_delta(head, {}, 1))
        self.assertIsNone(self.route(configuration, b"/a"))
        self.assertIsNotNone(self.route(configuration, b"/b"))


class RouteMatchTests(testtools.TestCase):
    def test_prefix_matches_whole_segments_and_longest_wins(self):
        configuration = Configuration()
        bodies = {
            "a": encode_document(make_document("a", "/x")),
            "b": encode_document(make_document("b", "/x/y")),
        }
        configuration.apply(make_full_delta(1, bodies, {"a": 1, "b": 1}))

        def service_of(path: bytes):
            route = find_route(configuration.snapshot, b"h", path, b"GET")
            return None if route is None else route.service.service

        self.assertEqual("a", service_of(b"/x"))
        self.assertEqual("a", service_of(b"/x/yy"))
        self.assertEqual("b", service_of(b"/x/y/z"))
        self.assertIsNone(service_of(b"/xx"))

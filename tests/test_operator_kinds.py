"""Tests of the kinds of requests that the operator declares, on real processes."""

from collections import Counter
from http.client import IncompleteRead, RemoteDisconnected

from standins.operator_fleet import RouteSpec
from tests.operator_cases import DEFAULT_ROUTES, OperatorTestCase

# The largest responses that the users announced for downloads.
DOWNLOAD_BYTES = 540 * 1024
DOWNLOAD_ROUTE = RouteSpec("/file/", {"shop": 1}, kind="download")
UNKNOWN_ROUTE = RouteSpec("/novel/", {"shop": 1}, kind="novel")
FAILED_STATUSES = (500, 502, 503, 504)


class DownloadTests(OperatorTestCase):
    def start_with_downloads(self, **knobs):
        fleet = self.start(routes=[*DEFAULT_ROUTES, DOWNLOAD_ROUTE])
        for server_id in fleet.servers:
            fleet.configure_upstream(server_id, response_bytes=DOWNLOAD_BYTES, **knobs)
        return fleet

    def test_download_is_passed_on_whole(self):
        fleet = self.start_with_downloads()
        for number in range(8):
            response = fleet.request("a1", "/file/x", f"d{number}")
            self.assertEqual(200, response.status)
            self.assertEqual(b"x" * DOWNLOAD_BYTES, response.body)

    def test_truncated_download_never_looks_complete(self):
        fleet = self.start_with_downloads(cut_share=1.0)
        for number in range(8):
            try:
                response = fleet.request("a1", "/file/x", f"d{number}")
            except (IncompleteRead, RemoteDisconnected):
                continue
            shape = (number, response.status, len(response.body), response.headers)
            self.assertTrue(response.status in FAILED_STATUSES, shape)

    def test_failed_download_is_tried_again(self):
        fleet = self.start_with_downloads()
        fleet.configure_upstream("i-a1", fail_share=1.0)
        statuses = Counter(
            fleet.request("a1", "/file/x", f"d{number}").status for number in range(12)
        )
        self.assertEqual({200: 12}, dict(statuses))


class UnknownKindTests(OperatorTestCase):
    def test_unknown_kind_neither_stops_other_routes_nor_runs_twice(self):
        fleet = self.start(routes=[*DEFAULT_ROUTES, UNKNOWN_ROUTE])
        self.assertEqual(200, fleet.request("a1", "/shop/x", "q").status)
        self.assertEqual(200, fleet.request("a1", "/novel/x", "n0").status)
        for server_id in fleet.servers:
            fleet.configure_upstream(server_id, fail_share=1.0)
        self.assertEqual(500, fleet.request("a1", "/novel/x", "n1").status)
        self.assertEqual(1, self.run_count(fleet, "n1"))

    def test_unknown_kind_is_a_metric_until_it_is_replaced(self):
        fleet = self.start(layout={"a1": "za"}, routes=[*DEFAULT_ROUTES, UNKNOWN_ROUTE])
        self.assertEqual([1.0], self.unknown_kinds(fleet))
        fleet.configure(9, [*DEFAULT_ROUTES, DOWNLOAD_ROUTE])
        fleet.wait_serving("a1", "/file/x")
        self.assertEqual([0.0], self.unknown_kinds(fleet))

    def unknown_kinds(self, fleet) -> list[float]:
        return [
            value
            for name, value in fleet.metrics("a1").items()
            if name.startswith("guavagap_config_unknown_values")
            and 'resource="route r-2"' in name
            and 'value="novel"' in name
        ]

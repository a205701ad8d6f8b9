"""Tests of the metrics of a node, without a network."""

from types import SimpleNamespace

import testtools
from aioprometheus import render

from guavagap.latency import make_latency_histogram
from guavagap.metrics import NodeMetrics
from guavagap.quotas import CustomerUse

NAME = 'Ann "the" \\ Co.'
ESCAPED_NAME = 'Ann \\"the\\" \\\\ Co.'


class LabelTests(testtools.TestCase):
    def make_metrics(self) -> NodeMetrics:
        """Return the metrics of a node whose only customer has a quota."""
        use = CustomerUse(*[1 for _ in CustomerUse._fields])
        quota_state = SimpleNamespace(
            quotas=1, held=0, lent_per_s=0.0, borrowed_per_s=0.0
        )
        counts = SimpleNamespace(requests={NAME: 2}, not_run={NAME: 1}, refusals={})
        node = SimpleNamespace(
            proxy=SimpleNamespace(
                latency_s=make_latency_histogram(), customer_counts=counts
            ),
            proofs=SimpleNamespace(tracked_age_s=lambda: None, counts={}),
            quotas=SimpleNamespace(
                use=lambda: {NAME: use}, describe=lambda: quota_state
            ),
        )
        return NodeMetrics(node)

    def test_names_from_outside_are_escaped(self):
        """Guards against a name with a quote, which makes all metrics unreadable."""
        metrics = self.make_metrics()
        metrics._collect_customers()
        metrics._collect_quotas()
        metrics._set_gauge("example", "Example.", 1, name="two\nlines")
        text = render(metrics._registry, ["text/plain"])[0].decode()
        lines = [line for line in text.splitlines() if "customer=" in line]
        self.assertEqual(2 + len(CustomerUse._fields), len(lines))
        for line in lines:
            self.assertIn(f'customer="{ESCAPED_NAME}"', line)
        self.assertIn('guavagap_example{name="two\\nlines"} 1', text)

    def test_a_process_can_have_two_proxies(self):
        """Guards against CI that fails by the order of its tests.

        A latency histogram took its name in the registry that a process shares.
        """
        for _ in range(2):
            self.assertIn("guavagap_request_seconds", self.render_histogram())

    def render_histogram(self) -> str:
        return render(self.make_metrics()._registry, ["text/plain"])[0].decode()

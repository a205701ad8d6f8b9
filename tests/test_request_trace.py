"""Tests of tracing a request through the logs of nodes."""

import json

import testtools
from click.testing import CliRunner

from guavagap.cli import main
from guavagap.request_trace import describe_trace, read_log, trace_request

TIME = "time=2026-12-04T10:00:0{}Z level=info "
ATTEMPT = (
    'event="attempt failed" request={} route=r-0 kind={} why="{}" server=i-b1 owner=b1'
    " load=6 load_age_ms=40 slowness=0.91 attempts=1 placements=1 elapsed_ms=12"
    ' left_ms=988 outcome="{}" node=a1'
)
FAILED = 'event="request failed" request={} kind={} why="{}" status={} epoch=7 node=a1'
STATE = 'event="member state" node_id={} state=dead node={}'


def line(seconds: str, text: str, *values) -> str:
    return TIME.format(seconds) + text.format(*values)


class TraceTests(testtools.TestCase):
    def describe(self, request_id: str, *texts: str) -> list[str]:
        return describe_trace(trace_request(request_id, read_log(texts)))

    def test_refused_request_is_described_as_not_run(self):
        text = "no backend server of shop is available"
        lines = self.describe(
            "q1",
            line("1.012", FAILED, "q1", "no_backend_server", text, 503),
            line("1.000", ATTEMPT, "q1", "overloaded", "full", "tried again"),
            line("1.001", ATTEMPT, "q2", "overloaded", "full", "tried again"),
        )
        self.assertEqual("request q1: status 503, no_backend_server; not run", lines[0])
        self.assertEqual(3, len(lines), lines)
        self.assertIn("i-b1 on node b1: overloaded; full (not run)", lines[1])
        self.assertIn("load 6, reported 40 ms before, slowness 0.91", lines[1])
        self.assertIn("+12 ms  a1  request failed: " + text, lines[2])

    def test_lost_request_is_described_as_may_have_run(self):
        kind = "backend_server_lost"
        lines = self.describe(
            "q1",
            line("1.000", ATTEMPT, "q1", kind, "closed", "given up"),
            line("1.012", FAILED, "q1", kind, "closed", 502),
        )
        self.assertEqual(
            "request q1: status 502, backend_server_lost; may have run", lines[0]
        )
        self.assertIn("given up", lines[1])

    def test_retried_request_is_described_by_its_later_attempt(self):
        lines = self.describe(
            "q1", line("1.000", ATTEMPT, "q1", "connect_failed", "cut", "tried again")
        )
        self.assertEqual("request q1: response from a later attempt", lines[0])

    def test_preceding_events_of_the_nodes_involved_are_shown(self):
        lines = self.describe(
            "q1",
            line("1.000", STATE, "b1", "a1"),
            line("1.100", STATE, "c1", "c2"),
            line("2.000", ATTEMPT, "q1", "link_unreachable", "cut", "tried again"),
            line("3.000", STATE, "b1", "a2"),
        )
        self.assertEqual(
            "     -1000 ms  a1  member state node_id=b1 state=dead", lines[-1]
        )
        self.assertEqual(4, len(lines), lines)

    def test_prefixed_lines_are_read_and_malformed_lines_skipped(self):
        lines = self.describe(
            "q1",
            "12.5 a1: " + line("1.000", FAILED, "q1", "not_ready", "it's early", 503),
            "",
            "no fields at all",
            'time=2026-12-04T10:00:01Z level=info event="cut sho',
            "time=yesterday level=info event=x request=q1",
        )
        self.assertEqual(2, len(lines), lines)
        self.assertIn("it's early", lines[1])

    def test_unknown_request_reports_the_dropped_lines(self):
        (text,) = self.describe(
            "q1", 'level=warning event="log lines dropped" count=12'
        )
        self.assertIn("no log line of request q1", text)
        self.assertIn("among 12 dropped lines", text)


class CommandTests(testtools.TestCase):
    def run_trace(self, text: str, *options: str):
        arguments = [*options, "trace", "q1", "-"]
        return CliRunner().invoke(main, arguments, input=text)

    def test_json_output_has_steps_and_context(self):
        text = line("1.000", FAILED, "q1", "not_ready", "early", 503)
        result = self.run_trace(text, "--output", "json")
        self.assertEqual(0, result.exit_code, result.output)
        found = json.loads(result.output)
        self.assertEqual("not_ready", found["steps"][0]["fields"]["kind"])
        self.assertEqual([], found["context"])

    def test_request_without_log_lines_exits_with_code_1(self):
        self.assertEqual(1, self.run_trace("").exit_code)

"""Tests of the rate-limited log writer."""

import os

import testtools

from guavagap.logs import RateLimitedWriter


class RateLimitedWriterTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def make(self, lines_per_s=10.0, burst_lines=5.0) -> RateLimitedWriter:
        return RateLimitedWriter(
            self.writer, lines_per_s, burst_lines, lambda: self.now_s
        )

    def read_lines(self) -> list[str]:
        return os.read(self.reader, 1_000_000).decode().splitlines()

    def test_burst_is_limited_and_dropped_lines_are_reported(self):
        writer = self.make()
        for number in range(20):
            writer.write(f"line {number}")
        self.assertEqual([f"line {n}" for n in range(5)], self.read_lines())
        self.now_s = 1.0
        writer.write("later")
        lines = self.read_lines()
        self.assertIn("count=15", lines[0])
        self.assertEqual("later", lines[1])

    def test_full_pipe_never_blocks_the_writer(self):
        writer = self.make(1e9, 1e9)
        for _ in range(5000):
            writer.write("x" * 200)
        self.assertGreater(writer.dropped_count, 0)
        os.read(self.reader, 1_000_000)
        writer.write("again")
        self.assertEqual("again", self.read_lines()[-1])

    def test_long_line_is_truncated_to_an_atomic_write(self):
        writer = self.make()
        writer.write("x" * 100_000)
        self.assertLessEqual(len(self.read_lines()[0]), 4096)

    def test_closed_reader_is_no_error(self):
        writer = self.make()
        os.dup2(os.open(os.devnull, os.O_RDONLY), self.reader)
        writer.write("lost")
        self.assertEqual(1, writer.dropped_count)

"""Tests of the error kinds and their specifications."""

import testtools

from guavagap.errors import ERROR_SPECS, ErrorKind, GuavagapError, error_spec


class ErrorSpecTests(testtools.TestCase):
    def test_every_kind_has_a_spec(self):
        self.assertEqual(set(ErrorKind), set(ERROR_SPECS))

    def test_statuses_levels_and_exit_codes_are_valid(self):
        for kind in ErrorKind:
            spec = error_spec(kind)
            self.assertTrue(400 <= spec.status < 600, kind)
            self.assertIn(spec.log_level, ("debug", "info", "warning", "error"))
            self.assertIn(spec.exit_code, (1, 2, 3))

    def test_kinds_after_sending_are_not_marked_as_not_run(self):
        for kind in (
            ErrorKind.DEADLINE_AFTER_SEND,
            ErrorKind.BACKEND_SERVER_LOST,
            ErrorKind.BACKEND_SERVER_PROTOCOL,
            ErrorKind.BODY_CUT_SHORT,
            ErrorKind.LINK_LOST,
            ErrorKind.KEY_OUTCOME_UNKNOWN,
            ErrorKind.INTERNAL,
        ):
            self.assertFalse(error_spec(kind).is_not_run, kind)

    def test_values_are_unique(self):
        self.assertEqual(len(ErrorKind), len({kind.value for kind in ErrorKind}))

    def test_error_carries_kind_and_detail(self):
        error = GuavagapError(ErrorKind.CONFLICT, "by alice")
        self.assertEqual("conflict: by alice", str(error))

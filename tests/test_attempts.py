"""Tests of the wait limit for a slot."""

import testtools

from guavagap.attempts import final_wait_s


class FinalWaitTests(testtools.TestCase):
    def test_wait_leaves_time_for_the_run_within_the_target(self):
        wait_s = final_wait_s(target_s=0.5, slowness=0.3, waited_s=0.1, left_s=1.9)
        self.assertLess(wait_s + 0.1 + 0.3 * 0.5, 0.5)
        self.assertGreater(wait_s, 0.1)

    def test_request_that_cannot_meet_its_target_waits_at_most_100_ms(self):
        wait_s = final_wait_s(target_s=0.5, slowness=2.0, waited_s=0.6, left_s=1.4)
        self.assertGreater(wait_s, 0)
        self.assertLessEqual(wait_s, 0.1)

    def test_half_of_the_remaining_time_is_reserved_for_the_run(self):
        self.assertEqual(
            0.05, final_wait_s(target_s=0.5, slowness=0.1, waited_s=0.0, left_s=0.1)
        )

    def test_wait_without_a_target_is_limited_by_the_deadline(self):
        self.assertEqual(
            1.0, final_wait_s(target_s=0.0, slowness=0.0, waited_s=0.0, left_s=2.0)
        )

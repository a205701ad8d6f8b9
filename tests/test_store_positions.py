"""Tests of positions in the history of the metadata store."""

import testtools
from hypothesis import given, strategies

from guavagap.store_positions import (
    BEGINNING,
    StorePosition,
    describe_epoch,
    position_of_epoch,
)

positions = strategies.builds(
    StorePosition, strategies.integers(0, 1000), strategies.integers(0, 10**9)
)


class PositionTests(testtools.TestCase):
    @given(positions, positions)
    def test_epochs_have_the_order_of_their_positions(self, one, other):
        self.assertEqual(one < other, one.epoch < other.epoch)
        self.assertEqual(one, position_of_epoch(one.epoch))

    def test_position_after_a_restore_is_later_though_its_revision_is_lower(self):
        self.assertGreater(StorePosition(2, 3), StorePosition(1, 90))
        self.assertGreater(StorePosition(2, 0), StorePosition(1, 90))
        self.assertEqual(0, BEGINNING.epoch)

    def test_epoch_is_described_by_era_and_revision(self):
        self.assertEqual("2/19", describe_epoch(StorePosition(2, 19).epoch))
        self.assertEqual("19", describe_epoch(StorePosition(0, 19).epoch))

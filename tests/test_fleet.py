"""Tests of the fleet of test doubles."""

import random

import testtools

from standins.fleet import allocate_ports


class PortTests(testtools.TestCase):
    def test_ports_do_not_follow_the_seed_of_a_test(self):
        state = random.getstate()
        ports = allocate_ports(3)
        self.assertEqual(3, len(set(ports)))
        self.assertEqual(state, random.getstate())

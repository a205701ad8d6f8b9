"""How long ago the configuration of this node was certainly the newest one.

A key that the operator has withdrawn must not be honoured later than a given time
after the acknowledgement. Messages that tell of the withdrawal may be lost or delayed,
so a node relies on what it can prove: at some time on its own clock, the store held
nothing newer than what is in force here. That time is when a read of the store was sent
whose response showed nothing newer, or when another node was asked for its proof, less
the age that it named. Delays, freezes and steps of other clocks make a proof older,
never newer.
"""

import math
from typing import Callable, NamedTuple

from guavagap.clock import steady_s

__all__ = ["ConfigurationAge", "MIN_MARGIN_S", "Proof"]

# A watch of the store may return nothing newer for a second while the store drops its
# history; the rest covers the time between the check of a key and the sending.
MIN_MARGIN_S = 1.2


class Proof(NamedTuple):
    """At a time, the store held nothing newer than a configuration.

    Attributes:
        proven_at_s: the time on the local steady clock.
        epoch: epoch of the configuration.
        version: version of its declaration. After a restore of the store, nodes at one
            epoch may have different declarations, but never different versions in the
            order of the operator.
    """

    proven_at_s: float
    epoch: int
    version: int


class ConfigurationAge:
    """The latest proof that the configuration in force was the newest one.

    Args:
        max_age_s: age up to which the configuration counts as current.
        clock: steady clock in seconds that includes suspended time.
    """

    def __init__(self, max_age_s: float, clock: Callable[[], float] = steady_s):
        self.max_age_s = max_age_s
        self._clock = clock
        self._proven_at_s = -math.inf
        self._epoch = 0
        self._version = 0
        self._waiting: Proof | None = None

    def advance(self, epoch: int, version: int) -> None:
        """Record the configuration in force; a proof that waits for it counts then."""
        self._epoch, self._version = epoch, version
        if self._waiting is not None and self._covers(self._waiting):
            proof, self._waiting = self._waiting, None
            self._proven_at_s = max(self._proven_at_s, proof.proven_at_s)

    def record(self, proof: Proof) -> None:
        """Record a proof.

        It counts once the configuration in force is as new as that of the proof, since
        the reply of a node may arrive before the changes that it has pushed. A proof of
        the future is none.
        """
        if proof.proven_at_s > self._clock():
            return
        if self._covers(proof):
            self._proven_at_s = max(self._proven_at_s, proof.proven_at_s)
        elif self._waiting is None or proof.proven_at_s > self._waiting.proven_at_s:
            self._waiting = proof

    def _covers(self, proof: Proof) -> bool:
        return self._epoch >= proof.epoch and self._version >= proof.version

    def age_s(self, now_s: float) -> float:
        """Return the age of the proof in seconds, infinite without one."""
        return now_s - self._proven_at_s

    def is_current(self, now_s: float) -> bool:
        """Return whether the proof is recent enough to rely on the configuration."""
        return self.age_s(now_s) <= self.max_age_s

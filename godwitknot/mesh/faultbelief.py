"""How likely a server has a gray failure, from the outcomes of its runs.

A hidden Markov model with exact updates. The server is either healthy or has
a fault of some mode, towards all callers or towards those of one failure
domain. Faults begin and end at constant rates, so that old outcomes count
less.
"""

import enum
import math

import attrs

from godwitknot.clock import Clock

# Mean time between the faults of one server, and mean duration of a fault.
_HEALTHY_SECONDS = 40.0
_FAULT_SECONDS = 5.0
# Share of the time that a server has a fault.
_FAULTY_SHARE = _FAULT_SECONDS / (_FAULT_SECONDS + _HEALTHY_SECONDS)
# Share of the faults that affect the callers of one failure domain only.
_ONE_DOMAIN_SHARE = 0.15


class Evidence(enum.Enum):
    """What a run shows about its server.

    A server that fails does so at once, while a request that fails for a
    reason of its own, or through one of its calls, has run for a while.
    """

    EARLY_FAILURE = 'early-failure'
    LATE_FAILURE = 'late-failure'
    # No response, or one that is not a response to the request.
    BROKEN_ANSWER = 'broken-answer'
    HANG = 'hang'
    # The run has lasted longer than early failures take.
    SURVIVAL = 'survival'
    SUCCESS = 'success'


class FaultMode(enum.Enum):
    """Ways in which servers with a gray failure fail a part of the runs."""

    FAILING = 'failing'
    STALLING = 'stalling'


_HEALTHY_LIKELIHOODS = {
    Evidence.EARLY_FAILURE: 0.002,
    Evidence.LATE_FAILURE: 0.02,
    Evidence.BROKEN_ANSWER: 0.005,
    Evidence.HANG: 0.02,
    Evidence.SURVIVAL: 0.998,
    Evidence.SUCCESS: 0.97,
}
_FAULT_LIKELIHOODS = {
    FaultMode.FAILING: {
        Evidence.EARLY_FAILURE: 0.6,
        Evidence.LATE_FAILURE: 0.05,
        Evidence.BROKEN_ANSWER: 0.2,
        Evidence.HANG: 0.02,
        Evidence.SURVIVAL: 0.4,
        Evidence.SUCCESS: 0.95,
    },
    FaultMode.STALLING: {
        Evidence.EARLY_FAILURE: 0.002,
        Evidence.LATE_FAILURE: 0.1,
        Evidence.BROKEN_ANSWER: 0.1,
        Evidence.HANG: 0.5,
        Evidence.SURVIVAL: 0.998,
        Evidence.SUCCESS: 0.4,
    },
}


@attrs.frozen
class _Fault:
    """A hypothesis.

    :param zone: of the callers that it affects; empty if it affects all.
    """

    mode: FaultMode
    zone: str

    def likelihood(self, evidence: Evidence, zone: str) -> float:
        """Return the probability of evidence from callers of a domain."""
        if self.zone in {'', zone}:
            return _FAULT_LIKELIHOODS[self.mode][evidence]
        return _HEALTHY_LIKELIHOODS[evidence]


class FaultBelief:
    """Probabilities of the faults that a server may have."""

    def __init__(self, clock: Clock) -> None:
        """Create the belief about a server without outcomes."""
        self._clock = clock
        self._updated = clock.now()
        self._zones: set[str] = set()
        # Probabilities of the faults; the rest is that of a healthy server.
        self._faults = {
            _Fault(mode, ''): _FAULTY_SHARE / len(FaultMode)
            for mode in FaultMode
        }

    def add(self, evidence: Evidence, zone: str) -> None:
        """Take the outcome of a run into account.

        :param zone: failure domain of the caller.
        """
        self._advance()
        if zone not in self._zones:
            self._zones.add(zone)
            for mode in FaultMode:
                self._faults[_Fault(mode, zone)] = 0
        healthy = 1 - sum(self._faults.values())
        healthy *= _HEALTHY_LIKELIHOODS[evidence]
        weights = {
            fault: probability * fault.likelihood(evidence, zone)
            for fault, probability in self._faults.items()
        }
        total = healthy + sum(weights.values())
        self._faults = {
            fault: weight / total for fault, weight in weights.items()
        }

    def probability(self, zone: str, mode: FaultMode | None = None) -> float:
        """Return the probability of a fault.

        :param zone: failure domain of the callers that it affects.
        :param mode: of the fault, any if ``None``.
        """
        self._advance()
        return sum(
            probability
            for fault, probability in self._faults.items()
            if fault.zone in {'', zone} and mode in {None, fault.mode}
        )

    def _advance(self) -> None:
        """Let faults begin and end since the last update."""
        now = self._clock.now()
        elapsed = now - self._updated
        if elapsed <= 0:
            return
        self._updated = now
        lasting = math.exp(-elapsed / _FAULT_SECONDS)
        fading = lasting * math.exp(-elapsed / _HEALTHY_SECONDS)
        faulty = sum(self._faults.values())
        new_faulty = _FAULTY_SHARE + (faulty - _FAULTY_SHARE) * fading
        beginning = new_faulty - faulty * lasting
        for fault, probability in self._faults.items():
            begun = self._prior_share(fault) * beginning
            self._faults[fault] = probability * lasting + begun

    def _prior_share(self, fault: _Fault) -> float:
        """Return the share of new faults that are of this kind."""
        modes = len(FaultMode)
        if not self._zones:
            return 1 / modes
        if fault.zone:
            return _ONE_DOMAIN_SHARE / len(self._zones) / modes
        return (1 - _ONE_DOMAIN_SHARE) / modes

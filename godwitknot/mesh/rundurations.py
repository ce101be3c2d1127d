"""How long the runs of the local server usually take."""

from godwitknot.overload.runtail import RunTail

# A run counts as hung after this multiple of its typical duration.
_HUNG_FACTOR = 3.5
_MIN_HUNG_SECONDS = 0.5
# A run of a class with a long tail counts as hung only where no more than this
# share of its class lasts as long, which the evidence of a hang assumes.
_HUNG_QUANTILE = 0.98
# A server becomes suspect once the ages of its unanswered runs add up to this
# multiple of the typical duration of one run. A lower factor loses fewer
# requests on servers that hang, but passes over healthy ones more often.
_SUSPECT_FACTOR = 2.0
_MIN_SUSPECT_SECONDS = 0.15
# A failure counts as early within this share of a typical run.
_EARLY_SHARE = 0.05
_MIN_EARLY_SECONDS = 0.02
# Expected duration of a run before any was measured, as a share of its
# request's objective. With a fixed duration, servers with long runs would
# look hung after each start.
_INITIAL_RUN_SHARE = 0.2
_SMOOTHING_FACTOR = 0.1
# Objectives whose runs are measured apart.
_MAX_OBJECTIVES = 64


class RunDurations:
    """Durations of successful runs, as shares of their objectives.

    Requests with different objectives take different times on the same
    server. An objective without runs is judged by the runs of the others.
    """

    def __init__(self) -> None:
        """Create the durations of a server without any runs."""
        self._typical_share = _INITIAL_RUN_SHARE
        self._shares: dict[float, float] = {}
        # Of all runs, and of those with one objective.
        self._common_tail = RunTail()
        self._tails: dict[float, RunTail] = {}

    def add(self, seconds: float, objective: float) -> None:
        """Add the duration of a successful run.

        :param objective: of its request, in seconds.
        """
        share = seconds / objective
        self._typical_share = _smooth(self._typical_share, share)
        known = self._shares.get(objective)
        if known is not None:
            self._shares[objective] = _smooth(known, share)
        elif len(self._shares) < _MAX_OBJECTIVES:
            self._shares[objective] = _smooth(self._typical_share, share)
            self._tails[objective] = RunTail()
        self._common_tail.add(share)
        tail = self._tails.get(objective)
        if tail is not None:
            tail.add(share)

    def typical_seconds(self, objective: float) -> float:
        """Return the smoothed duration of successful runs.

        :param objective: of the request, in seconds.
        """
        share = self._shares.get(objective, self._typical_share)
        return share * objective

    def hung_threshold_seconds(self, objective: float) -> float:
        """Return the age from which a run counts as hung.

        :param objective: of the request, in seconds.
        """
        typical = self.typical_seconds(objective)
        tail = self._find_tail(objective).quantile(_HUNG_QUANTILE) * objective
        return max(_MIN_HUNG_SECONDS, _HUNG_FACTOR * typical, tail)

    def survival(self, seconds: float, objective: float) -> float:
        """Return the probability that a healthy run lasts longer.

        :param seconds: age of the run.
        :param objective: of its request, in seconds.
        :returns: 1 for runs too short for a suspicion.
        """
        if seconds < _MIN_SUSPECT_SECONDS:
            return 1
        share = self._shares.get(objective, self._typical_share)
        tail = self._find_tail(objective)
        return tail.survival(seconds / objective, share)

    def suspect_threshold_seconds(self, objective: float) -> float:
        """Return the summed age of runs from which their server is suspect.

        :param objective: of the requests, in seconds.
        """
        typical = self.typical_seconds(objective)
        return max(_MIN_SUSPECT_SECONDS, _SUSPECT_FACTOR * typical)

    def early_failure_seconds(self, objective: float) -> float:
        """Return the age within which a failure counts as early.

        :param objective: of the request, in seconds.
        """
        typical = self.typical_seconds(objective)
        return max(_MIN_EARLY_SECONDS, _EARLY_SHARE * typical)

    def _find_tail(self, objective: float) -> RunTail:
        return self._tails.get(objective, self._common_tail)


def _smooth(average: float, share: float) -> float:
    return average + _SMOOTHING_FACTOR * (share - average)

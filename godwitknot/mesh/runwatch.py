"""Watches the runs on the local server, and which requests it may get."""

from collections.abc import Iterator

from godwitknot.clock import Clock
from godwitknot.mesh.faultbelief import Evidence
from godwitknot.mesh.messages import Offer
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.mesh.slotqueue import SlotReservation
from godwitknot.outcomes import Code, RefusalError
from godwitknot.overload.hangbelief import RunEvidence

# Callers that are refused for a suspicion return after about one run.
_MIN_RETRY_SECONDS = 0.2
# A server is suspect from this factor on by which the odds of a hang have
# grown, about that of one run of twice the usual duration. It gets no request
# that must not be repeated, and others one at a time.
_SUSPECT_EVIDENCE = 3.5
# A server that is the last resort needs more evidence against it.
_LAST_RESORT_EVIDENCE = 6.5
# A server that has not answered yet comes after those that have.
_UNPROVEN_DOUBT = 0.2
# A probability is used again for this long, unless a run starts or ends. An
# offer and its refusal need it up to four times, and offers come in bursts.
_REUSE_SECONDS = 0.005


class RunWatch:
    """Evidence from the runs on the local server that have not ended."""

    def __init__(self, health: ServerHealth, clock: Clock) -> None:
        """Create a watch without runs.

        :param health: receives the evidence.
        """
        self._health = health
        self._clock = clock
        self.running: set[SlotReservation] = set()
        self._hang_probability = float(0)
        self._hang_evidence: object = None
        self._computed_at = float(0)

    def record_survival(self, reservation: SlotReservation) -> None:
        """Record that a run has outlived early failures, once."""
        if not reservation.survived:
            reservation.survived = True
            self._health.record_survival(
                reservation.offer.caller_zone, reservation.granted_at
            )

    def record_survivals(self) -> None:
        """Record each run that has outlived early failures."""
        now = self._clock.now()
        for reservation in self._runs_on_server():
            limit = self._health.durations.early_failure_seconds(
                reservation.offer.objective
            )
            if now - reservation.granted_at > limit:
                self.record_survival(reservation)

    def record_hung_runs(self) -> None:
        """Record each run past the hung threshold as a failure, once."""
        now = self._clock.now()
        for reservation in self._runs_on_server():
            if reservation.granted_at and not reservation.counted_as_hung:
                limit = self._health.durations.hung_threshold_seconds(
                    reservation.offer.objective
                )
                if now - reservation.granted_at > limit:
                    reservation.counted_as_hung = True
                    self._health.record_failure(
                        'hung',
                        reservation.offer.caller_zone,
                        reservation.granted_at,
                        Evidence.HANG,
                    )

    def check_health(self, offer: Offer) -> None:
        """Refuse a request that must not go to a server in doubtful health.

        A request that may run on no other server is lost at one that fails
        it; a refusal lets its caller retry. Other requests also serve as
        trials, one at a time, and may bypass an ejection if they have found no
        other server.

        :raises RefusalError: not run.
        """
        self.record_survivals()
        self.record_hung_runs()
        if not offer.repeatable or offer.repeat >= 1:
            self.check_safety(offer)
            return
        zone = offer.caller_zone
        blocked = self._health.ejection_seconds_left(zone)
        if blocked > 0 and not offer.last_resort or self._has_trial_run(zone):
            wait = max(blocked, _MIN_RETRY_SECONDS)
            raise RefusalError(Code.EJECTED, retry_after=wait)
        if self._has_recent_run() and self.is_suspect():
            raise RefusalError(Code.EJECTED, retry_after=_MIN_RETRY_SECONDS)

    def check_safety(self, offer: Offer) -> None:
        """Refuse a request that may run on no other server after this one.

        :raises RefusalError: not run.
        """
        last_resort = offer.last_resort
        zone = offer.caller_zone
        if self._health.is_unsafe(zone, last_resort=last_resort):
            wait = self._health.ejection_seconds_left(zone)
            raise RefusalError(
                Code.EJECTED, retry_after=max(wait, _MIN_RETRY_SECONDS)
            )
        # If no other server has capacity, a false suspicion costs more.
        evidence = _LAST_RESORT_EVIDENCE if last_resort else _SUSPECT_EVIDENCE
        if self.is_suspect(evidence):
            raise RefusalError(Code.EJECTED, retry_after=_MIN_RETRY_SECONDS)
        if 0 < offer.max_doubt < self.doubt():
            raise RefusalError(Code.DOUBTFUL, retry_after=_MIN_RETRY_SECONDS)

    def hang_probability(self) -> float:
        """Return the probability that the server hangs."""
        now = self._clock.now()
        evidence = (self._health.hang_revision, len(self.running))
        is_fresh = now - self._computed_at < _REUSE_SECONDS
        if not is_fresh or evidence != self._hang_evidence:
            self._computed_at = now
            self._hang_evidence = evidence
            self._hang_probability = self._health.hang_probability(
                self._list_evidence()
            )
        return self._hang_probability

    def doubt(self) -> float:
        """Return how doubtful the server is for work that runs once.

        Before a server has answered a run, nothing shows that it does.
        """
        probability = self.hang_probability()
        if self._health.proven:
            return probability
        return max(probability, _UNPROVEN_DOUBT)

    def is_suspect(self, evidence: float = _SUSPECT_EVIDENCE) -> bool:
        """Return whether the server probably hangs.

        :param evidence: factor by which the odds of a hang must have grown.
            A server without runs is not suspect, however often it hangs.
        """
        share = self._health.hanging_share
        hanging = share * evidence
        return self.hang_probability() >= hanging / (hanging + 1 - share)

    def _list_evidence(self) -> Iterator[RunEvidence]:
        now = self._clock.now()
        for reservation in self._runs_on_server():
            survival = self._health.durations.survival(
                now - reservation.granted_at, reservation.offer.objective
            )
            yield RunEvidence(reservation.granted_at, survival)

    def _has_trial_run(self, zone: str) -> bool:
        """Return whether a run will decide on the ejection for a domain.

        Callers of other domains may use the server in the meantime.
        """
        failed = self._health.last_failure_began(zone)
        if failed is None:
            return False
        return any(
            reservation.granted_at > failed
            for reservation in self.running
            if reservation.offer.caller_zone == zone
            and not self._has_passed(reservation)
        )

    def _has_passed(self, reservation: SlotReservation) -> bool:
        return reservation.survived and self._health.fails_early(
            reservation.offer.caller_zone
        )

    def _has_recent_run(self) -> bool:
        """Return whether a recent run will show if the server responds.

        One such run is enough; more would only wait along with it.
        """
        now = self._clock.now()
        return any(
            now - reservation.granted_at
            < self._health.durations.suspect_threshold_seconds(
                reservation.offer.objective
            )
            for reservation in self.running
        )

    def _runs_on_server(self) -> list[SlotReservation]:
        return [each for each in self.running if not each.awaits_body]

"""Attempts that this sidecar has seen, so that a lost hop can be settled."""

import collections
import enum
import threading

from godwitknot.clock import Clock

# Longer than any class timeout plus the longest pause of an ingress that
# is still worth an answer.
_KEEP_SECONDS = 120.0


class AttemptState(enum.StrEnum):
    """What is known about an attempt."""

    RUNNING = 'running'
    ENDED = 'ended'
    NOT_RUN = 'not-run'


class AttemptLog:
    """Remembers attempt ids; an id that was fenced never runs."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._lock = threading.Lock()
        self._states: collections.OrderedDict[
            str, tuple[AttemptState, float]
        ] = collections.OrderedDict()

    def begin(self, attempt_id: str) -> bool:
        """Admit an attempt.

        :returns: whether it may run; false if it is known or fenced.
        """
        with self._lock:
            self._sweep()
            if attempt_id in self._states:
                return False
            self._put(attempt_id, AttemptState.RUNNING)
        return True

    def end(self, attempt_id: str, state: AttemptState) -> None:
        """Note how an attempt ended."""
        with self._lock:
            self._put(attempt_id, state)

    def resolve_attempt(self, attempt_id: str) -> AttemptState:
        """Tell the state of an attempt; an unknown one is fenced.

        :returns: ``NOT_RUN`` only if it did not and will not run.
        """
        with self._lock:
            known = self._states.get(attempt_id)
            if known is not None:
                return known[0]
            self._put(attempt_id, AttemptState.NOT_RUN)
        return AttemptState.NOT_RUN

    def _put(self, attempt_id: str, state: AttemptState) -> None:
        self._states[attempt_id] = (state, self._clock.now())
        self._states.move_to_end(attempt_id)

    def _sweep(self) -> None:
        # Two for each new one, so that the work is bounded and the log
        # shrinks.
        oldest = self._clock.now() - _KEEP_SECONDS
        for _ in range(2):
            if not self._states:
                return
            attempt_id, (state, since) = next(iter(self._states.items()))
            if since > oldest:
                return
            if state is AttemptState.RUNNING:
                self._put(attempt_id, state)
                continue
            self._states.pop(attempt_id)

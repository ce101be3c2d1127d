"""Attempts that a sidecar has seen, to resolve those whose hop was lost."""

import collections
import enum
import threading

from godwitknot.clock import Clock

# Longer than any class timeout plus the longest pause of an ingress after
# which it still asks for an attempt.
_RETENTION_SECONDS = 120.0


class AttemptState(enum.StrEnum):
    """State of an attempt."""

    RUNNING = 'running'
    ENDED = 'ended'
    NOT_RUN = 'not-run'


class AttemptLog:
    """The recent attempts; one that was fenced as not run never runs."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty log."""
        self._clock = clock
        self._lock = threading.Lock()
        self._states: collections.OrderedDict[
            str, tuple[AttemptState, float]
        ] = collections.OrderedDict()

    def begin(self, attempt_id: str) -> bool:
        """Record the start of an attempt.

        :returns: whether it may run; false if it is known or fenced.
        """
        with self._lock:
            self._evict_expired()
            if attempt_id in self._states:
                return False
            self._set_state(attempt_id, AttemptState.RUNNING)
        return True

    def end(self, attempt_id: str, state: AttemptState) -> None:
        """Record how an attempt ended."""
        with self._lock:
            self._set_state(attempt_id, state)

    def resolve_attempt(self, attempt_id: str) -> AttemptState:
        """Return the state of an attempt; an unknown one is fenced.

        :returns: ``NOT_RUN`` only if it did not and will not run.
        """
        with self._lock:
            entry = self._states.get(attempt_id)
            if entry is not None:
                return entry[0]
            self._set_state(attempt_id, AttemptState.NOT_RUN)
        return AttemptState.NOT_RUN

    def _set_state(self, attempt_id: str, state: AttemptState) -> None:
        self._states[attempt_id] = (state, self._clock.now())
        self._states.move_to_end(attempt_id)

    def _evict_expired(self) -> None:
        # Evicts up to two attempts for each new one, which bounds the work
        # and still lets the log shrink.
        oldest = self._clock.now() - _RETENTION_SECONDS
        for _ in range(2):
            if not self._states:
                return
            attempt_id, (state, updated_at) = next(iter(self._states.items()))
            if updated_at > oldest:
                return
            if state is AttemptState.RUNNING:
                self._set_state(attempt_id, state)
                continue
            self._states.pop(attempt_id)

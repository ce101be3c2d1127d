"""Recent refusals of this ingress, for the operator to look up."""

import collections
import threading

import attrs

from godwitknot.clock import Clock
from godwitknot.outcomes import Code, Outcome, RefusalError

_KEPT = 2000


@attrs.frozen
class RefusedRequest:
    """One refused request.

    :param at: wall-clock seconds.
    """

    at: float
    request_id: str
    work_class: str
    code: Code
    outcome: Outcome
    detail: str

    def explain(self) -> str:
        """Give one line for an operator."""
        text = f'{self.work_class} {self.code}, outcome {self.outcome}'
        return f'{text}: {self.detail}' if self.detail else text


class RefusalLog:
    """The latest refusals by request id."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._lock = threading.Lock()
        self._refused: collections.OrderedDict[str, RefusedRequest] = (
            collections.OrderedDict()
        )

    def add(
        self,
        request_id: str,
        work_class: str,
        refusal: RefusalError,
    ) -> None:
        """Keep a refusal; the oldest is forgotten."""
        entry = RefusedRequest(
            self._clock.wall(),
            request_id,
            work_class,
            refusal.code,
            refusal.outcome,
            refusal.detail,
        )
        with self._lock:
            self._refused[request_id] = entry
            if len(self._refused) > _KEPT:
                self._refused.popitem(last=False)

    def find(self, request_id: str) -> RefusedRequest | None:
        """Find a refusal by request id."""
        with self._lock:
            return self._refused.get(request_id)

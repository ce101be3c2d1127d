"""Recent refusals of this node's ingress, for operators to look up."""

import collections
import threading

import attrs

from godwitknot.clock import Clock
from godwitknot.outcomes import Code, Outcome, RefusalError

_MAX_ENTRIES = 2000


@attrs.frozen
class RefusedRequest:
    """One refused request.

    :param at: time of the refusal in seconds since the epoch.
    """

    at: float
    request_id: str
    work_class: str
    code: Code
    outcome: Outcome
    detail: str

    def explain(self) -> str:
        """Describe the refusal in one line for an operator."""
        text = f'{self.work_class} {self.code}, outcome {self.outcome}'
        return f'{text}: {self.detail}' if self.detail else text


class RefusalLog:
    """The latest refusals by request id, up to a fixed number."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty log."""
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
        """Add a refusal and drop the oldest beyond the maximum."""
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
            if len(self._refused) > _MAX_ENTRIES:
                self._refused.popitem(last=False)

    def find(self, request_id: str) -> RefusedRequest | None:
        """Return the refusal of a request, ``None`` if none is recorded."""
        with self._lock:
            return self._refused.get(request_id)

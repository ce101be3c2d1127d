"""Order of the requests of one priority that wait for a slot."""

import collections
from collections.abc import Sequence

import attrs

# Objectives of calls that servers make are about 1 s, those of callers'
# requests over 2 s.
_MAX_CALL_OBJECTIVE_SECONDS = 1.25
# A request beside others of a similar objective is not taken for a call.
_MAX_CALL_SHARE = 0.5
# Accounts whose service is remembered beyond that of the others.
_MAX_ACCOUNTS = 1024


@attrs.frozen
class WaitingRequest:
    """What decides on the turn of a request.

    :param account: name of its client account, empty for none.
    :param deadline: of its response, on the node's clock.
    :param objective: target latency in seconds.
    :param from_other_service: whether the server beside the node that sent it
        is of another service, as with calls of running requests.
    :param returning: whether it was refused before and returns on time.
    """

    account: str
    deadline: float
    objective: float
    from_other_service: bool
    returning: bool = False

    @property
    def place(self) -> tuple[bool, float]:
        """Place among the requests of its account."""
        return (not self.returning, self.deadline)


class QueueOrder:
    """Selects the next request: calls, then accounts in turn, then deadlines.

    Within an account, those that were refused before and return when they
    were told to come before new ones.

    A call lets a run finish that holds a slot elsewhere. Accounts share the
    slot time by start-time fair queueing, so that one that sends more than
    the others waits behind its own requests. With one account, or none, the
    earliest deadline comes first.
    """

    def __init__(self) -> None:
        """Create an order in which no account was served yet."""
        # Slot time that accounts got beyond the others.
        self._progress: dict[str, float] = {}
        self._reached = float(0)

    def select(self, waiting: Sequence[WaitingRequest]) -> int:
        """Return the index of the request that is served next.

        :param waiting: at least one request.
        """
        longest = max(each.objective for each in waiting)
        return min(
            range(len(waiting)),
            key=lambda index: (
                not _is_call(waiting[index], longest),
                self._find_progress(waiting[index].account),
                waiting[index].place,
            ),
        )

    def count_ahead(
        self, request: WaitingRequest, waiting: Sequence[WaitingRequest]
    ) -> int:
        """Return how many waiting requests are served before a new one."""
        longest = max(
            (each.objective for each in waiting), default=request.objective
        )
        longest = max(longest, request.objective)
        own_call = _is_call(request, longest)
        calls = sum(_is_call(each, longest) for each in waiting)
        peers = [
            each for each in waiting if _is_call(each, longest) == own_call
        ]
        counts = collections.Counter(
            each.account for each in peers if each.account != request.account
        )
        earlier = sum(
            each.account == request.account and each.place <= request.place
            for each in peers
        )
        others = sum(min(each, earlier + 1) for each in counts.values())
        if own_call:
            return earlier + others
        return calls + earlier + others

    def charge(self, account: str, seconds: float) -> None:
        """Count the slot time that a served request is expected to take.

        :param account: name of the client account, empty for none.
        """
        begin = self._find_progress(account)
        self._reached = max(self._reached, begin)
        self._progress[account] = begin + seconds
        if len(self._progress) > _MAX_ACCOUNTS:
            self._forget_accounts()

    def _find_progress(self, account: str) -> float:
        """Return the slot time of an account.

        One that had nothing waiting earns nothing in advance.
        """
        return max(self._reached, self._progress.get(account, 0))

    def _forget_accounts(self) -> None:
        """Forget the accounts that are not ahead of others, or least so."""
        ahead = sorted(
            self._progress, key=self._progress.__getitem__, reverse=True
        )
        self._progress = {
            account: self._progress[account]
            for account in ahead[: _MAX_ACCOUNTS // 2]
        }


def _is_call(request: WaitingRequest, longest: float) -> bool:
    """Return whether a request is probably a call of a running request.

    :param longest: objective of the requests that wait with it, in seconds.
    """
    return (
        request.from_other_service
        and request.objective <= _MAX_CALL_OBJECTIVE_SECONDS
        and request.objective <= _MAX_CALL_SHARE * longest
    )

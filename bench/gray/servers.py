"""Simulated backend servers with faults that come and go."""

import asyncio
import enum
import math
import random

import attrs

from godwitknot.errors import ConnectionCutError
from godwitknot.mesh.model import HttpRequest, HttpResponse, ResponseMetadata

_EARLY_FAILURE_SECONDS = 0.002
# A request that fails for a reason of its own does so after its work.
_OWN_FAILURE_SHARE = 0.012
_ID_FIELD = 'id'
_OK = 200
_ERROR = 500


class FaultKind(enum.Enum):
    """How a server fails the requests that its fault hits."""

    ERRORS = 'errors'
    HANG = 'hang'


@attrs.frozen
class FaultPlan:
    """Faults of the servers of a fleet.

    :param share: of the servers, that have a fault at a time.
    :param seconds: mean duration of a fault.
    :param hit_share: of the requests that a fault hits.
    """

    kind: FaultKind
    share: float
    seconds: float
    hit_share: float


@attrs.frozen
class FaultPeriod:
    """A fault of one server, in seconds of the loop's time."""

    begin: float
    end: float


def draw_periods(
    plan: FaultPlan, begin: float, end: float, rng: random.Random
) -> list[FaultPeriod]:
    """Draw the faults of one server between two moments."""
    healthy_seconds = plan.seconds * (1 - plan.share) / max(plan.share, 1e-9)
    periods = []
    now = begin
    if rng.random() >= plan.share:
        now += rng.expovariate(1 / healthy_seconds)
    while now < end:
        duration = plan.seconds * rng.uniform(0.5, 1.5)
        periods.append(FaultPeriod(now, now + duration))
        now += duration + rng.expovariate(1 / healthy_seconds)
    return periods


@attrs.frozen
class Work:
    """What a request asks of its server.

    :param seconds: mean duration of a run.
    :param spread: standard deviation of its logarithm.
    :param calls: names of the classes of the calls that a run makes.
    :param long_share: of the runs, that take several times as long.
    :param long_factor: how many times as long they take.
    """

    seconds: float
    spread: float = 0.3
    calls: tuple[str, ...] = ()
    long_share: float = 0
    long_factor: float = 1

    def draw_seconds(self, rng: random.Random) -> float:
        """Return the duration of one run without its calls."""
        seconds = self.seconds * rng.lognormvariate(0, self.spread)
        if self.long_share and rng.random() < self.long_share:
            seconds *= self.long_factor
        return seconds


@attrs.define
class RunRecord:
    """A run on a server, for rules that know all of them.

    :ivar ended: on the loop's clock; infinite while the run goes on.
    :ivar learned: whether its duration was taken into account.
    """

    began: float
    work: Work
    ended: float = math.inf
    answered: bool = False
    learned: bool = False

    def seconds(self, now: float) -> float:
        """Return how long the run lasted, or has lasted so far."""
        return min(now, self.ended) - self.began


class SimulatedServer:
    """Runs requests; its queue is never used, since the sidecar has one."""

    def __init__(
        self, plan: FaultPlan, periods: list[FaultPeriod], rng: random.Random
    ) -> None:
        """Create a server with a schedule of faults."""
        self._plan = plan
        self.periods = periods
        self._rng = rng
        self.runs = 0
        self.failed_runs = 0
        self.hung_runs = 0
        self.records: list[RunRecord] = []
        # Set to the function that makes a call and returns if it succeeded.
        self.make_call = None

    def has_fault(self, now: float) -> bool:
        """Return whether the server has a fault at a moment."""
        return any(each.begin <= now < each.end for each in self.periods)

    async def run(self, work: Work, deadline: float) -> int:
        """Run a request and return the status."""
        self.runs += 1
        loop = asyncio.get_running_loop()
        record = RunRecord(loop.time(), work)
        self.records.append(record)
        try:
            status = await self._run(work, deadline)
        except BaseException:
            record.ended = loop.time()
            raise
        record.ended = loop.time()
        record.answered = True
        if status != _OK:
            self.failed_runs += 1
        return status

    async def _run(self, work: Work, deadline: float) -> int:
        loop = asyncio.get_running_loop()
        hit = self.has_fault(loop.time())
        if hit and self._rng.random() < self._plan.hit_share:
            if self._plan.kind is FaultKind.ERRORS:
                await asyncio.sleep(_EARLY_FAILURE_SECONDS)
                return _ERROR
            self.hung_runs += 1
            await asyncio.sleep(max(0, deadline - loop.time()))
            raise ConnectionCutError('hung')
        results = await asyncio.gather(
            *(self.make_call(name, deadline) for name in work.calls)
        )
        await asyncio.sleep(work.draw_seconds(self._rng))
        failed = self._rng.random() < _OWN_FAILURE_SHARE
        return _ERROR if failed or not all(results) else _OK


class SimulatedConnection:
    """A connection of the sidecar to its simulated server."""

    reused = False
    idle_seconds = 0
    received_nothing = True

    def __init__(self, server: SimulatedServer) -> None:
        """Create a connection without a request."""
        self._server = server
        self._request: HttpRequest | None = None
        self.channel = self

    def abort(self) -> None:
        """Do nothing: a cancelled run has ended already."""

    def send(self, http_request: HttpRequest) -> None:
        """Remember the request until its response is read."""
        self._request = http_request

    async def read(self) -> HttpResponse:
        """Run the request and return the response."""
        fields = dict(self._request.fields)
        status = await self._server.run(fields['work'], fields['deadline'])
        return HttpResponse(status, [(_ID_FIELD, fields[_ID_FIELD])], b'')


class SimulatedClient:
    """Takes the place of the HTTP client of a sidecar."""

    def __init__(self, server: SimulatedServer) -> None:
        """Create a client of one server."""
        self._server = server
        self.unexpected_data_listeners: list = []

    async def acquire_connection(
        self, *arguments: object, **options: object
    ) -> SimulatedConnection:
        """Return a new connection."""
        return SimulatedConnection(self._server)

    def release_connection(self, *arguments: object) -> None:
        """Keep no connections."""

    def close_idle(self, *arguments: object) -> None:
        """Keep no connections."""


class SimulatedDialect:
    """Takes the place of the platform's dialect."""

    def build_server_fields(
        self, fields: list, *, seconds_left: float, **options: object
    ) -> list:
        """Add the deadline, in seconds of the loop's time."""
        now = asyncio.get_running_loop().time()
        return [*fields, ('deadline', now + seconds_left)]

    def read_response(self, fields: list) -> ResponseMetadata:
        """Return the metadata of a signed response."""
        return ResponseMetadata(dict(fields)[_ID_FIELD], True, False, '')

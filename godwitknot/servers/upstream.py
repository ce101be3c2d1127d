"""One backend server behind this node: runs requests within its slots."""

import abc
import contextlib
import socket
import threading
from collections.abc import Callable, Iterator

from godwitknot.clock import Clock
from godwitknot.declarations.settings import ServerSection
from godwitknot.servers.admission import ConcurrencyLimiter, SlotRequest
from godwitknot.servers.execution import Run, RunHost
from godwitknot.servers.responsebody import ResponseBody
from godwitknot.servers.runresults import Result, RunEnd
from godwitknot.web.connections import (
    Channel,
    ChannelPool,
    is_closed_by_peer,
    poll_sockets,
)
from godwitknot.web.exchange import Exchange
from godwitknot.web.relay import Load, RelayRequest, RelayResponse

_MAX_IDLE_CONNECTIONS = 8
# A server accepts about 400 connections. With more bodies than this streaming
# to slow readers, slots stay held, so that no more connections are opened.
_MAX_STREAMING_BODIES = 350


class RunObserver(abc.ABC):
    """Observer of the runs on one server."""

    @abc.abstractmethod
    def record_sent(self, request: RelayRequest, *, fresh: bool) -> None:
        """Record that a request was sent.

        :param fresh: whether the connection is new.
        """

    @abc.abstractmethod
    def record_result(self, result: Result) -> None:
        """Record the result of a run."""

    def wants_fresh_connections(self) -> bool:
        """Return whether requests should be sent on new connections only."""
        return False


class UpstreamServer(RunHost):
    """One backend server; runs requests on it within its slots."""

    def __init__(
        self,
        section: ServerSection,
        clock: Clock,
        observer: 'RunObserver',
    ) -> None:
        """Create the server without opening a connection.

        :param section: settings of the server.
        :param observer: gets each sent request and each result.
        """
        self.section = section
        self.limiter = ConcurrencyLimiter(section.name, section.slots, clock)
        self._pool = ChannelPool(section.address, clock, _MAX_IDLE_CONNECTIONS)
        self._clock = clock
        self._observer = observer
        self._last_response = float(0)
        self._lock = threading.Lock()
        self._running: dict[str, tuple[RelayRequest, float]] = {}
        self._bodies: dict[str, ResponseBody] = {}
        self._callers: dict[str, socket.socket] = {}

    def running(self) -> list[tuple[RelayRequest, float]]:
        """Return the requests on the server and when each was sent."""
        with self._lock:
            return list(self._running.values())

    def count_active(self) -> int:
        """Count requests that are queued, running or streaming a response."""
        with self._lock:
            streaming = len(self._bodies)
        counted = self.limiter.load()
        return max(streaming, counted.running + counted.queued)

    def load(self) -> Load:
        """Return the load as counted by this node."""
        counted = self.limiter.load()
        return Load(counted.running, counted.queued, counted.slots)

    def free_slots(self) -> None:
        """Release the slots of responses whose readers are slow.

        The server has finished its work by then, while a slow reader may take
        minutes.
        """
        now = self.now()
        with self._lock:
            bodies = list(self._bodies.values())
        if len(bodies) > _MAX_STREAMING_BODIES:
            return
        for body in bodies:
            body.free_slot(now)

    def cancel_abandoned(self) -> None:
        """Remove queued requests whose callers have disconnected."""
        with self._lock:
            callers = dict(self._callers)
        readable = poll_sockets(list(callers.values()), 0)
        for attempt_id, caller in callers.items():
            if caller.fileno() in readable and is_closed_by_peer(caller):
                self.limiter.cancel(attempt_id)

    def close_idle_connections(self) -> None:
        """Close idle connections, for example after a restart."""
        self._pool.close_idle()

    def run(
        self,
        request: RelayRequest,
        caller: socket.socket | None,
        check_send: Callable[[], None],
    ) -> RelayResponse:
        """Run a request and return the response once its head has arrived.

        :param caller: socket to watch, or ``None`` to run to completion even
            if the caller disconnects.
        :param check_send: called right before the request is sent; may raise.
        :raises RefusalError: with what is known about the execution.
        """
        slot_request = SlotRequest(
            request.attempt_id,
            request.tag.name,
            request.account,
            request.tag.priority,
            request.deadline,
        )
        self.free_slots()
        with contextlib.ExitStack() as stack:
            with self._watch_caller(request, caller):
                slot = stack.enter_context(self.limiter.hold_slot(slot_request))
            check_send()
            run = Run(self, request, caller)
            response = run.start()
            slot.record_response_start()
            slot_context = stack.pop_all()
        return run.stream(response, slot_context)

    def open_channel(self, *, fresh: bool) -> Channel:
        """Return a connection to the server.

        :param fresh: whether it must be a new one.
        :raises ConnectFailedError: if none could be opened.
        """
        suspected = self._observer.wants_fresh_connections()
        return self._pool.acquire(fresh=fresh or suspected)

    def make_exchange(self, channel: Channel) -> Exchange:
        """Return an exchange on a connection to this server."""
        return Exchange(self._pool, channel, self._clock)

    def now(self) -> float:
        """Return the time on the node's clock, seconds."""
        return self._clock.now()

    def responded_since(self, moment: float) -> bool:
        """Return whether the server responded to a request after a time."""
        return self._last_response > moment

    def record_sent(self, request: RelayRequest, *, fresh: bool) -> None:
        """Record that the server may have the request from now on."""
        with self._lock:
            self._running[request.attempt_id] = (request, self.now())
        self._observer.record_sent(request, fresh=fresh)

    def record_response(self) -> None:
        """Record that the server responded now."""
        self._last_response = self.now()

    def track_body(self, attempt_id: str, body: ResponseBody) -> None:
        """Record a response body that is being streamed to the caller."""
        with self._lock:
            self._bodies[attempt_id] = body

    def record_result(self, result: Result) -> None:
        """Report the result of a run to the observer."""
        attempt_id = result.request.attempt_id
        # A lost run stays listed until the observer has handled it, because
        # the observer needs all requests in flight when a server crashed.
        if result.end is not RunEnd.LOST:
            self._remove(attempt_id)
        self._observer.record_result(result)
        self._remove(attempt_id)

    @contextlib.contextmanager
    def _watch_caller(
        self,
        request: RelayRequest,
        caller: socket.socket | None,
    ) -> Iterator[None]:
        """Let :meth:`cancel_abandoned` watch the caller within the body."""
        if caller is None:
            yield
            return
        with self._lock:
            self._callers[request.attempt_id] = caller
        try:
            yield
        finally:
            with self._lock:
                self._callers.pop(request.attempt_id)

    def _remove(self, attempt_id: str) -> None:
        with self._lock:
            self._running.pop(attempt_id, None)
            self._bodies.pop(attempt_id, None)

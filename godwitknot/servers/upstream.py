"""One backend server behind this node: how a request is run on it."""

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

_MOST_IDLE = 8
# A server accepts about 400 connections. With more answers than this on
# their way to slow readers, slots are kept, so no more connections open.
_MOST_PASSED_ON = 350


class RunObserver(abc.ABC):
    """Learns how the runs on one server go."""

    @abc.abstractmethod
    def record_sent(self, request: RelayRequest, *, fresh: bool) -> None:
        """Note that a request was sent.

        :param fresh: whether the connection is a new one.
        """

    @abc.abstractmethod
    def record_result(self, result: Result) -> None:
        """Note how a run ended."""

    def wants_fresh_connections(self) -> bool:
        """Tell whether requests should be sent on new connections only."""
        return False


class UpstreamServer(RunHost):
    """Runs requests on one backend server, within its slots."""

    def __init__(
        self,
        section: ServerSection,
        clock: Clock,
        observer: 'RunObserver',
    ) -> None:
        """Prepare; no connection is opened yet.

        :param section: settings of the server.
        :param observer: learns of each run.
        """
        self.section = section
        self.gate = ConcurrencyLimiter(section.name, section.slots, clock)
        self._pool = ChannelPool(section.address, clock, _MOST_IDLE)
        self._clock = clock
        self._observer = observer
        self._last_answer = float(0)
        self._lock = threading.Lock()
        self._running: dict[str, tuple[RelayRequest, float]] = {}
        self._bodies: dict[str, ResponseBody] = {}
        self._callers: dict[str, socket.socket] = {}

    def running(self) -> list[tuple[RelayRequest, float]]:
        """Give the requests on the server and when each was sent."""
        with self._lock:
            return list(self._running.values())

    def count_active(self) -> int:
        """Count requests that wait, run or whose answer is passed on."""
        with self._lock:
            passed_on = len(self._bodies)
        counted = self.gate.load()
        return max(passed_on, counted.running + counted.queued)

    def load(self) -> Load:
        """Give the load that this node counts."""
        counted = self.gate.load()
        return Load(counted.running, counted.queued, counted.slots)

    def free_slots(self) -> None:
        """Give back the slots of answers whose readers are slow.

        The server has done its work by then, and a slow reader may take
        minutes.
        """
        now = self.now()
        with self._lock:
            bodies = list(self._bodies.values())
        if len(bodies) > _MOST_PASSED_ON:
            return
        for body in bodies:
            body.free_slot(now)

    def cancel_abandoned(self) -> None:
        """Take requests out of the queue whose callers have left."""
        with self._lock:
            callers = dict(self._callers)
        readable = poll_sockets(list(callers.values()), 0)
        for attempt_id, caller in callers.items():
            if caller.fileno() in readable and is_closed_by_peer(caller):
                self.gate.cancel(attempt_id)

    def forget_connections(self) -> None:
        """Drop idle connections, for example after a restart."""
        self._pool.close_idle()

    def run(
        self,
        request: RelayRequest,
        caller: socket.socket | None,
        check_send: Callable[[], None],
    ) -> RelayResponse:
        """Run a request and give the answer once its head is there.

        :param caller: socket to watch, or ``None`` to run to the end.
        :param check_send: called right before the send; may raise.
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
            with self._watching(request, caller):
                slot = stack.enter_context(self.gate.hold_slot(slot_request))
            check_send()
            run = Run(self, request, caller)
            answer = run.start()
            slot.note_answered()
            held = stack.pop_all()
        return run.stream(answer, held)

    def open_channel(self, *, fresh: bool) -> Channel:
        """Get a connection to the server.

        :raises ConnectFailedError: if none could be opened.
        """
        suspected = self._observer.wants_fresh_connections()
        return self._pool.acquire(fresh=fresh or suspected)

    def make_exchange(self, channel: Channel) -> Exchange:
        """Give an exchange on a connection of this server."""
        return Exchange(self._pool, channel, self._clock)

    def now(self) -> float:
        """Give the time on the node's clock."""
        return self._clock.now()

    def answered_since(self, moment: float) -> bool:
        """Tell whether any request was answered after a moment."""
        return self._last_answer > moment

    def record_sent(self, request: RelayRequest, *, fresh: bool) -> None:
        """Note that a request may be on the server from now on."""
        with self._lock:
            self._running[request.attempt_id] = (request, self.now())
        self._observer.record_sent(request, fresh=fresh)

    def note_answer(self) -> None:
        """Note that the server answered something."""
        self._last_answer = self.now()

    def note_body(self, attempt_id: str, body: ResponseBody) -> None:
        """Note that an answer is being passed on."""
        with self._lock:
            self._bodies[attempt_id] = body

    def record_result(self, result: Result) -> None:
        """Pass on how a run went; the first result of an attempt counts."""
        attempt_id = result.request.attempt_id
        # A lost run stays listed until the observer knows of it, which
        # needs all requests in flight when a server crashed.
        if result.end is not RunEnd.LOST:
            self._forget(attempt_id)
        self._observer.record_result(result)
        self._forget(attempt_id)

    @contextlib.contextmanager
    def _watching(
        self,
        request: RelayRequest,
        caller: socket.socket | None,
    ) -> Iterator[None]:
        """Let :meth:`cancel_abandoned` watch the caller meanwhile."""
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

    def _forget(self, attempt_id: str) -> None:
        with self._lock:
            self._running.pop(attempt_id, None)
            self._bodies.pop(attempt_id, None)

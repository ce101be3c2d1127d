"""Search for a server that may take a request, and for how long it may wait."""

from godwitknot.mesh.attempts import Attempt
from godwitknot.mesh.model import HttpRequest, HttpResponse
from godwitknot.mesh.requestcontext import RequestContext
from godwitknot.mesh.rundurations import RunDurations
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import Reach, ServerSelector, Target
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.overload.bytebound import ByteBound
from godwitknot.units import Address

# An attempt takes at most about this multiple of its typical time.
_LONG_RUN = 1.5


class TargetSearch:
    """Decides where a request is offered next.

    Free servers of the own region come first, then short waits there, then
    other regions, then long waits. If the settings bound the bytes between
    regions, a region that is expected to have free slots comes before the
    short waits while those of the own one are expected to be busy.
    """

    def __init__(
        self,
        selector: ServerSelector,
        durations: RunDurations,
        shutdown: Shutdown,
        runtime: Runtime,
    ) -> None:
        """Create a search.

        :param durations: of the requests that this node has sent.
        :param shutdown: of this process.
        """
        self._selector = selector
        self._durations = durations
        self._shutdown = shutdown
        self._clock = runtime.clock
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._byte_bound = ByteBound(runtime.clock, selector.region_link_bytes)

    def choose(self, context: RequestContext) -> tuple[Target | None, float]:
        """Return a server, and how long the request may wait there.

        Servers of the own region come first, also busy ones: traffic between
        regions costs more than a short wait.
        """
        if context.may_offer_again:
            target = self._selector.choose(
                context.service,
                context.excluded | context.refused_by,
                avoided=False,
                reach=Reach.OWN_REGION,
                protocol=context.protocol,
            )
            if target is not None:
                return target, 0
        target = self._choose_doubtful(context)
        if target is not None:
            return target, 0
        # All servers that were asked are busy or ejected.
        return self._join_queue(context, set())

    def record_response(
        self, context: RequestContext, response: HttpResponse
    ) -> None:
        """Learn the size of a service's responses."""
        self._byte_bound.record_response(context.service, len(response.body))

    def choose_hedge(
        self,
        context: RequestContext,
        attempts: list[Attempt],
    ) -> tuple[Target | None, float]:
        """Return a server for a hedged send, and how long it may wait there.

        It joins a queue only if no node has replied.
        """
        used = {each.target.member.address for each in attempts}
        target = None
        if context.may_offer_again:
            target = self._selector.choose(
                context.service,
                context.excluded | context.refused_by | used,
                avoided=False,
                reach=Reach.OWN_REGION,
                protocol=context.protocol,
            )
        if target is None:
            target = self._choose_doubtful(context)
        if target is None and all(each.is_silent for each in attempts):
            return self._join_queue(context, used)
        if target is None:
            target = self._choose_remote(context, used)
        return target, 0

    def is_too_late(self, context: RequestContext) -> bool:
        """Return whether an attempt would outlive this process.

        The first one of a request is started anyway, since its caller may
        have no other node.
        """
        is_first = not context.sends and not context.paused_seconds
        if is_first:
            return False
        left = context.deadline - self._clock.now()
        return min(self._long_run(context), left) > self._shutdown.seconds_left

    def _long_run(self, context: RequestContext) -> float:
        """Return the seconds that most runs of the route stay below."""
        typical = self._durations.typical_seconds(context.route.objective)
        return _LONG_RUN * typical

    def _choose_doubtful(self, context: RequestContext) -> Target | None:
        """Return the least doubtful server that refused for its doubt only.

        A request is not refused untried while a server is free.
        """
        for address in context.doubt_limit.accept():
            target = self._selector.find(context.service, address)
            if target is not None:
                return target
        return None

    def _join_queue(
        self, context: RequestContext, used: set[Address]
    ) -> tuple[Target | None, float]:
        """Return a server whose queue the request may join, and how long.

        :param used: nodes that have the request already.
        """
        max_wait = min(
            context.max_queue_seconds(self._clock.now()),
            self._shutdown.seconds_left - self._long_run(context),
        )
        if max_wait <= 0:
            return None, 0
        short_wait = min(max_wait, context.short_queue_seconds)
        for wait, choose in (
            (short_wait, self._choose_ahead),
            (short_wait, self._choose_queue),
            (short_wait, self._choose_remote),
            (max_wait, self._choose_long_queue),
        ):
            target = choose(context, used)
            if target is not None:
                return target, wait
        return None, 0

    def _choose_queue(
        self, context: RequestContext, used: set[Address]
    ) -> Target | None:
        """Return a server to wait at, preferably one that is not avoided."""
        if not context.may_join_queue:
            return None
        refused = context.queued_at | context.barred | used
        for avoided in (False, True):
            target = self._selector.choose(
                context.service,
                refused,
                avoided=avoided,
                reach=Reach.OWN_REGION,
                protocol=context.protocol,
            )
            if target is not None:
                context.queued_at.add(target.member.address)
                return target
        return None

    def _choose_long_queue(
        self, context: RequestContext, used: set[Address]
    ) -> Target | None:
        """Return a server to wait at for as long as the request may wait."""
        if context.asked_long_queue:
            return None
        context.asked_long_queue = True
        barred = context.barred
        if context.repeatable and context.is_last_resort:
            barred = context.excluded
        return self._selector.choose(
            context.service,
            barred | used,
            avoided=True,
            reach=Reach.OWN_REGION,
            protocol=context.protocol,
        )

    def _choose_ahead(
        self, context: RequestContext, used: set[Address]
    ) -> Target | None:
        """Return a server of a region with room, if the own one has none."""
        region = self._selector.find_region_with_room(context.service)
        if region is None or not context.may_ask_remote:
            return None
        # The settings may have been reloaded.
        self._byte_bound.link_bytes = self._selector.region_link_bytes
        if not self._byte_bound.try_spend(
            context.service,
            _count_body_bytes(context.http_request),
            self._selector.count_region_nodes(),
        ):
            self._telemetry.count('requests_kept_by_byte_bound')
            return None
        target = self._choose_remote(context, used, region)
        if target is not None:
            # A doubtful server there is no better than a wait here.
            context.doubt_limit.accepts_doubtful = context.is_last_resort
            self._telemetry.count('requests_sent_ahead')
            self._log.write_good(
                'request sent ahead',
                request=context.attempt_id,
                service=context.service,
                region=region,
            )
        return target

    def _choose_remote(
        self,
        context: RequestContext,
        used: set[Address],
        region: str | None = None,
    ) -> Target | None:
        """Return a server of another region, if it is likely to accept.

        :param region: the only one considered, ``None`` for all.
        """
        if not context.may_ask_remote:
            return None
        target = self._selector.choose(
            context.service,
            context.queued_at | context.excluded | context.refused_by | used,
            avoided=False,
            reach=Reach.OTHER_REGIONS,
            protocol=context.protocol,
            region=region,
        )
        if target is not None:
            context.record_remote_offer()
        return target


def _count_body_bytes(http_request: HttpRequest) -> int:
    stream = http_request.stream
    return len(http_request.body) if stream is None else stream.size

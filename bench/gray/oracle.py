"""Choice of servers by more knowledge than a node has, as a bound for rules."""

import abc
import asyncio
import math
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs
import numpy as np

from bench.gray.servers import FaultPlan, RunRecord, SimulatedServer
from godwitknot.clock import Clock
from godwitknot.mesh.dispatcher import Dispatcher
from godwitknot.mesh.messages import Offer
from godwitknot.mesh.model import HttpResponse, Placement
from godwitknot.mesh.requestcontext import RequestContext
from godwitknot.mesh.rundurations import RunDurations
from godwitknot.mesh.serverproxy import Sidecar
from godwitknot.mesh.slotqueue import SlotReservation
from godwitknot.units import Address

# Runs that began earlier tell nothing about hangs that are over by now.
_WINDOW_SECONDS = 12.0
_STEP_SECONDS = 0.1


class HangOracle(abc.ABC):
    """Tells which servers hang, from what the simulation knows."""

    @abc.abstractmethod
    def estimate(
        self, servers: Sequence[SimulatedServer], now: float
    ) -> list[float]:
        """Return the probability of a hang now, for each server."""


class TruthOracle(HangOracle):
    """Knows which servers hang: what is lost all the same has other causes."""

    def estimate(
        self, servers: Sequence[SimulatedServer], now: float
    ) -> list[float]:
        """Return 1 for each server that hangs, and 0 for the others."""
        return [float(each.has_fault(now)) for each in servers]


class EvidenceOracle(HangOracle):
    """Knows all runs of all servers at once, and how hangs come and go.

    A filter over the time that is left of a hang, in steps of 0.1 s, with the
    true distributions of hangs and of the times between them. The runs of all
    servers together tell how long healthy ones last.
    """

    def __init__(self, plan: FaultPlan) -> None:
        """Create the oracle of a fleet without runs.

        :param plan: of the hangs; their durations are uniform around the
            mean, from half of it to one and a half times as much.
        """
        self._hit_share = plan.hit_share
        steps = plan.seconds / _STEP_SECONDS
        shortest, longest = round(steps / 2), round(steps * 1.5)
        # Distribution of the steps that are left of a hang at its begin, and
        # at any moment of a hang.
        places = np.arange(longest)
        possible = places >= shortest - 1
        self._begin = possible / possible.sum()
        left = np.flip(np.flip(self._begin).cumsum())
        self._stationary = plan.share * left / left.sum()
        # A hang that had one step left has ended after it.
        self._lasting = places < longest - 1
        healthy = plan.seconds * (1 - plan.share) / max(plan.share, 1e-9)
        self._begin_share = 1 - math.exp(-_STEP_SECONDS / healthy)
        self._durations = RunDurations()

    def estimate(
        self, servers: Sequence[SimulatedServer], now: float
    ) -> list[float]:
        """Return the probabilities, by the runs on all servers so far."""
        ratios = self._compute_ratios(servers, now)
        hanging = np.tile(self._stationary, (len(servers), 1))
        for ratio in ratios.T:
            begin = self._begin_share * (1 - hanging.sum(axis=1))
            hanging = np.roll(hanging, -1, axis=1) * self._lasting
            hanging += np.outer(begin, self._begin)
            total = hanging.sum(axis=1)
            scale = ratio / (1 - total + total * ratio)
            hanging *= scale.reshape(-1, 1)
        return list(hanging.sum(axis=1))

    def _compute_ratios(
        self, servers: Sequence[SimulatedServer], now: float
    ) -> np.ndarray:
        """Return how much likelier the runs are if the server hung.

        :returns: one row for each server and one column for each step in
            which runs began, the present one last.
        """
        steps = round(_WINDOW_SECONDS / _STEP_SECONDS)
        ratios = np.ones((len(servers), steps))
        for row, server in enumerate(servers):
            for run in reversed(server.records):
                age = int((now - run.began) / _STEP_SECONDS)
                if age >= steps:
                    break
                ratio = 1 - self._hit_share
                if run.answered:
                    self._learn(run)
                else:
                    ratio += self._hit_share / self._durations.survival(
                        run.seconds(now), run.work.seconds
                    )
                ratios[row, steps - 1 - age] *= ratio
        return ratios

    def _learn(self, run: RunRecord) -> None:
        """Take the duration of an answered run into account, once."""
        if not run.learned:
            run.learned = True
            self._durations.add(run.ended - run.began, run.work.seconds)


class OracleNode(Protocol):
    """What the oracle's dispatcher needs of a node."""

    placement: Placement
    server: SimulatedServer
    sidecar: Sidecar


@attrs.frozen
class OracleDispatcher:
    """Sends what must not be repeated to the server that an oracle prefers.

    It goes to the free server of any region that hangs least probably, at
    once and without an offer. All else takes the usual path, also if no
    server is free.
    """

    oracle: HangOracle
    dispatcher: Dispatcher
    placement: Placement
    nodes: Mapping[Address, OracleNode]
    clock: Clock

    async def dispatch(self, context: RequestContext) -> HttpResponse:
        """Return the response of a server.

        :raises RefusalError: if there is none.
        """
        if context.repeatable:
            return await self.dispatcher.dispatch(context)
        nodes = [
            node
            for node in self.nodes.values()
            if node.placement.service == context.service
        ]
        estimates = self.oracle.estimate(
            [node.server for node in nodes], self.clock.now()
        )
        sidecars = [nodes[index].sidecar for index in np.argsort(estimates)]
        free = next(filter(_has_free_slot, sidecars), None)
        if free is None:
            return await self.dispatcher.dispatch(context)
        return await self._run(context, free)

    async def _run(
        self, context: RequestContext, sidecar: Sidecar
    ) -> HttpResponse:
        """Run a request past the sidecar's own doubts about its server."""
        granted = asyncio.get_running_loop().create_future()
        granted.set_result(None)
        reservation = SlotReservation(
            self._make_offer(context),
            granted,
            context.deadline,
            granted_at=self.clock.now(),
        )
        sidecar.admission.watch.running.add(reservation)
        return await sidecar.run(reservation)

    def _make_offer(self, context: RequestContext) -> Offer:
        http_request = context.http_request
        return Offer(
            attempt_id=context.attempt_id,
            method=http_request.method,
            target=http_request.target,
            fields=http_request.fields,
            body=http_request.body,
            service=context.service,
            server_id='',
            repeatable=False,
            priority=context.priority,
            seconds_left=context.deadline - self.clock.now(),
            max_wait=0,
            caller_service=self.placement.service,
            caller_zone=self.placement.zone,
            fingerprint=context.fingerprint,
            objective=context.route.objective,
        )


def _has_free_slot(sidecar: Sidecar) -> bool:
    load = sidecar.admission.current_load()
    return load.running < load.slots

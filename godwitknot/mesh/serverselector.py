"""Selection of a backend server for a request."""

import enum
import math

import attrs

from godwitknot.mesh.admissioncontrol import AdmissionControl
from godwitknot.mesh.bodystream import BodyStream
from godwitknot.mesh.contacts import Contacts
from godwitknot.mesh.memberdirectory import (
    STREAMING_PROTOCOL,
    UNSTATED_LENGTH_PROTOCOL,
    Directory,
    Member,
)
from godwitknot.mesh.messages import Load
from godwitknot.mesh.model import Placement
from godwitknot.mesh.runtime import Runtime
from godwitknot.overload.regionoverflow import RegionOverflow
from godwitknot.units import Address

# Of the status of a server; 407 as measured with 5,000.
_STATUS_BYTES = 420
# Cost of a server by distance, in seconds of a caller's time. It covers network
# delay and the price of traffic between failure domains and between regions.
_SAME_ZONE_COST = 0.01
_SAME_REGION_COST = 0.12
_OTHER_REGION_COST = 0.6
# A request that waits for a slot waits about as long as one run takes.
_RUN_SECONDS = 0.3
# Half-life of the weight of a reported load, about the time of one run.
_LOAD_HALF_LIFE_SECONDS = 0.3
_BUSY_COST = 0.08
_JITTER = 0.03
# A server that this node has not tried yet is preferred to equal ones.
_UNTRIED_BONUS = 0.04
# If all servers are to be avoided, those of unreachable nodes come last.
_UNREACHABLE_COST = 5.0
# Servers that asked to be avoided come after those that are busy.
_AVOIDED_COST = 0.5
# An unreachable node gets no requests for this long, unless it answers a digest
# before.
_UNREACHABLE_SECONDS = 20.0
_ROUND_TRIP_SECONDS = (0.002, 0.01, 0.08)


# Servers of other regions are asked as long as this share of the offers of the
# last seconds was accepted there; below it, only now and then.
_MIN_REMOTE_ACCEPTANCE = 0.35
_REMOTE_PROBE_SECONDS = 0.5
_REMOTE_SMOOTHING = 0.3
_REMOTE_RECOVERY_SECONDS = 4.0


class Reach(enum.Enum):
    """Which regions are considered."""

    OWN_REGION = 'own-region'
    OTHER_REGIONS = 'other-regions'


@attrs.define
class _RemoteAcceptance:
    """Share of the offers to other regions that were accepted, by service.

    :ivar share: recent share, which recovers without further offers.
    """

    share: float = 1
    updated: float = 0
    asked: float = -1e9

    def current(self, now: float) -> float:
        """Return the share, which rises to 1 while nothing is offered."""
        age = now - self.updated
        return 1 - (1 - self.share) * math.exp(-age / _REMOTE_RECOVERY_SECONDS)

    def record(self, now: float, *, accepted: bool) -> None:
        """Count the reply to an offer."""
        current = self.current(now)
        self.share = current + _REMOTE_SMOOTHING * (accepted - current)
        self.updated = now

    def may_ask(self, now: float) -> bool:
        """Return whether another offer is worth its traffic."""
        if self.current(now) >= _MIN_REMOTE_ACCEPTANCE:
            return True
        return now - self.asked >= _REMOTE_PROBE_SECONDS


@attrs.define
class _ServerStatus:
    """Status of one server, from the requests that this node sent it."""

    outstanding: int = 0
    reported_load: Load = Load(0, 0, 1)
    reported_at: float = -1e9
    avoid_until: float = 0
    tried: bool = False


@attrs.frozen
class Target:
    """A server to send a request to.

    :param round_trip: expected seconds to its node and back.
    :param remote: whether it is in another region.
    """

    member: Member
    local: bool
    round_trip: float
    remote: bool = False

    def takes(self, stream: BodyStream | None) -> bool:
        """Return whether a body may be sent to it in parts."""
        if stream is None or self.local:
            return True
        if stream.is_stated:
            return self.member.protocol >= STREAMING_PROTOCOL
        return self.member.protocol >= UNSTATED_LENGTH_PROTOCOL


class ServerSelector:
    """Selects servers by distance, load and the results of past requests."""

    def __init__(
        self,
        placement: Placement,
        directory: Directory,
        admission: AdmissionControl,
        runtime: Runtime,
    ) -> None:
        """Create a selector that has sent no requests yet.

        :param admission: of the local server, whose load is known exactly.
        """
        self._placement = placement
        self._directory = directory
        self._local_address = directory.local_member.address
        self._admission = admission
        self._clock = runtime.clock
        self._log = runtime.log
        self._rng = runtime.rng
        self._statuses: dict[tuple[Address, str], _ServerStatus] = {}
        self._remote: dict[str, _RemoteAcceptance] = {}
        self.contacts = Contacts()
        self._overflow = RegionOverflow(runtime.clock, placement.region)

    @property
    def unreachable(self) -> dict[Address, float]:
        """Nodes that did not answer, and since when."""
        return self.contacts.unreachable

    @property
    def region_link_bytes(self) -> float:
        """Bound on bytes between regions by the settings, 0 if none."""
        return self._placement.bounds.region_link_bytes

    def choose(
        self,
        service: str,
        excluded: set[Address],
        *,
        avoided: bool,
        reach: Reach,
        protocol: int = 0,
        region: str | None = None,
    ) -> Target | None:
        """Return the server with the lowest cost that is not excluded.

        :param excluded: nodes that refused the request or were sent it.
        :param avoided: also consider servers that are to be avoided.
        :param protocol: oldest version of the protocol that their nodes may
            speak.
        :param region: the only one of the other regions that is considered,
            ``None`` for all.
        """
        now = self._clock.now()
        local_only = reach is Reach.OWN_REGION
        if not local_only and not self._may_ask_remote(service, now):
            return None
        own_region = self._placement.region
        best: Member | None = None
        best_cost = float(0)
        for member in self._directory.find_servers(service):
            if local_only != (member.region == own_region):
                continue
            if region is not None and member.region != region:
                continue
            if member.address in excluded or member.protocol < protocol:
                continue
            status = self._find_status(member)
            if not avoided and self._is_avoided(member, status, now):
                continue
            cost = self._compute_cost(member, status, now)
            if best is None or cost < best_cost:
                best, best_cost = member, cost
        if best is None:
            return None
        if not local_only:
            self._acceptance(service).asked = now
        return self._make_target(best)

    def find(self, service: str, address: Address) -> Target | None:
        """Return the server of a service on a node, if there still is one."""
        for member in self._directory.find_servers(service):
            if member.address == address:
                return self._make_target(member)
        return None

    def find_region_with_room(self, service: str) -> str | None:
        """Return the region to ask before requests wait in the own one.

        :returns: ``None`` if they are to stay in the own region first, as they
            always are without a bound on bytes between regions.
        """
        if not self.region_link_bytes:
            return None
        servers = self._directory.find_servers(service)
        return self._overflow.find_region_with_room(
            service, {member.region for member in servers}
        )

    def count_region_nodes(self) -> int:
        """Return how many serving nodes the own region has."""
        region = self._placement.region
        return sum(
            member.serving and member.region == region
            for member in self._directory.members
        )

    def record_sent(self, target: Target) -> None:
        """Record a request that was sent."""
        status = self._find_status(target.member)
        status.outstanding += 1
        status.tried = True

    def record_ended(self, target: Target, load: Load | None) -> None:
        """Record the end of a request, and the load reported with it."""
        status = self._find_status(target.member)
        status.outstanding -= 1
        if load is not None:
            status.reported_load = load
            status.reported_at = self._clock.now()
            self._overflow.record_load(
                target.member.service,
                target.member.region,
                (load.running + load.waiting) / max(1, load.slots),
                load.doubt,
            )

    def record_reply(self, target: Target, *, accepted: bool) -> None:
        """Record whether the sidecar of a server accepted an offer."""
        if target.member.region != self._placement.region:
            self._acceptance(target.member.service).record(
                self._clock.now(), accepted=accepted
            )

    def avoid(self, target: Target, seconds: float) -> None:
        """Avoid a server for some seconds if there are others."""
        status = self._find_status(target.member)
        until = self._clock.now() + seconds
        status.avoid_until = max(status.avoid_until, until)

    def mark_unreachable(self, target: Target) -> None:
        """Avoid a node that did not answer until it is reachable again."""
        address = target.member.address
        if address in self.unreachable:
            return
        self.unreachable[address] = self._clock.now()
        self._log.write('node unreachable', peer=target.member.node)

    def mark_reachable(self, address: Address) -> None:
        """Mark a node that has replied or sent an update as reachable."""
        self.contacts.reached[address] = self._clock.now()
        since = self.unreachable.pop(address, None)
        if since is not None:
            seconds = round(self._clock.now() - since, 3)
            self._log.write('node reachable', peer=address, after=seconds)

    def _may_ask_remote(self, service: str, now: float) -> bool:
        return self._acceptance(service).may_ask(now)

    def _acceptance(self, service: str) -> _RemoteAcceptance:
        return self._remote.setdefault(service, _RemoteAcceptance())

    @property
    def table_bytes(self) -> int:
        """Estimated size of what is known of servers, in bytes."""
        return _STATUS_BYTES * len(self._statuses)

    def _find_status(self, member: Member) -> _ServerStatus:
        key = (member.address, member.server_id)
        status = self._statuses.get(key)
        if status is None:
            status = _ServerStatus()
            self._statuses[key] = status
        return status

    def _is_avoided(
        self, member: Member, status: _ServerStatus, now: float
    ) -> bool:
        if status.avoid_until > now:
            return True
        since = self.unreachable.get(member.address)
        return since is not None and now - since < _UNREACHABLE_SECONDS

    def _make_target(self, member: Member) -> Target:
        distance = self._distance(member)
        return Target(
            member,
            self._is_local(member),
            _ROUND_TRIP_SECONDS[distance],
            remote=member.region != self._placement.region,
        )

    def _is_local(self, member: Member) -> bool:
        return member.address == self._local_address

    def _distance(self, member: Member) -> int:
        if member.zone == self._placement.zone:
            return 0
        return 1 if member.region == self._placement.region else 2

    def _compute_cost(
        self, member: Member, status: _ServerStatus, now: float
    ) -> float:
        if self._is_local(member):
            load = self._admission.current_load()
            busy = load.running + load.waiting
            avoided = _AVOIDED_COST if status.avoid_until > now else 0
            return avoided + _compute_load_cost(busy, load.slots)
        cost = (_SAME_ZONE_COST, _SAME_REGION_COST, _OTHER_REGION_COST)[
            self._distance(member)
        ]
        if member.address in self.unreachable:
            cost += _UNREACHABLE_COST
        if status.avoid_until > now:
            cost += _AVOIDED_COST
        age = now - status.reported_at
        decay = 0.5 ** (age / _LOAD_HALF_LIFE_SECONDS)
        reported = (
            status.reported_load.running + status.reported_load.waiting
        ) * decay
        busy = max(status.outstanding, reported)
        cost += _compute_load_cost(busy, member.slots)
        cost += self._rng.random() * _JITTER
        if not status.tried:
            cost -= _UNTRIED_BONUS
        return cost


def _compute_load_cost(busy: float, slots: int) -> float:
    cost = _BUSY_COST * busy / slots
    over = busy + 1 - slots
    if over > 0:
        cost += _RUN_SECONDS * over / slots
    return cost

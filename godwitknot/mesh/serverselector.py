"""The choice of a server for a request."""

import attrs

from godwitknot.mesh.admissioncontrol import AdmissionControl
from godwitknot.mesh.memberdirectory import Directory, Member
from godwitknot.mesh.messages import Load
from godwitknot.mesh.model import Placement
from godwitknot.mesh.runtime import Runtime
from godwitknot.units import Address

# Cost of a server by distance, in seconds of a caller's time: its delay,
# and the price of bytes between failure domains and regions.
_ZONE_COST = 0.01
_REGION_COST = 0.12
_FAR_COST = 0.6
# A request that has to wait for a slot waits about as long as one runs.
_RUN_SECONDS = 0.3
# Told loads lose half of their weight in this time, about one run.
_LOAD_HALF_SECONDS = 0.3
_BUSY_COST = 0.08
_JITTER = 0.03
# A server that this node has not tried gets a request before its equals.
_UNTRIED_BONUS = 0.04
# Where all servers are to be avoided, silent nodes come last.
_SILENT_COST = 5.0
# Servers that asked to be left alone come after those that are busy.
_AVOIDED_COST = 0.5
# A silent node gets no requests until it answers a digest, or this long.
_SILENCE_SECONDS = 20.0
_ROUND_TRIPS = (0.002, 0.01, 0.08)


@attrs.define
class _Peer:
    """What this node knows of one server from its own requests."""

    outstanding: int = 0
    told: Load = Load(0, 0, 1)
    told_at: float = -1e9
    avoid_until: float = 0
    tried: bool = False


@attrs.frozen
class Target:
    """A server to send a request to.

    :param round_trip: expected seconds to its node and back.
    """

    member: Member
    local: bool
    round_trip: float


class ServerSelector:
    """Chooses servers by distance, load and what happened to requests."""

    def __init__(
        self,
        placement: Placement,
        directory: Directory,
        admission: AdmissionControl,
        runtime: Runtime,
    ) -> None:
        """Take what decides.

        :param admission: of the local server, whose load is known exactly.
        """
        self._placement = placement
        self._directory = directory
        self._admission = admission
        self._clock = runtime.clock
        self._log = runtime.log
        self._rng = runtime.rng
        self._peers: dict[tuple[Address, str], _Peer] = {}
        # Nodes that did not answer, and since when.
        self.unreachable: dict[Address, float] = {}

    def choose(
        self,
        service: str,
        excluded: set[Address],
        *,
        avoided: bool,
        anywhere: bool = True,
    ) -> Target | None:
        """Give the best server that is not excluded.

        :param excluded: nodes that the request was refused by or sent to.
        :param avoided: consider also servers that are to be avoided.
        :param anywhere: consider also servers of other regions.
        """
        now = self._clock.now()
        best: Member | None = None
        best_cost = float(0)
        for member in self._directory.find_servers(service):
            if member.address in excluded:
                continue
            peer = self._peer(member)
            if not avoided and self._avoids(member, peer, now):
                continue
            if not anywhere and member.region != self._placement.region:
                continue
            cost = self._cost(member, peer, now)
            if best is None or cost < best_cost:
                best, best_cost = member, cost
        if best is None:
            return None
        distance = self._distance(best)
        return Target(best, self._is_local(best), _ROUND_TRIPS[distance])

    def note_sent(self, target: Target) -> None:
        """Count a request that is on its way."""
        peer = self._peer(target.member)
        peer.outstanding += 1
        peer.tried = True

    def note_ended(self, target: Target, load: Load | None) -> None:
        """Note the end of a request, and the load told with it."""
        peer = self._peer(target.member)
        peer.outstanding -= 1
        if load is not None:
            peer.told = load
            peer.told_at = self._clock.now()

    def avoid(self, target: Target, seconds: float) -> None:
        """Send nothing to a server for some seconds, if others are there."""
        peer = self._peer(target.member)
        until = self._clock.now() + seconds
        peer.avoid_until = max(peer.avoid_until, until)

    def mark_unreachable(self, target: Target) -> None:
        """Avoid a node that did not answer, until it is heard of again."""
        address = target.member.address
        if address in self.unreachable:
            return
        self.unreachable[address] = self._clock.now()
        self._log.write('node unreachable', peer=target.member.node)

    def mark_reachable(self, address: Address) -> None:
        """Trust a node again that has answered or sent news."""
        since = self.unreachable.pop(address, None)
        if since is not None:
            seconds = round(self._clock.now() - since, 3)
            self._log.write('node reachable', peer=address, after=seconds)

    def _peer(self, member: Member) -> _Peer:
        key = (member.address, member.server_id)
        peer = self._peers.get(key)
        if peer is None:
            peer = _Peer()
            self._peers[key] = peer
        return peer

    def _avoids(self, member: Member, peer: _Peer, now: float) -> bool:
        if peer.avoid_until > now:
            return True
        since = self.unreachable.get(member.address)
        return since is not None and now - since < _SILENCE_SECONDS

    def _is_local(self, member: Member) -> bool:
        return member.address == self._directory.local_member.address

    def _distance(self, member: Member) -> int:
        if member.zone == self._placement.zone:
            return 0
        return 1 if member.region == self._placement.region else 2

    def _cost(self, member: Member, peer: _Peer, now: float) -> float:
        if self._is_local(member):
            load = self._admission.load()
            busy = load.running + load.waiting
            avoided = _AVOIDED_COST if peer.avoid_until > now else 0
            return avoided + _load_cost(busy, load.slots)
        cost = (_ZONE_COST, _REGION_COST, _FAR_COST)[self._distance(member)]
        if member.address in self.unreachable:
            cost += _SILENT_COST
        if peer.avoid_until > now:
            cost += _AVOIDED_COST
        age = now - peer.told_at
        faded = 0.5 ** (age / _LOAD_HALF_SECONDS)
        told = (peer.told.running + peer.told.waiting) * faded
        busy = max(peer.outstanding, told)
        cost += _load_cost(busy, member.slots)
        cost += self._rng.random() * _JITTER
        if not peer.tried:
            cost -= _UNTRIED_BONUS
        return cost


def _load_cost(busy: float, slots: int) -> float:
    cost = _BUSY_COST * busy / slots
    over = busy + 1 - slots
    if over > 0:
        cost += _RUN_SECONDS * over / slots
    return cost

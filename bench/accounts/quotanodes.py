"""Nodes with the quota code of the product, on virtual time.

Messages take a constant time between two nodes, or do not arrive. The wiring
of ``godwitknot.mesh.accountquotas`` is real; there are no requests or servers.
"""

import asyncio
import functools
import itertools
import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from bench.accounts.load import Arrival
from bench.gray.virtualtime import LoopClock
from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.quotabounds import QuotaBounds
from godwitknot.mesh import frames
from godwitknot.mesh.accountquotas import AccountQuotas
from godwitknot.mesh.memberdirectory import (
    PROTOCOL_VERSION,
    Directory,
    Member,
)
from godwitknot.mesh.messages import Kind
from godwitknot.mesh.model import ServerState
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.mesh.transfers import Transfer
from godwitknot.outcomes import RefusalError
from godwitknot.units import Address

REGION_COUNT = 2
DOMAIN_COUNT = 4
_LOCAL_SECONDS = 0.001
_REGION_SECONDS = 0.03
# TCP and IP headers of a frame and of its acknowledgment, and its length.
_OVERHEAD_BYTES = 84
_ALL_TIME = 1e9
# Until the last request has an answer.
_LONGEST_SECONDS = 3.0


def make_members(count: int) -> list[Member]:
    """Return the records of nodes in 4 failure domains and 2 regions."""
    members = []
    for number in range(count):
        domain = number % DOMAIN_COUNT
        members.append(
            Member(
                f'node-{number}',
                Address(f'10.0.{number // 250}.{number % 250 + 1}', 1),
                f'z{domain}',
                f'r{domain % REGION_COUNT}',
                'booking',
                f's-{number}',
                1,
                ServerState.READY,
                4,
                incarnation=1,
                revision=0,
                serving=True,
                protocol=PROTOCOL_VERSION,
            )
        )
    return members


class QuietLog:
    """Keeps the events of a node."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.events: list[str] = []

    def write(self, event: str, **fields: object) -> None:
        """Keep the name of an event."""
        self.events.append(event)


@attrs.define(eq=False)
class AccountsHolder:
    """Holds the accounts as a configuration does."""

    accounts: dict[str, ClientAccount]
    version: int = 1
    listeners: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def current(self) -> 'AccountsHolder':
        """The configuration in force."""
        return self

    def change(self, account: ClientAccount) -> None:
        """Put another version of an account into force."""
        self.accounts = {**self.accounts, account.name: account}
        self.version += 1
        for listener in self.listeners:
            listener()


@attrs.define
class Traffic:
    """Messages and bytes between nodes; both ways of a call count."""

    messages: int = 0
    sent_bytes: int = 0
    region_bytes: int = 0


class VirtualRelay:
    """Sends the frames of one node."""

    def __init__(self, fleet: 'QuotaNodes', member: Member) -> None:
        """Create the relay of a node."""
        self._fleet = fleet
        self._member = member

    async def call(
        self, address: Address, frame: bytes, transfer: Transfer
    ) -> tuple[Kind, object] | None:
        """Deliver a frame and return the reply."""
        try:
            async with transfer.limit_time():
                return await self._exchange(address, frame)
        except TimeoutError:
            return None

    async def _exchange(
        self, address: Address, frame: bytes
    ) -> tuple[Kind, object]:
        receiver = self._fleet.nodes[address]
        await self._travel(receiver.member, frame)
        reply = receiver.quotas.handle(*frames.decode(frame))
        await self._travel(receiver.member, reply)
        return frames.decode(reply)

    async def _travel(self, other: Member, frame: bytes) -> None:
        traffic = self._fleet.traffic
        is_remote = other.region != self._member.region
        size = len(frame) + _OVERHEAD_BYTES
        traffic.messages += 1
        traffic.sent_bytes += size
        traffic.region_bytes += size * is_remote
        await asyncio.sleep(_REGION_SECONDS if is_remote else _LOCAL_SECONDS)
        if self._fleet.is_cut(self._member, other):
            # The frame is lost; the caller's time limit ends the wait.
            await asyncio.sleep(_ALL_TIME)


@attrs.define(eq=False)
class QuotaNode:
    """One node, with the times at which it has admitted requests.

    :ivar waits: seconds from each request of an account to its answer.
    """

    member: Member
    directory: Directory
    holder: AccountsHolder
    quotas: AccountQuotas
    telemetry: Telemetry
    log: QuietLog
    ticking: asyncio.Task
    admitted: dict[str, list[float]] = attrs.field(factory=dict)
    refused: dict[str, list[float]] = attrs.field(factory=dict)
    waits: dict[str, list[float]] = attrs.field(factory=dict)

    async def send(self, name: str, seconds_left: float = 5) -> bool:
        """Send a request of an account; return whether it was admitted."""
        account = self.holder.accounts[name]
        loop = asyncio.get_running_loop()
        start = loop.time()
        try:
            await self.quotas.acquire(account, seconds_left)
        except RefusalError:
            results, is_admitted = self.refused, False
        else:
            results, is_admitted = self.admitted, True
        now = loop.time()
        results.setdefault(name, []).append(now)
        self.waits.setdefault(name, []).append(now - start)
        return is_admitted


class QuotaNodes:
    """Nodes that share the quotas of some accounts.

    :ivar is_cut: returns whether frames between two nodes are lost.
    """

    def __init__(
        self,
        count: int,
        accounts: Sequence[ClientAccount],
        seed: int,
        *,
        first_start: bool = False,
    ) -> None:
        """Start all nodes at once."""
        self.rng = random.Random(seed)
        self.traffic = Traffic()
        self.clock = LoopClock()
        self.dead: set[Address] = set()
        # Replaces the quotas of the nodes by another strategy.
        self.send: Callable[[int, str], None] | None = None
        self.cut: Callable[[Member, Member], bool] = functools.partial(
            _are_apart, set()
        )
        self.members = make_members(count)
        self.nodes: dict[Address, QuotaNode] = {}
        # With those that were replaced by a restart.
        self.started: list[QuotaNode] = []
        self._accounts = {account.name: account for account in accounts}
        self._first_start = first_start
        for member in self.members:
            self.start(member)
        # A node that starts again has first_start=false in its settings.
        self._first_start = False

    @property
    def all(self) -> list[QuotaNode]:
        """All nodes, also dead ones."""
        return [self.nodes[member.address] for member in self.members]

    def is_cut(self, one: Member, other: Member) -> bool:
        """Return whether frames between two nodes are lost."""
        if self.dead and not self.dead.isdisjoint((one.address, other.address)):
            return True
        return self.cut(one, other)

    def start(self, member: Member) -> QuotaNode:
        """Start a node that knows the records of all others."""
        directory = Directory(member)
        directory.merge(self.members)
        telemetry = Telemetry()
        log = QuietLog()
        holder = AccountsHolder(dict(self._accounts))
        runtime = Runtime(
            self.clock, log, telemetry, random.Random(self.rng.random())
        )
        quotas = AccountQuotas(
            directory,
            holder,
            VirtualRelay(self, member),
            QuotaBounds(),
            runtime,
            first_start=self._first_start,
        )
        ticking = asyncio.ensure_future(quotas.run())
        node = QuotaNode(
            member, directory, holder, quotas, telemetry, log, ticking
        )
        self.nodes[member.address] = node
        self.started.append(node)
        return node

    def kill(self, member: Member) -> None:
        """End a node; all that it held is lost."""
        self.dead.add(member.address)
        self.nodes[member.address].ticking.cancel()

    def restart(self, member: Member) -> QuotaNode:
        """Start a node again; all nodes learn of it at once."""
        self.kill(member)
        self.dead.discard(member.address)
        current = self.nodes[member.address].directory.local_member
        incarnation = current.incarnation + 1
        restarted = attrs.evolve(current, incarnation=incarnation)
        self.members = [
            restarted if each.address == member.address else each
            for each in self.members
        ]
        node = self.start(restarted)
        self.publish(restarted)
        return node

    def publish(self, member: Member) -> None:
        """Let all nodes know a record."""
        for node in self.nodes.values():
            node.directory.merge([member])

    def find_home(self, name: str) -> QuotaNode:
        """Return the first home of an account."""
        peers = self.all[0].quotas.peers
        return self.nodes[peers.rank(name)[0]]

    async def play(
        self,
        arrivals: Sequence[Arrival],
        events: Sequence[tuple[float, Callable[[], object]]] = (),
    ) -> None:
        """Send requests, and wait until all of them have an answer.

        Callers of a dead node use the next one.

        :param events: moments after the start, and what happens then.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        sends: list[asyncio.Task] = []
        for moment, act in events:
            loop.call_at(start + moment, act)
        for arrival in arrivals:
            loop.call_at(start + arrival.moment, self._send, arrival, sends)
        await asyncio.sleep(arrivals[-1].moment + _LONGEST_SECONDS)
        await asyncio.gather(*sends)

    def cut_apart(self, group: Sequence[Member]) -> None:
        """Cut some nodes off from all others."""
        addresses = {member.address for member in group}
        self.cut = functools.partial(_are_apart, addresses)

    def _send(self, arrival: Arrival, sends: list[asyncio.Task]) -> None:
        index = self._find_alive(arrival.node)
        if self.send is not None:
            self.send(index, arrival.name)
            return
        node = self.nodes[self.members[index].address]
        sends.append(asyncio.ensure_future(node.send(arrival.name)))

    def _find_alive(self, index: int) -> int:
        while self.members[index].address in self.dead:
            index = (index + 1) % len(self.members)
        return index

    def list_admitted(self, name: str) -> list[float]:
        """Return the times of the admitted requests of an account."""
        return sorted(
            moment
            for node in self.started
            for moment in node.admitted.get(name, ())
        )

    def list_waits(self, names: Iterable[str]) -> list[float]:
        """Return the seconds until the answer of each request.

        :param names: of accounts.
        """
        pairs = itertools.product(self.started, names)
        waits = (node.waits.get(name, ()) for node, name in pairs)
        return list(itertools.chain.from_iterable(waits))


def _are_apart(group: set[Address], one: Member, other: Member) -> bool:
    return (one.address in group) != (other.address in group)


def find_overrun(
    moments: Sequence[float], account: ClientAccount, bounds: QuotaBounds
) -> float:
    """Return by how many requests the worst window exceeds the limit.

    :param moments: sorted times of admitted requests.
    :returns: negative if no window reaches the limit.
    """
    quota = account.rate * bounds.window + account.burst
    limit = quota * (1 + bounds.overage) + bounds.slack
    worst = 0
    start = 0
    for index, moment in enumerate(moments):
        while moments[start] <= moment - bounds.window:
            start += 1
        worst = max(worst, index + 1 - start)
    return worst - limit

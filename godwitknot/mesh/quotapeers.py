"""Calls between nodes about quotas, and which nodes are in touch."""

import asyncio
import collections
import math
from collections.abc import Callable, Sequence

from godwitknot.accounts.homechoice import HomeChoice
from godwitknot.accounts.quotabounds import QuotaBounds
from godwitknot.accounts.quotagrants import Grant, Verdict
from godwitknot.accounts.reachability import Reachability
from godwitknot.accounts.takeovers import Takeovers
from godwitknot.mesh import frames
from godwitknot.mesh.backgroundtasks import BackgroundTasks
from godwitknot.mesh.memberdirectory import QUOTA_PROTOCOL, Directory, Member
from godwitknot.mesh.messages import Kind, QuotaRequest
from godwitknot.mesh.relayclient import RelayClient
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.transfers import Transfer
from godwitknot.units import Address

# Regions are 60 ms apart and back, and a connection may have to be opened.
_CALL_TIMEOUT_SECONDS = 0.25
# Nodes of each failure domain that are called to see whether it is in touch.
_SAMPLES_PER_DOMAIN = 3
# In a partition, a node checks the losses of many others at once.
_SAMPLE_SECONDS = 0.4
# A witness that does not know calls the node before it is asked again. Its call
# takes as long as that of this node, apart from the ways.
_WITNESS_MARGIN_SECONDS = 0.02
_WITNESS_ROUNDS = 3
# A node that was heard within this time is in touch. It is shorter than the time
# limit of a call, after which other nodes ask.
_RECENT_SECONDS = 0.2


# Accounts whose nodes are ranked at a time.
_NAMES_PER_STEP = 50


class QuotaPeers:
    """The other nodes that can be quota homes."""

    def __init__(
        self,
        directory: Directory,
        relay: RelayClient,
        bounds: QuotaBounds,
        runtime: Runtime,
        list_names: Callable[[], Sequence[str]],
    ) -> None:
        """Create a view in which all nodes are in touch.

        :param relay: sends frames to other nodes.
        :param list_names: returns the accounts that have a home.
        """
        self._list_names = list_names
        self._directory = directory
        self._local = directory.local_member.address
        self._relay = relay
        self._bounds = bounds
        self._clock = runtime.clock
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._rng = runtime.rng
        self._choice = HomeChoice()
        self._reachability = Reachability(runtime.clock)
        self._takeovers = Takeovers(runtime.clock, runtime.rng)
        self._tasks = BackgroundTasks(runtime)
        # Other nodes by failure domain, ``None`` if they have changed.
        self._domains: dict[str, list[Address]] | None = None
        self._incarnations: dict[Address, int] = {}
        self._sampled_at = -math.inf
        # Called when the home of an account may have changed.
        self.change_listeners: list[Callable[[], None]] = []
        directory.listeners.append(self._handle_record_change)
        for member in directory.members:
            self._handle_record_change(member)

    @property
    def node_count(self) -> int:
        """Number of nodes among which a quota is shared."""
        return max(1, len(self._choice.nodes))

    @property
    def is_silent(self) -> bool:
        """Whether this node has heard no other one lately."""
        return self._reachability.is_silent

    def rank(self, name: str) -> tuple[Address, ...]:
        """Return the nodes that may be the home of an account, in order."""
        return self._choice.rank(name)

    def find_home(self, name: str) -> Address | None:
        """Return the home of an account in this node's view.

        :returns: ``None`` if too many nodes are lost.
        """
        for address in self._choice.rank(name):
            if not self._reachability.is_lost(address):
                return address
        return None

    def find_successor(self, name: str) -> Address | None:
        """Return the node that replaces the home if it is lost."""
        found = [
            address
            for address in self._choice.rank(name)
            if not self._reachability.is_lost(address)
        ]
        return found[1] if len(found) > 1 else None

    def measure_absence(self, name: str) -> float:
        """Return for how long the nodes before this one have been lost.

        :returns: 0 for the first node in the rank of an account.
        """
        losses: list[float] = []
        for address in self._choice.rank(name):
            if address == self._local:
                break
            losses.append(self._takeovers.measure_loss(address))
        return min(losses, default=0)

    def is_home(self, name: str) -> bool:
        """Return whether this node may issue tokens of an account.

        It starts to check the losses of nodes that come before it.
        """
        for address in self._choice.rank(name):
            if address == self._local:
                return True
            if not self._reachability.is_lost(address):
                return False
            if self._takeovers.begin_check(address):
                self._tasks.spawn(self._check_loss(address))
            if not self._takeovers.is_confirmed(address):
                return False
        return False

    def probe_predecessors(self, name: str) -> None:
        """Check the nodes that come before this one, which others have lost.

        :param name: account whose tokens another node has asked for here.
        """
        ranked = self._choice.rank(name)
        if self._local not in ranked:
            return
        for address in ranked[: ranked.index(self._local)]:
            is_known = self._reachability.has_heard(
                address, _RECENT_SECONDS
            ) or self._reachability.is_lost(address)
            if not is_known and self._takeovers.begin_check(address):
                self._tasks.spawn(self._check_loss(address))

    def compute_issued_share(self) -> float:
        """Return the share of a quota that this node may issue as home.

        Nodes out of touch may use their own shares, or another home.
        """
        lost = self._reachability.estimate_lost_share(self._group_domains())
        lost *= (self.node_count - 1) / self.node_count
        if lost <= self._bounds.ignored_share:
            return 1
        return max(1 - lost, 1 / self.node_count)

    async def request_first(
        self, addresses: Sequence[Address], **fields
    ) -> Grant | None:
        """Send a request to several nodes; return the first grant.

        :returns: the last answer if none of them grants tokens, ``None`` if
            there is none in time.
        """
        calls = [
            asyncio.ensure_future(self.request(address, **fields))
            for address in addresses
        ]
        for call in calls:
            self._tasks.track(call)
        answer = None
        for finished in asyncio.as_completed(calls):
            grant = await finished
            answer = answer if grant is None else grant
            if grant is not None and grant.verdict is Verdict.GRANTED:
                break
        return answer

    async def request(self, address: Address, **fields) -> Grant | None:
        """Send a request and return the answer.

        :param fields: of the request, without its sender.
        :returns: ``None`` if there is none in time.
        """
        frame = frames.encode_quota_request(QuotaRequest(self._local, **fields))
        transfer = Transfer(
            _CALL_TIMEOUT_SECONDS, max_seconds=_CALL_TIMEOUT_SECONDS
        )
        self._telemetry.count('quota_requests_sent')
        started = self._clock.now()
        reply = await self._relay.call(address, frame, transfer)
        if reply is None or reply[0] is not Kind.QUOTA_GRANT:
            self._telemetry.count('quota_requests_unanswered')
            if self._reachability.record_failed(address, started):
                self._report_change(address, 'quota peer lost')
            return None
        self.record_heard(address, answered=True)
        return reply[1]

    def record_heard(self, address: Address, *, answered: bool = False) -> None:
        """Record a frame of another node.

        :param answered: whether it is the reply to a request.
        """
        if self._reachability.record_heard(address, answered=answered):
            self._takeovers.forget(address)
            self._report_change(address, 'quota peer regained')

    def judge(self, address: Address) -> Verdict:
        """Return what this node knows of another one.

        If it knows nothing, it calls that node.
        """
        if address == self._local or self._reachability.has_heard(
            address, _RECENT_SECONDS
        ):
            return Verdict.REACHABLE
        if self._reachability.has_failed(address):
            return Verdict.LOST
        self._tasks.spawn(self.request(address))
        return Verdict.UNKNOWN

    def accept_loss(self, address: Address) -> None:
        """Accept a loss that another node has confirmed.

        A node that can reach the lost one does not.
        """
        is_known = address == self._local or self._reachability.has_heard(
            address, _RECENT_SECONDS
        )
        if is_known or address not in self._choice.nodes:
            return
        self._tasks.spawn(self._adopt_loss(address))

    async def sample(self, count: int = 1) -> None:
        """Call nodes of each failure domain that were not heard lately.

        :param count: in each domain. If a call fails, more nodes are called.
        """
        now = self._clock.now()
        if now - self._sampled_at < _SAMPLE_SECONDS:
            return
        self._sampled_at = now
        domains = self._group_domains()
        await asyncio.gather(
            *(self._sample_domain(nodes, count) for nodes in domains.values())
        )

    async def _sample_domain(self, nodes: list[Address], count: int) -> None:
        while count:
            drawn = self._reachability.draw_silent(nodes, count, self._rng)
            replies = await asyncio.gather(*map(self.request, drawn))
            has_failed = None in replies
            more = has_failed and count < _SAMPLES_PER_DOMAIN
            count = _SAMPLES_PER_DOMAIN if more else 0

    def probe_lost(self) -> None:
        """Call lost nodes again from time to time."""
        for address in self._reachability.list_due_probes(self._choice.nodes):
            self._tasks.spawn(self.request(address))

    def _handle_record_change(self, member: Member) -> None:
        address = member.address
        eligible = member.serving and member.protocol >= QUOTA_PROTOCOL
        before = self._incarnations.pop(address, member.incarnation)
        if eligible:
            self._incarnations[address] = member.incarnation
        restarted = before != member.incarnation
        if restarted or not eligible:
            self._reachability.forget(address)
            self._takeovers.forget(address)
        if self._choice.change(address, eligible=eligible):
            self._domains = None
        elif not restarted:
            return
        self._notify_listeners()

    def _group_domains(self) -> dict[str, list[Address]]:
        if self._domains is None:
            domains = collections.defaultdict(list)
            for address in sorted(self._choice.nodes, key=str):
                if address != self._local:
                    zone = self._directory.find(address).zone
                    domains[zone].append(address)
            self._domains = domains
        return self._domains

    def _report_change(self, address: Address, event: str) -> None:
        self._log.write(event, peer=str(address))
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self.change_listeners:
            listener()

    async def _check_loss(self, lost: Address) -> None:
        """Ask witnesses about a lost node, and call it and others again."""
        others = self._choice.nodes - {self._local, lost}
        witnesses = self._takeovers.draw_witnesses(
            [node for node in others if not self._reachability.is_lost(node)]
        )
        verdicts: dict[Address, Verdict | None] = dict.fromkeys(
            witnesses, Verdict.UNKNOWN
        )
        self._tasks.spawn(self.sample(_SAMPLES_PER_DOMAIN))
        answer, _ = await asyncio.gather(
            self.request(lost), self._ask_witnesses(lost, verdicts)
        )
        for _ in range(_WITNESS_ROUNDS - 1):
            if answer is not None or Verdict.UNKNOWN not in verdicts.values():
                break
            await asyncio.sleep(_WITNESS_MARGIN_SECONDS)
            await self._ask_witnesses(lost, verdicts)
        if not self._reachability.has_failed(lost):
            self._takeovers.conclude(lost, [Verdict.REACHABLE], others=1)
            return
        was_adopted = self._takeovers.is_adopted(lost)
        is_confirmed = self._takeovers.conclude(
            lost, list(verdicts.values()), others=len(others)
        )
        if is_confirmed and self._reachability.confirm_lost(lost):
            self._log.write('quota peer lost', peer=str(lost))
        if is_confirmed and not was_adopted:
            self._tasks.spawn(self._announce_loss(lost))
        self._log.write(
            'quota home checked',
            peer=str(lost),
            confirmed=is_confirmed,
            verdicts=[str(verdict) for verdict in verdicts.values()],
        )
        self._notify_listeners()

    async def _adopt_loss(self, lost: Address) -> None:
        """Call a node that others have lost; if it fails, so has this one."""
        started = self._clock.now()
        is_lost = self._reachability.has_failed(lost)
        if not is_lost and await self.request(lost) is not None:
            return
        self._takeovers.adopt(lost, started)
        if self._reachability.confirm_lost(lost):
            self._log.write('quota peer lost', peer=str(lost))
        self._notify_listeners()

    async def _announce_loss(self, lost: Address) -> None:
        """Tell the nodes that become homes of the lost one's accounts."""
        successors: set[Address] = set()
        for number, name in enumerate(self._list_names()):
            if number % _NAMES_PER_STEP == 0:
                await asyncio.sleep(0)
            if lost in self._choice.rank(name):
                successor = self._find_replacement(name, lost)
                successors.add(successor)
        successors -= {self._local, None}
        await asyncio.gather(
            *(
                self.request(successor, subject=lost, confirmed=True)
                for successor in sorted(successors, key=str)
            )
        )

    def _find_replacement(self, name: str, lost: Address) -> Address | None:
        """Return the home of an account if it comes after a lost node."""
        ranked = self._choice.rank(name)
        home = self.find_home(name)
        if home is None or ranked.index(lost) > ranked.index(home):
            return None
        return home

    async def _ask_witnesses(
        self, lost: Address, verdicts: dict[Address, Verdict | None]
    ) -> None:
        asked = [
            witness
            for witness, verdict in verdicts.items()
            if verdict is Verdict.UNKNOWN
        ]
        answers = await asyncio.gather(
            *(self.request(witness, subject=lost) for witness in asked)
        )
        for witness, answer in zip(asked, answers, strict=True):
            verdicts[witness] = None if answer is None else answer.verdict

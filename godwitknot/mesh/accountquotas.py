"""Quotas of client accounts over all nodes.

Connects the decisions of ``godwitknot.accounts`` to requests and frames.
"""

import asyncio

import attrs

from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.fallbackshare import FallbackShares
from godwitknot.accounts.quotabounds import QuotaBounds
from godwitknot.accounts.quotaclient import Ask, QuotaClient, Token
from godwitknot.accounts.quotagrants import Grant, Verdict
from godwitknot.accounts.quotahome import QuotaHome
from godwitknot.accounts.quotause import QuotaUse, Use
from godwitknot.errors import ProtocolError
from godwitknot.mesh import frames
from godwitknot.mesh.accountchecks import AccountChecks
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.messages import Digest, Kind, QuotaRequest, Rumor
from godwitknot.mesh.quotapeers import QuotaPeers
from godwitknot.mesh.relayclient import RelayClient
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.outcomes import Code, RefusalError
from godwitknot.units import Address

# Longest wait for a token.
_MAX_WAIT_SECONDS = 2.0
# Of an account as asked for at another node, and of one at its home; 516 and
# 349 as measured with 5,000 of each.
_ACCOUNT_BYTES = 520
_MAX_ASKS = 10
# Two tries find that a home is lost; the others go to the next one.
_TRIES_PER_ASK = 4
# Requests of an account that wait until there is a home again.
_MAX_WAITING = 32
_TICK_SECONDS = 0.5
# A node that is not the home is asked again after this time.
_NOT_HOME_SECONDS = 0.25
# Until there is a home again, in most cases.
_FALLBACK_RETRY_SECONDS = 1.0
# Interval of log lines on the use of accounts, and tsuccessor number.
_REPORT_SECONDS = 10.0
_MAX_REPORTED = 20
# A system that starts for the first time has found all its nodes by then.
_FIRST_START_SECONDS = 10.0


class AccountQuotas:
    """Admits requests of client accounts up to tsuccessor quotas."""

    def __init__(
        self,
        directory: Directory,
        holder: ConfigurationHolder,
        relay: RelayClient,
        bounds: QuotaBounds,
        runtime: Runtime,
        *,
        first_start: bool = False,
    ) -> None:
        """Create the quotas of a node that just started.

        :param holder: of the configuration with the accounts.
        :param relay: sends frames to other nodes.
        :param first_start: whether the whole system starts for the first time.
        """
        self._holder = holder
        self._bounds = bounds
        self._clock = runtime.clock
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._peers = QuotaPeers(
            directory, relay, bounds, runtime, self._list_limited
        )
        self._local = directory.local_member.address
        self._home = QuotaHome(
            bounds, runtime.clock, runtime.rng, first_start=first_start
        )
        self._fallback = FallbackShares(
            bounds.slack / 2, runtime.clock, runtime.rng
        )
        self._clients: dict[str, QuotaClient] = {}
        self._asks: dict[str, asyncio.Task] = {}
        # Until when the home of an account is not asked.
        self._not_home: dict[str, float] = {}
        self._started_at = runtime.clock.now()
        self._reported_at = self._started_at
        self._use = QuotaUse()
        self._telemetry.add_labelled('account_quota', self._use.totals)
        self._peers.change_listeners.append(self._handle_peer_change)
        holder.listeners.append(self._apply_configuration)

    @property
    def table_bytes(self) -> int:
        """Estimated size of what is kept for each account, in bytes."""
        count = len(self._clients) + self._home.account_count
        return _ACCOUNT_BYTES * count

    @property
    def peers(self) -> QuotaPeers:
        """The other nodes, as this one sees them."""
        return self._peers

    async def run(self) -> None:
        """Follow which nodes are in touch, until cancelled."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            await self.tick()

    async def tick(self) -> None:
        """Update the share of the quotas that this node issues."""
        if self._home.tick():
            self._log.write('quota buckets reset', reason='paused')
        if self._clock.now() - self._started_at > _FIRST_START_SECONDS:
            self._home.end_first_start()
        if self._clients or self._home.names:
            self._peers.probe_lost()
        self._report_use()
        is_silent = self._home.names and self._peers.is_silent
        if is_silent or self._home.needs_contact:
            await self._peers.sample()
            # The calls took a part of the time after which it counts as paused.
            self._home.tick()
        if self._home.names:
            self._home.share = self._peers.compute_issued_share()

    def end_first_start(self, *_: object) -> None:
        """Start buckets low, since this node has run before."""
        self._home.end_first_start()

    async def acquire(
        self, account: ClientAccount, seconds_left: float
    ) -> None:
        """Wait for a token for one request.

        :param seconds_left: time until the caller's deadline.
        :raises RefusalError: not run, if the quota is exceeded.
        """
        if account.rate <= 0:
            return
        client = self._find_client(account)
        client.record_arrival()
        latest = self._clock.now() + min(seconds_left, _MAX_WAIT_SECONDS)
        for _ in range(_MAX_ASKS):
            token = client.take(latest)
            if token is not None:
                if await self._spend(client, token):
                    self._use.count(account.name, Use.SPENT)
                    return
                continue
            if client.is_denied:
                break
            if not await self._ask(account, client, latest):
                if await self._use_fallback(account, client, latest):
                    return
        self._telemetry.count('quota_refusals')
        self._use.count(account.name, Use.REFUSED)
        raise RefusalError(
            Code.QUOTA_EXCEEDED,
            retry_after=client.refuse(),
            detail=f'account {account.name}: quota used up',
        )

    def give_back(self, account: ClientAccount) -> None:
        """Return the token of a request that reached no server."""
        if account.rate <= 0:
            return
        self._telemetry.count('quota_tokens_returned')
        self._use.count(account.name, Use.RETURNED)
        self._find_client(account).return_spent()

    def handle(self, kind: Kind, content: object) -> bytes | None:
        """Handle a frame of another node about quotas.

        :returns: the encoded reply, ``None`` for a frame of another kind.
        :raises ProtocolError: for a grant that this node has not asked for.
        """
        if kind in {Kind.RUMOR, Kind.DIGEST}:
            self._record_sender(content)
        if kind is Kind.QUOTA_GRANT:
            raise ProtocolError(f'unexpected {kind}')
        if kind is not Kind.QUOTA_REQUEST:
            return None
        self._record_sender(content)
        return frames.encode_quota_grant(self._answer(content))

    def _record_sender(self, content: Rumor | Digest | QuotaRequest) -> None:
        self._peers.record_heard(content.sender)

    def _answer(self, request: QuotaRequest) -> Grant:
        if request.subject is not None:
            if request.confirmed:
                self._peers.accept_loss(request.subject)
            return Grant(self._peers.judge(request.subject))
        if not request.account:
            return Grant(Verdict.REACHABLE)
        account = self._find_account(request.account)
        if account is None or account.rate <= 0 or not request.wanted:
            return Grant(Verdict.NOT_HOME)
        return self._grant(
            account, request.sender, request.wanted, request.expected
        )

    def _grant(
        self, account: ClientAccount, asker: object, wanted: int, expected: int
    ) -> Grant:
        if not self._peers.is_home(account.name):
            self._telemetry.count('quota_asked_as_other_home')
            self._peers.probe_predecessors(account.name)
            return Grant(Verdict.NOT_HOME)
        if account.name not in self._home:
            self._home.share = self._peers.compute_issued_share()
        grant = self._home.grant(
            account,
            self._holder.version,
            asker,
            wanted,
            expected=expected,
            absent_seconds=self._peers.measure_absence(account.name),
        )
        self._telemetry.count('quota_tokens_issued', grant.tokens.count)
        if grant.retry_after > 0:
            self._telemetry.count('quota_denials')
        return grant

    async def _spend(self, client: QuotaClient, token: Token) -> bool:
        """Wait until a token is ready; return whether it may be spent."""
        wait = token.ready_at - self._clock.now()
        if wait > 0:
            try:
                await asyncio.sleep(wait)
            except asyncio.CancelledError:
                client.put_back(token)
                raise
        if not client.may_spend(token):
            self._telemetry.count('quota_tokens_expired')
            return False
        self._telemetry.count('quota_tokens_spent')
        return True

    async def _ask(
        self, account: ClientAccount, client: QuotaClient, latest: float
    ) -> bool:
        """Ask the home for tokens, or wait for an answer under way.

        :param latest: time until which to wait.
        :returns: whether the home has answered; also if there was no time to.
        """
        name = account.name
        now = self._clock.now()
        if now < self._not_home.get(name, now):
            return False
        task = self._asks.get(name)
        if task is None:
            task = asyncio.ensure_future(self._ask_home(account, client))
            self._asks[name] = task
            task.add_done_callback(lambda _: self._asks.pop(name, None))
        client.waiting += 1
        try:
            await asyncio.wait((task,), timeout=max(0, latest - now))
        finally:
            client.waiting -= 1
        return not task.done() or task.result()

    async def _ask_home(
        self, account: ClientAccount, client: QuotaClient
    ) -> bool:
        for number in range(_TRIES_PER_ASK):
            home = self._peers.find_home(account.name)
            if home is None:
                break
            ask = client.begin_ask()
            grant = await self._request(account, home, ask, is_retry=number > 0)
            if grant is None:
                continue
            if grant.verdict is not Verdict.GRANTED:
                break
            client.apply(ask, grant)
            self._use.count(account.name, Use.WANTED, ask.wanted)
            self._use.count(account.name, Use.GRANTED, grant.tokens.count)
            self._fallback.forget(account.name)
            return True
        self._not_home[account.name] = self._clock.now() + _NOT_HOME_SECONDS
        return False

    async def _request(
        self,
        account: ClientAccount,
        home: Address,
        ask: Ask,
        *,
        is_retry: bool,
    ) -> Grant | None:
        """Ask the home for tokens; after a failure, also the node after it.

        That node then checks whether the home is lost.
        """
        if home == self._local:
            return self._grant(account, home, ask.wanted, ask.expected)
        addresses = [home]
        successor = (
            self._peers.find_successor(account.name) if is_retry else None
        )
        if successor == self._local:
            self._peers.probe_predecessors(account.name)
        elif successor is not None:
            addresses.append(successor)
        return await self._peers.request_first(
            addresses,
            account=account.name,
            wanted=ask.wanted,
            expected=ask.expected,
        )

    async def _use_fallback(
        self, account: ClientAccount, client: QuotaClient, latest: float
    ) -> bool:
        """Spend this node's share, since no home answers.

        :param latest: time until which to wait for a home.
        :returns: whether the request may run; otherwise the home is to be asked
            again.
        :raises RefusalError: not run, if the share is used up and there is no
            time to wait.
        """
        if self._fallback.spend(
            account.name, account.rate, self._peers.node_count
        ):
            self._telemetry.count('quota_fallback_spent')
            self._use.count(account.name, Use.FALLBACK)
            return True
        has_time = self._clock.now() + _NOT_HOME_SECONDS < latest
        if has_time and client.waiting < _MAX_WAITING:
            client.waiting += 1
            try:
                await asyncio.sleep(_NOT_HOME_SECONDS)
            finally:
                client.waiting -= 1
            return False
        self._telemetry.count('quota_fallback_refusals')
        self._use.count(account.name, Use.FALLBACK_REFUSED)
        raise RefusalError(
            Code.QUOTA_EXCEEDED,
            retry_after=_FALLBACK_RETRY_SECONDS,
            detail=f'account {account.name}: no home, fallback share used up',
        )

    def _report_use(self) -> None:
        """Log which accounts were refused requests, and tsuccessor homes."""
        now = self._clock.now()
        if now - self._reported_at < _REPORT_SECONDS:
            return
        self._reported_at = now
        for name, counts in self._use.pop_notable(_MAX_REPORTED):
            fields = {
                use.replace('-', '_'): count for use, count in counts.items()
            }
            self._log.write(
                'quota use',
                account=name,
                home=str(self._peers.find_home(name)),
                **fields,
            )

    def _find_client(self, account: ClientAccount) -> QuotaClient:
        client = self._clients.get(account.name)
        if client is None:
            client = QuotaClient(account, self._bounds, self._clock)
            self._clients[account.name] = client
        client.update(account, self._holder.version)
        return client

    def _find_account(self, name: str) -> ClientAccount | None:
        configuration = self._holder.current
        if configuration is None or configuration.accounts is None:
            return None
        return configuration.accounts.get(name)

    def _list_limited(self) -> list[str]:
        """Return the names of the accounts with a limit."""
        accounts = getattr(self._holder.current, 'accounts', None) or {}
        return [name for name, each in accounts.items() if each.rate > 0]

    def _handle_peer_change(self) -> None:
        """Drop buckets of other homes, and update the share of the others."""
        if self._home.names:
            self._home.keep(self._peers.is_home)
            self._home.share = self._peers.compute_issued_share()

    def _apply_configuration(self) -> None:
        """Apply lower limits, and drop accounts that no longer exist."""
        version = self._holder.version
        for name, client in tuple(self._clients.items()):
            account = self._find_account(name)
            if account is None or account.rate <= 0:
                self._clients.pop(name)
                self._not_home.pop(name, None)
                self._fallback.forget(name)
            else:
                client.update(account, version)
        self._home.keep(lambda name: self._find_account(name) is not None)


@attrs.frozen(eq=False)
class AccountControls:
    """What the request of a client account has to pass."""

    checks: AccountChecks
    quotas: AccountQuotas

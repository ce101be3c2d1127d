"""Checks of client accounts against the newest configuration of a node."""

import asyncio
import contextlib
import weakref
from collections.abc import Callable, Mapping

import attrs

from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.freshness import Freshness
from godwitknot.accounts.keylosses import KeyLosses
from godwitknot.accounts.keyring import Keyring, compute_digest
from godwitknot.mesh.messages import Offer
from godwitknot.mesh.model import Placement, Route
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.outcomes import Code, RefusalError
from godwitknot.units import Address

# Names of removed accounts that are remembered, the latest ones.
_MAX_REMOVED_ACCOUNTS = 10000
_NOT_READY_SECONDS = 0.5


@attrs.define(eq=False)
class PresentedKey:
    """The valid key of a request in progress.

    :param checks: that found it valid.
    :ivar revoked: whether it has become invalid since the request arrived.
    :ivar needed_version: of the configuration under which it must be checked
        before the request is offered again.
    """

    digest: bytes = attrs.field(repr=False)
    account: ClientAccount
    checks: 'AccountChecks' = attrs.field(repr=False)
    revoked: bool = False
    needed_version: int = 0
    _revocation: asyncio.Future | None = None

    def revoke(self) -> None:
        """Record that the key is no longer valid."""
        self.revoked = True
        if self._revocation is not None and not self._revocation.done():
            self._revocation.set_result(None)

    @property
    def is_outdated(self) -> bool:
        """Whether it must be checked under a newer configuration first."""
        return not self.revoked and self.checks.version < self.needed_version

    def record_refusal(self, node: Address, error: RefusalError) -> bool:
        """Record a refusal; return whether it was checked too long ago.

        Its next check waits for the version that the node has asked for. A
        node that asks for the same one again refuses the request as others do.
        """
        if error.needed_version <= self.needed_version:
            return False
        self.needed_version = error.needed_version
        for listener in self.checks.version_listeners:
            listener(node, error.needed_version)
        return True

    async def wait_for_version(self, max_seconds: float) -> None:
        """Wait until it was checked under the needed version.

        It may be outdated still after that time.
        """
        if not self.is_outdated:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max_seconds):
                while self.is_outdated:
                    await self.checks.wait_for_update()

    def list_wakers(self) -> list[asyncio.Future]:
        """Return a future that is done once the key is revoked.

        :returns: none after that.
        """
        if self.revoked:
            return []
        if self._revocation is None:
            loop = asyncio.get_running_loop()
            self._revocation = loop.create_future()
        return [self._revocation]


class AccountChecks:
    """Which keys are valid now, and which accounts were removed."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        freshness: Freshness,
        placement: Placement,
        secret: bytes,
    ) -> None:
        """Follow the configuration of a holder.

        :param freshness: of that configuration.
        :param placement: with the bounds of revocations.
        :param secret: random bytes, 16 to 64, for the index of the keys.
        """
        self._holder = holder
        self._freshness = freshness
        self._placement = placement
        self._secret = secret
        self._keyring: Keyring | None = None
        self._accounts: Mapping[str, ClientAccount] = {}
        # In order of removal; the values are not used.
        self._removed: dict[str, None] = {}
        self._losses = KeyLosses()
        self._updated = asyncio.Event()
        self._presented: weakref.WeakSet[PresentedKey] = weakref.WeakSet()
        # Called with the address of a node and the version that it needs here.
        self.version_listeners: list[Callable[[Address, int], None]] = []
        holder.listeners.append(self._update)

    @property
    def version(self) -> int:
        """Version of the configuration under which all keys were checked."""
        return self._holder.version

    @property
    def in_force(self) -> bool:
        """Whether the configuration has client accounts."""
        return self._keyring is not None

    @property
    def is_current(self) -> bool:
        """Whether no revocation can have been missed."""
        return self._keyring is None or not self._find_doubt()

    def require_current(self) -> None:
        """Refuse a request with a key if a revocation may have been missed.

        :raises RefusalError: not run; the node is not ready.
        """
        _refuse_for(self._find_doubt())

    def identify(self, route: Route, key: str | None) -> PresentedKey | None:
        """Return the valid key of a new request.

        :param key: that the request carries, ``None`` if it has none.
        :returns: ``None`` if it has no valid key and its route needs none.
        :raises RefusalError: if the route needs a key and it is not valid, or
            if a revocation may have been missed.
        """
        if self._keyring is None:
            return None
        if route.needs_key:
            self.require_current()
        elif not self.is_current:
            return None
        if key is not None:
            digest = compute_digest(key)
            account = self._keyring.find(digest)
            if account is not None:
                presented = PresentedKey(digest, account, self)
                self._presented.add(presented)
                return presented
        if not route.needs_key:
            return None
        raise RefusalError(Code.ACCOUNT_KEY, detail=_describe(key))

    def check_offer(self, offer: Offer) -> None:
        """Refuse a request whose key may have been revoked.

        The account of another node's request may also be missing because that
        node has a newer configuration. Nodes of the previous release state no
        version; they know the code, and offer the request elsewhere.

        :raises RefusalError: not run.
        """
        if self._keyring is None:
            return
        if offer.account in self._removed:
            raise RefusalError(Code.ACCOUNT_KEY, detail='removed account')
        needed_version = self._losses.find_version(offer.account)
        if 0 < offer.account_version < needed_version:
            raise RefusalError(
                Code.NOT_READY,
                retry_after=_NOT_READY_SECONDS,
                detail='key checked before the account lost one',
                needed_version=needed_version,
            )

    def check_wait(self, offer: Offer) -> None:
        """Refuse a request that gets a slot after it has waited for one.

        The sender's check was made before the wait. This node's configuration
        shows whether the account has lost a key since, unless it is too old.

        :raises RefusalError: not run.
        """
        if offer.account and self._keyring is not None:
            _refuse_for(self._find_age())

    async def wait_for_update(self) -> None:
        """Wait until another configuration is in force."""
        await self._updated.wait()

    def _find_doubt(self) -> str:
        """Return why a revocation may have been missed; empty if it was not."""
        if not self._freshness.is_confirmed():
            return 'configuration not confirmed'
        return self._find_age()

    def _find_age(self) -> str:
        """Return why the configuration is too old; empty if it is not."""
        bounds = self._placement.bounds
        if bounds.strict_revoke and bounds.revoke_seconds:
            if self._freshness.is_out_of_touch(bounds.revoke_seconds):
                return 'out of touch with store and nodes'
        return ''

    def _update(self) -> None:
        self._freshness.record_configuration(self._holder.version)
        accounts = self._holder.current.accounts
        self._keyring = None
        if accounts is not None:
            self._keyring = Keyring(accounts, self._secret)
        self._record_removals(accounts)
        for presented in list(self._presented):
            if not self._is_valid(presented):
                presented.revoke()
        self._updated.set()
        self._updated = asyncio.Event()

    def _is_valid(self, presented: PresentedKey) -> bool:
        if self._keyring is None:
            return True
        account = self._keyring.find(presented.digest)
        return account is not None and account.name == presented.account.name

    def _record_removals(
        self, accounts: Mapping[str, ClientAccount] | None
    ) -> None:
        if accounts is None:
            # Nobody needs an account now. A later version is compared with the
            # last accounts, since senders may have missed both versions.
            return
        self._losses.record(self.version, self._accounts, accounts)
        for added in accounts:
            self._removed.pop(added, None)
        for name in self._accounts:
            if name not in accounts:
                self._removed[name] = None
        while len(self._removed) > _MAX_REMOVED_ACCOUNTS:
            self._removed.pop(next(iter(self._removed)))
        self._accounts = accounts


def _refuse_for(doubt: str) -> None:
    """Refuse a request if there is a doubt; empty if there is none."""
    if doubt:
        raise RefusalError(
            Code.NOT_READY, retry_after=_NOT_READY_SECONDS, detail=doubt
        )


def _describe(key: str | None) -> str:
    """Return for the log what is wrong with a key, without the key."""
    if key is None:
        return 'no key'
    return 'unknown key' if key else 'several keys or an empty one'

"""The versions of the configuration in which accounts lost keys."""

from collections.abc import Mapping

from godwitknot.accounts.clientaccount import ClientAccount

# Accounts whose latest loss is remembered, the most recent losses. Other nodes
# have received the versions of older ones long before.
MAX_ACCOUNTS = 10000


class KeyLosses:
    """Remembers the version in which each account last lost a key.

    A key that was found valid in an older version may have been revoked since.
    """

    def __init__(self) -> None:
        """Create the state of a node that has seen no loss."""
        # In order of the losses.
        self._versions: dict[str, int] = {}

    def record(
        self,
        version: int,
        before: Mapping[str, ClientAccount],
        after: Mapping[str, ClientAccount],
    ) -> None:
        """Record which accounts lost a key from one version to the next.

        :param version: of the accounts after the change.
        :param before: the accounts by name; one that is removed loses all keys.
        """
        for name, account in before.items():
            kept = after[name].key_digests if name in after else frozenset()
            if account.key_digests <= kept:
                continue
            self._versions.pop(name, None)
            self._versions[name] = version
        while len(self._versions) > MAX_ACCOUNTS:
            self._versions.pop(next(iter(self._versions)))

    def find_version(self, name: str) -> int:
        """Return the version in which an account last lost a key, else 0."""
        return self._versions.get(name, 0)

"""Finds client accounts by the keys that requests present."""

import hashlib
import hmac
from collections.abc import Mapping

from godwitknot.accounts.clientaccount import ClientAccount

DIGEST_BYTES = hashlib.sha256().digest_size
_NO_DIGEST = bytes(DIGEST_BYTES)


def compute_digest(key: str) -> bytes:
    """Return the SHA-256 digest that is kept in place of a key."""
    return hashlib.sha256(key.encode()).digest()


class Keyring:
    """The keys of all accounts of one configuration.

    The index is a keyed hash of the digests, which no caller can predict.
    How long a lookup takes therefore says nothing about the keys, and does not
    grow with their number.
    """

    def __init__(
        self, accounts: Mapping[str, ClientAccount], secret: bytes
    ) -> None:
        """Index the keys of the accounts.

        :param secret: random bytes, 16 to 64, that no other process knows.
        """
        self._secret = secret
        self._entries: dict[bytes, tuple[bytes, ClientAccount | None]] = {
            self._blind(digest): (digest, account)
            for account in accounts.values()
            for digest in account.key_digests
        }

    def find(self, digest: bytes) -> ClientAccount | None:
        """Return the account that has a key, ``None`` if none has it.

        :param digest: of the presented key.
        """
        found, account = self._entries.get(
            self._blind(digest), (_NO_DIGEST, None)
        )
        return account if hmac.compare_digest(found, digest) else None

    def _blind(self, digest: bytes) -> bytes:
        return hashlib.blake2b(
            digest, key=self._secret, digest_size=DIGEST_BYTES
        ).digest()

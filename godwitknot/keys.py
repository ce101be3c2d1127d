"""Fleet keys: message authentication with key rotation."""

import hashlib
import hmac
from collections.abc import Mapping

from godwitknot.errors import VerificationError

MAC_BYTES = 16


class FleetKeys:
    """Signs with the current key and verifies with any valid key.

    During a rotation two keys are valid, so that nodes with the old and
    nodes with the new settings accept each other's messages.
    """

    def __init__(self, current: str, keys: Mapping[str, bytes]) -> None:
        """Set up signing and verification with the keys of the settings.

        :param current: id of the key that signs.
        :param keys: all valid keys by id.
        """
        self.current = current
        self._keys = dict(keys)

    def sign(self, payload: bytes) -> bytes:
        """Return the MAC of a payload under the current key, 16 bytes."""
        return self._compute(self._keys[self.current], payload)

    def verify(self, key_id: str, payload: bytes, mac: bytes) -> None:
        """Verify a MAC in constant time.

        :raises VerificationError: if the key is unknown or the MAC is wrong.
        """
        key = self._keys.get(key_id)
        if key is None:
            raise VerificationError('unknown fleet key')
        if not hmac.compare_digest(self._compute(key, payload), mac):
            raise VerificationError('wrong message authentication code')

    def _compute(self, key: bytes, payload: bytes) -> bytes:
        return hmac.digest(key, payload, hashlib.sha256)[:MAC_BYTES]

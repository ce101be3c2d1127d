"""Fetching of the configuration from another node."""

import contextlib

import urllib3

from godwitknot.errors import ProtocolError
from godwitknot.units import MIB, Address

PATH = '/.godwitknot/configuration'
_MOST_MIB = 32
_MOST_BYTES = _MOST_MIB * MIB
_OK = 200


class NoCopyError(ProtocolError):
    """A peer did not answer, or has no configuration."""


class PeerCopies:
    """Fetches what :meth:`ConfigurationKeeper.serialize` gave at a peer."""

    def __init__(self, timeout: float) -> None:
        """Prepare the client.

        :param timeout: seconds for connecting and for each read.
        """
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=timeout, read=timeout),
        )

    def fetch(self, address: Address) -> bytes:
        """Fetch the copy of one peer.

        :param address: peer address.
        :raises NoCopyError: if there is none.
        """
        url = f'http://{address}{PATH}'
        try:
            answer = self._pool.request(
                'GET', url, redirect=False, preload_content=False
            )
        except urllib3.exceptions.HTTPError as error:
            raise NoCopyError(f'{address}: no answer') from error
        with contextlib.closing(answer):
            return _read_copy(answer, address)


def _read_copy(answer: urllib3.BaseHTTPResponse, address: Address) -> bytes:
    if answer.status != _OK:
        raise NoCopyError(f'{address}: status {answer.status}')
    try:
        # Content beyond the limit stays unread, so memory is bounded.
        return answer.read(_MOST_BYTES)
    except urllib3.exceptions.HTTPError as error:
        raise NoCopyError(f'{address}: incomplete answer') from error

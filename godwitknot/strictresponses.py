"""HTTP connections on which a response that ends early is an error.

``http.client`` takes the end of a connection for the end of the header fields,
of a chunk line or of the trailers. A response that was cut off there would
look complete, with an empty body.
"""

import io
from http.client import CONTINUE, OK, HTTPException, HTTPResponse

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection


class TruncatedLineError(HTTPException):
    """The connection ended within a line of a response, or before it."""


class _ResponseFile(io.BufferedReader):
    """Reads a response whose lines must all be complete."""

    _has_line = False

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line.

        :returns: nothing if the connection ended before the first line.
        :raises TruncatedLineError: if the connection ended later, before the
            end of a line.
        """
        line = super().readline(size)
        if not line.endswith(b'\n') and len(line) != size:
            if line or self._has_line:
                raise TruncatedLineError('connection ended within a response')
        self._has_line = True
        return line


class StrictResponse(HTTPResponse):
    """A response that must be complete; skips all 1xx responses."""

    def __init__(self, *args: object, **settings: object) -> None:
        """Create a response that is read from a socket."""
        super().__init__(*args, **settings)
        self.fp = _ResponseFile(self.fp.detach())

    def _read_status(self) -> tuple[str, int, str]:
        version, status, reason = super()._read_status()
        if status < OK:
            # begin() skips a 100 response and its header fields.
            status = CONTINUE
        return version, status, reason


class StrictConnection(HTTPConnection):
    """A connection with strict responses."""

    response_class = StrictResponse


class StrictConnectionPool(HTTPConnectionPool):
    """A pool of connections with strict responses."""

    ConnectionCls = StrictConnection

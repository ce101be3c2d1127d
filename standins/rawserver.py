"""Stand-in of an HTTP server that sends given bytes, then closes."""

import socket
import threading

from godwitknot.units import Address

_HEAD_END = b'\r\n\r\n'
_RECEIVE_BYTES = 65536
_TIMEOUT_SECONDS = 5.0


class RawServer:
    """Sends given responses on each connection, then closes it.

    :ivar requests: number of requests that were received.
    :ivar connections: number of accepted connections.
    """

    def __init__(self, *script: list[bytes]) -> None:
        """Start listening on a free port.

        :param script: responses to the requests on each connection in turn.
        """
        self.requests = 0
        self.connections = 0
        self._script = script
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = Address(*self._listener.getsockname())
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _serve(self) -> None:
        for responses in self._script:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            sock.settimeout(_TIMEOUT_SECONDS)
            threading.Thread(
                target=self._serve_connection,
                args=(sock, responses),
                daemon=True,
            ).start()

    def _serve_connection(
        self, sock: socket.socket, responses: list[bytes]
    ) -> None:
        with sock:
            for response in responses:
                if not _read_request(sock):
                    return
                self.requests += 1
                sock.sendall(response)


def _read_request(sock: socket.socket) -> bool:
    """Read a request with a short body.

    :returns: whether there was one.
    """
    received = b''
    while _HEAD_END not in received:
        try:
            part = sock.recv(_RECEIVE_BYTES)
        except OSError:
            return False
        if not part:
            return False
        received += part
    head, _, body = received.partition(_HEAD_END)
    length = _read_length(head)
    while len(body) < length:
        body += sock.recv(_RECEIVE_BYTES)
    return True


def _read_length(head: bytes) -> int:
    for line in head.lower().splitlines():
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0

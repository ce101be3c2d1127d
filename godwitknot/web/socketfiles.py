"""File objects for the sockets of the HTTP servers.

cheroot's own file objects use pure Python buffers, which take a large part
of the time of a short request.
"""

import io
import socket


class _CountingSocket(socket.SocketIO):
    """Counts the received bytes."""

    received_bytes = 0

    def readinto(self, buffer: memoryview) -> int | None:
        """Receive into a buffer."""
        count = super().readinto(buffer)
        self.received_bytes += count or 0
        return count


class Reader(io.BufferedReader):
    """Reads from a socket, and knows whether its buffer has unread bytes."""

    def __init__(self, sock: socket.socket, size: int) -> None:
        """Wrap a socket.

        :param size: buffer size in bytes.
        """
        super().__init__(_CountingSocket(sock, 'r'), size)
        self.bytes_read = 0

    def read(self, size: int | None = -1) -> bytes:
        """Read as :meth:`io.BufferedReader.read` does."""
        content = super().read(size)
        self.bytes_read += len(content or b'')
        return content

    def readline(self, size: int | None = -1) -> bytes:
        """Read as :meth:`io.BufferedReader.readline` does."""
        line = super().readline(size)
        self.bytes_read += len(line)
        return line

    def has_data(self) -> bool:
        """Return whether received bytes have not been read yet."""
        return self.raw.received_bytes > self.bytes_read


class Writer:
    """Writes to a socket without buffering, except for a response's head."""

    def __init__(self, sock: socket.socket) -> None:
        """Wrap a socket."""
        self._sock = sock
        self._head = b''
        self.bytes_written = 0

    def buffer_head(self, head: bytes) -> None:
        """Buffer the head of a response until the first body bytes follow.

        Both are then sent with one system call and, if they are short, in
        one TCP segment.
        """
        self._head = head

    def flush(self) -> None:
        """Send a buffered head that no body has followed."""
        if self._head:
            self.write(b'')

    def write(self, content: bytes) -> int:
        """Send all bytes.

        The socket's timeout applies to each partial send, since a slow
        reader may need long for the whole content.
        """
        head = self._head
        self._head = b''
        remaining = memoryview(content)
        if head:
            sent = self._sock.sendmsg((head, remaining))
            self._send_all(memoryview(head)[sent:])
            remaining = remaining[max(0, sent - len(head)) :]
        self._send_all(remaining)
        self.bytes_written += len(head) + len(content)
        return len(content)

    def _send_all(self, remaining: memoryview) -> None:
        while remaining:
            remaining = remaining[self._sock.send(remaining) :]


def make_file(
    sock: socket.socket,
    mode: str,
    size: int = io.DEFAULT_BUFFER_SIZE,
) -> Reader | Writer:
    """Return a reader or a writer; cheroot calls this for each connection.

    :param mode: contains ``r`` for a reader.
    :param size: least buffer size of a reader, in bytes.
    """
    if 'r' in mode:
        return Reader(sock, max(size, io.DEFAULT_BUFFER_SIZE))
    return Writer(sock)

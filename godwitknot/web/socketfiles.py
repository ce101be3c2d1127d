"""File objects for the sockets of the HTTP servers.

cheroot builds its own on the interpreter's pure Python buffers, which take
a large part of the time of a short request.
"""

import io
import socket


class _CountingSocket(socket.SocketIO):
    """Counts the bytes that were received."""

    received = 0

    def readinto(self, buffer: memoryview) -> int | None:
        """Receive into a buffer."""
        count = super().readinto(buffer)
        self.received += count or 0
        return count


class Reader(io.BufferedReader):
    """Reads from a socket; tells whether bytes are left in its buffer."""

    def __init__(self, sock: socket.socket, size: int) -> None:
        """Wrap a socket.

        :param size: bytes of the buffer.
        """
        super().__init__(_CountingSocket(sock, 'r'), size)
        self.bytes_read = 0

    def read(self, size: int | None = -1) -> bytes:
        """Read like a file."""
        content = super().read(size)
        self.bytes_read += len(content or b'')
        return content

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line like a file."""
        line = super().readline(size)
        self.bytes_read += len(line)
        return line

    def has_data(self) -> bool:
        """Tell whether received bytes were not read yet."""
        return self.raw.received > self.bytes_read


class Writer:
    """Writes to a socket at once."""

    def __init__(self, sock: socket.socket) -> None:
        """Wrap a socket."""
        self._sock = sock
        self._head = b''
        self.bytes_written = 0

    def hold(self, head: bytes) -> None:
        """Keep the head of a response until its first bytes follow.

        Both then take one system call and, if they are short, one segment.
        """
        self._head = head

    def flush(self) -> None:
        """Send a head that no body followed."""
        if self._head:
            self.write(b'')

    def write(self, content: bytes) -> int:
        """Send all bytes.

        The timeout of the socket holds for each part that is sent, since a
        slow reader may need long for the whole.
        """
        head = self._head
        self._head = b''
        rest = memoryview(content)
        if head:
            sent = self._sock.sendmsg((head, rest))
            self._send(memoryview(head)[sent:])
            rest = rest[max(0, sent - len(head)) :]
        self._send(rest)
        self.bytes_written += len(head) + len(content)
        return len(content)

    def _send(self, rest: memoryview) -> None:
        while rest:
            rest = rest[self._sock.send(rest) :]


def make_file(
    sock: socket.socket,
    mode: str,
    size: int = io.DEFAULT_BUFFER_SIZE,
) -> Reader | Writer:
    """Give a reader or writer, as cheroot asks for them.

    :param mode: contains ``r`` for a reader.
    """
    if 'r' in mode:
        return Reader(sock, max(size, io.DEFAULT_BUFFER_SIZE))
    return Writer(sock)

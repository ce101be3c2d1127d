"""Progress and time limits of responses that are being received."""

import asyncio
import contextlib
from collections.abc import Iterator

from godwitknot.mesh.channels import Channel
from godwitknot.mesh.runtime import Runtime


class Transfer:
    """The response to one call.

    A large response over a full link may take long. Giving it up while data
    arrives would load the link with the same data again.

    :ivar received_bytes: size of what has arrived, including framing.
    """

    def __init__(
        self,
        timeout: float,
        *,
        silence_seconds: float = 0,
        max_seconds: float = 0,
    ) -> None:
        """Create a transfer that has not started.

        :param timeout: seconds, for a call whose response is not under way.
        :param silence_seconds: time without data after which a response that
            is under way is given up.
        :param max_seconds: longest time from the first data on.
        """
        self.received_bytes = 0
        self._silence_seconds = silence_seconds
        self._max_seconds = max_seconds
        self._timeout_seconds = timeout
        self._limit: asyncio.Timeout | None = None
        self._latest_end = float(0)

    def limit_time(self) -> asyncio.Timeout:
        """Return the time limit of the call, to be entered by the caller."""
        self._limit = asyncio.timeout(self._timeout_seconds)
        return self._limit

    @contextlib.contextmanager
    def watch(self, channel: Channel) -> Iterator[None]:
        """Follow the data that arrives on a channel."""
        channel.data_listener = self._record
        try:
            yield
        finally:
            channel.data_listener = None

    def _record(self, size: int) -> None:
        now = asyncio.get_running_loop().time()
        if not self.received_bytes:
            self._latest_end = now + self._max_seconds
        self.received_bytes += size
        end = min(now + self._silence_seconds, self._latest_end)
        # Data never shortens the time limit: a response may begin long before
        # its content, as that of a feed does.
        if not self._limit.expired() and end > self._limit.when():
            self._limit.reschedule(end)


def report_abandoned_copy(
    runtime: Runtime,
    origin: str,
    received_bytes: int,
    **fields: object,
) -> None:
    """Log and count a copy of the configuration that did not arrive whole.

    :param origin: ``store`` or ``peer``.
    :param fields: further fields of the log line.
    """
    runtime.telemetry.count('configuration_copies_given_up')
    runtime.telemetry.count('configuration_bytes_given_up', received_bytes)
    runtime.log.write(
        'configuration copy given up',
        origin=origin,
        received_bytes=received_bytes,
        **fields,
    )

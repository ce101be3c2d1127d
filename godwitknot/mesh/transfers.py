"""Progress and time limits of responses that are being received."""

import asyncio
import contextlib
from collections.abc import Iterator

from godwitknot.mesh.channels import Channel
from godwitknot.mesh.runtime import Runtime


class Transfer:
    """The response to one call.

    :ivar received_bytes: size of what has arrived, including framing.
    """

    def __init__(self, timeout: float) -> None:
        """Create a transfer that has not started.

        :param timeout: seconds, for the whole call.
        """
        self.received_bytes = 0
        self._timeout_seconds = timeout

    def limit_time(self) -> asyncio.Timeout:
        """Return the time limit of the call, to be entered by the caller."""
        return asyncio.timeout(self._timeout_seconds)

    @contextlib.contextmanager
    def watch(self, channel: Channel) -> Iterator[None]:
        """Follow the data that arrives on a channel."""
        channel.data_listener = self._record
        try:
            yield
        finally:
            channel.data_listener = None

    def _record(self, size: int) -> None:
        self.received_bytes += size


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

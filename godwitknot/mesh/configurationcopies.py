"""Copies of the configuration that nodes send to each other."""

from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.transfers import Transfer, report_abandoned_copy
from godwitknot.units import Address


class ConfigurationCopies:
    """Sends and receives copies, and counts them."""

    def __init__(self, holder: ConfigurationHolder, runtime: Runtime) -> None:
        """Set up the copies of a holder's configuration."""
        self._holder = holder
        self._runtime = runtime
        self._telemetry = runtime.telemetry

    def take_copy(self) -> bytes:
        """Return the encoded configuration for another node."""
        source = self._holder.current.source
        self._telemetry.count('configuration_copies_sent')
        self._telemetry.count('configuration_bytes_sent', len(source))
        return source

    def adopt_copy(self, source: bytes) -> None:
        """Activate a copy of another node if it is newer."""
        self._telemetry.count('configuration_copies_received')
        self._telemetry.count('configuration_bytes_received', len(source))
        self._holder.adopt(source, 'peer')

    def report_failed_transfer(
        self,
        address: Address,
        transfer: Transfer,
    ) -> None:
        """Log and count a copy of another node that did not arrive whole."""
        if transfer.received_bytes:
            report_abandoned_copy(
                self._runtime,
                'peer',
                transfer.received_bytes,
                peer=str(address),
            )

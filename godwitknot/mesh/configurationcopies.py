"""Copies of the configuration that nodes send to each other."""

from godwitknot.control.compression import compress, decompress
from godwitknot.errors import ProtocolError
from godwitknot.mesh.messages import Digest, DigestReply
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.transfers import Transfer, report_abandoned_copy
from godwitknot.units import Address

# Size of the largest configuration that is compressed, and limit of a
# decompressed one. A transaction of the store holds at most 1 MB.
_MAX_SOURCE_BYTES = 4194304


class ConfigurationCopies:
    """Sends and receives copies, and counts them."""

    def __init__(self, holder: ConfigurationHolder, runtime: Runtime) -> None:
        """Set up the copies of a holder's configuration."""
        self._holder = holder
        self._runtime = runtime
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._compressed: bytes | None = None
        # The source that was compressed last.
        self._compressed_source: bytes | None = None

    def take_copy(self, digest: Digest) -> tuple[bytes, bool]:
        """Return the configuration for the reply to a digest.

        :returns: the copy, empty if the digest needs none, and whether it is
            compressed.
        """
        if digest.omit_configuration or digest.version >= self._holder.version:
            return b'', False
        compressed = None
        if digest.accept_compressed:
            compressed = self._compress_current()
        copy = compressed or self._holder.current.source
        self._telemetry.count('configuration_copies_sent')
        self._telemetry.count('configuration_bytes_sent', len(copy))
        return copy, compressed is not None

    def adopt_copy(self, reply: DigestReply) -> None:
        """Activate the configuration in a reply, if there is a newer one."""
        copy = reply.configuration
        if not copy:
            return
        self._telemetry.count('configuration_copies_received')
        self._telemetry.count('configuration_bytes_received', len(copy))
        source = copy
        if reply.compressed:
            try:
                source = decompress(copy, _MAX_SOURCE_BYTES)
            except ProtocolError as error:
                self._log.write('configuration unreadable', detail=str(error))
                return
        self._holder.adopt(source, 'peer')

    def _compress_current(self) -> bytes | None:
        """Return the compressed configuration, ``None`` if it is not smaller.

        Each version is compressed once.
        """
        source = self._holder.current.source
        if source is not self._compressed_source:
            small_enough = len(source) <= _MAX_SOURCE_BYTES
            self._compressed = compress(source) if small_enough else None
            self._compressed_source = source
        return self._compressed

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

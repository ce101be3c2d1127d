"""The epoch of the metadata store, which rises with each restore."""

from godwitknot.mesh.runtime import Runtime


class EpochTracker:
    """The newest epoch of the store that a response has shown."""

    def __init__(self, runtime: Runtime) -> None:
        """Create a tracker that has not seen a response."""
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self.current = 0

    def observe(self, epoch: int) -> None:
        """Process the epoch of a response, 0 if it has none."""
        if epoch <= self.current:
            return
        before = self.current
        self.current = epoch
        if not before:
            return
        self._telemetry.count('store_restores')
        self._log.write('store restored', epoch=epoch, before=before)

"""A node for soak runs, with a short claim lease and faulty variants.

A broken variant violates one guarantee, to show that the checks find it.
"""

import os
import pathlib
import signal
import sys
import threading
import time
import types

from godwitknot.assembly.node import Node
from godwitknot.atmostonce.claimrows import ClaimState
from godwitknot.atmostonce.claims import ClaimManager
from godwitknot.atmostonce.issuedkeys import IssuedKeyRegistry, Moved
from godwitknot.atmostonce.runs import Permit, RunState, StoredResponse
from godwitknot.atmostonce.tickets import Ticket
from godwitknot.declarations.settings import load_settings
from godwitknot.logs import configure_logs
from godwitknot.outcomes import Outcome, RefusalError
from godwitknot.proxying.keydispatch import KeyDispatcher
from godwitknot.proxying.keyservice import KeyService
from godwitknot.storage.store import Row
from godwitknot.units import Address, parse_address
from godwitknot.web.relay import RelayResponse

# Short enough that pausing a node for a few seconds outlasts the lease.
LEASE_SECONDS = 1.0


class ShortLeaseClaims(ClaimManager):
    """A claim manager with a shortened lease."""

    lease = LEASE_SECONDS


class NonExpiringClaims(ClaimManager):
    """Broken: sends requests although their claim has lapsed."""

    lease = float('inf')


class EagerClaims(ShortLeaseClaims):
    """Broken: takes over a claim that another sidecar still holds."""

    def _is_free(self, row: Row) -> bool:
        return row.columns.get('state') != ClaimState.ANSWERED


class EvictingRegistry(IssuedKeyRegistry):
    """Broken: evicts stored responses, as a bounded cache would."""

    def begin(
        self, ticket: Ticket, digest: str, max_wait: float
    ) -> Permit | StoredResponse | Moved:
        """Evict every run that has ended, then begin as usual."""
        table = self._table
        with table.changed:
            ended_ids = [
                identity
                for identity, run in table.runs.items()
                if run.state is RunState.ANSWERED
            ]
            for identity in ended_ids:
                table.runs.pop(identity)
        return super().begin(ticket, digest, max_wait)


class FalseNotRunDispatcher(KeyDispatcher):
    """Broken: reports unknown outcomes as ``not-run``."""

    def run(self, incoming: object) -> RelayResponse:
        """Dispatch a request; report each refusal as ``not-run``."""
        try:
            return super().run(incoming)
        except RefusalError as refusal:
            refusal.outcome = Outcome.NOT_RUN
            raise


class SoakKeyService(KeyService):
    """The key service with a shortened claim lease."""

    claims_class = ShortLeaseClaims


class EvictingService(SoakKeyService):
    """Broken: see :class:`EvictingRegistry`."""

    registry_class = EvictingRegistry


class NonExpiringService(SoakKeyService):
    """Broken: see :class:`NonExpiringClaims`."""

    claims_class = NonExpiringClaims


class EagerService(SoakKeyService):
    """Broken: see :class:`EagerClaims`."""

    claims_class = EagerClaims


class FalseNotRunService(SoakKeyService):
    """Broken: see :class:`FalseNotRunDispatcher`."""

    dispatcher_class = FalseNotRunDispatcher


VARIANTS = types.MappingProxyType(
    {
        '': SoakKeyService,
        'forgetful-book': EvictingService,
        'no-lease': NonExpiringService,
        'eager-claim': EagerService,
        'false-not-run': FalseNotRunService,
    },
)


class SoakNode(Node):
    """A node that other nodes reach through a relay with faults."""

    advertised: Address

    def start(self) -> None:
        """Advertise the address of the relay, then start as usual."""
        self.control_plane.directory.update_local_record(peer=self.advertised)
        super().start()


def _exit_with_parent(parent_pid: int) -> None:
    """Kill this process once its parent has exited.

    A soak run that was killed cannot stop its nodes.
    """
    while os.getppid() == parent_pid:
        time.sleep(1)
    os.kill(os.getpid(), signal.SIGKILL)


def main(path: str, advertised: str, variant: str) -> None:
    """Run a node until a signal stops it.

    :param path: settings file.
    :param advertised: peer address that is advertised to other nodes.
    :param variant: key of :data:`VARIANTS`.
    """
    threading.Thread(
        target=_exit_with_parent, args=(os.getppid(),), daemon=True
    ).start()
    settings = load_settings(pathlib.Path(path))
    configure_logs(settings.node.log_format)
    SoakNode.key_service_class = VARIANTS[variant]
    SoakNode.advertised = parse_address(advertised)
    SoakNode(settings).run()


if __name__ == '__main__':
    main(*sys.argv[1:])

"""A node for soak runs: a short lease, and broken variants on demand."""

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

# A pause in a soak run must outlast it within a few seconds.
LEASE_SECONDS = 1.0


class ShortLeaseClaims(ClaimManager):
    """Claims that lapse soon; otherwise as in the fleet."""

    lease = LEASE_SECONDS


class TimelessClaims(ClaimManager):
    """Broken: sends however old its claim is."""

    lease = float('inf')


class EagerClaims(ShortLeaseClaims):
    """Broken: takes over the claim of another sidecar."""

    def _is_free(self, row: Row) -> bool:
        return row.columns.get('state') != ClaimState.ANSWERED


class ForgetfulRegistry(IssuedKeyRegistry):
    """Broken: forgets answers, as a cache with eviction would."""

    def begin(
        self, ticket: Ticket, digest: str, max_wait: float
    ) -> Permit | StoredResponse | Moved:
        """Forget every run that has ended, then go on as usual."""
        table = self._table
        with table.changed:
            ended = [
                identity
                for identity, run in table.runs.items()
                if run.state is RunState.ANSWERED
            ]
            for identity in ended:
                table.runs.pop(identity)
        return super().begin(ticket, digest, max_wait)


class AssumingDispatcher(KeyDispatcher):
    """Broken: takes an outcome that is not known for "not run"."""

    def run(self, incoming: object) -> RelayResponse:
        """Say "not run" wherever there is no answer."""
        try:
            return super().run(incoming)
        except RefusalError as refusal:
            refusal.outcome = Outcome.NOT_RUN
            raise


class SoakKeyService(KeyService):
    """Issued keys and claims with the short lease."""

    claims_class = ShortLeaseClaims


class ForgetfulService(SoakKeyService):
    """Broken: see :class:`ForgetfulRegistry`."""

    registry_class = ForgetfulRegistry


class TimelessService(SoakKeyService):
    """Broken: see :class:`TimelessClaims`."""

    claims_class = TimelessClaims


class EagerService(SoakKeyService):
    """Broken: see :class:`EagerClaims`."""

    claims_class = EagerClaims


class AssumingService(SoakKeyService):
    """Broken: see :class:`AssumingDispatcher`."""

    dispatcher_class = AssumingDispatcher


VARIANTS = types.MappingProxyType(
    {
        '': SoakKeyService,
        'forgetful-book': ForgetfulService,
        'no-lease': TimelessService,
        'eager-claim': EagerService,
        'false-not-run': AssumingService,
    },
)


class SoakNode(Node):
    """A node that others reach through a relay that can be cut."""

    advertised: Address

    def start(self) -> None:
        """Announce the address of the relay, then start as usual."""
        self.control_plane.directory.update_local_record(peer=self.advertised)
        super().start()


def _end_with_parent(parent: int) -> None:
    """End at once when the soak run was stopped and cannot end its nodes."""
    while os.getppid() == parent:
        time.sleep(1)
    os.kill(os.getpid(), signal.SIGKILL)


def main(path: str, advertised: str, variant: str) -> None:
    """Run a node until a signal stops it.

    :param path: settings file.
    :param advertised: peer address that other nodes are told.
    :param variant: name from :data:`VARIANTS`.
    """
    threading.Thread(
        target=_end_with_parent, args=(os.getppid(),), daemon=True
    ).start()
    settings = load_settings(pathlib.Path(path))
    configure_logs(settings.node.log_format)
    SoakNode.key_service_class = VARIANTS[variant]
    SoakNode.advertised = parse_address(advertised)
    SoakNode(settings).run()


if __name__ == '__main__':
    main(*sys.argv[1:])

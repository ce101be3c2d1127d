"""What the ingress of a node serves by, and how it accounts for it."""

from godwitknot.config.configuration import ConfigurationManager
from godwitknot.declarations.configversions import Configuration
from godwitknot.declarations.routes import RouteTable
from godwitknot.operators.burn import BurnLedger
from godwitknot.operators.refusals import RefusalLog
from godwitknot.outcomes import RefusalError
from godwitknot.proxying.dispatch import IngressRequest
from godwitknot.proxying.ingress import Accounting, IngressConfiguration


class ServingConfiguration:
    """Compiles the routes of each configuration that comes into force."""

    def __init__(self, configuration_manager: ConfigurationManager) -> None:
        """Subscribe to the configuration manager."""
        self._serving: IngressConfiguration | None = None
        configuration_manager.subscribe(self._compile)

    def current(self) -> IngressConfiguration | None:
        """Give what is served by, ``None`` before the first."""
        return self._serving

    def _compile(self, configuration: Configuration) -> None:
        declaration = configuration.declaration
        self._serving = IngressConfiguration(
            configuration.version,
            RouteTable(declaration),
            declaration.fleet.account_header,
        )


class NodeAccounting(Accounting):
    """Counts ends of requests and keeps the refusals."""

    def __init__(self, burn: BurnLedger, refusals: RefusalLog) -> None:
        """Take the ledgers."""
        self._burn = burn
        self._refusals = refusals

    def record_end(
        self,
        incoming: IngressRequest,
        status: int,
        seconds: float,
        refusal: RefusalError | None,
    ) -> None:
        """Count a request."""
        work = incoming.route.work
        code = None if refusal is None else refusal.code
        self._burn.note(work, status, seconds, code)
        if refusal is not None:
            self._refusals.add(incoming.request_id, work.name, refusal)

"""Connects the ingress to the configuration and the request accounting."""

from godwitknot.config.configuration import ConfigurationKeeper
from godwitknot.declarations.heads import Configuration
from godwitknot.declarations.routes import RouteTable
from godwitknot.operators.refusals import RefusalLog
from godwitknot.operators.requestcounts import RequestCounter
from godwitknot.outcomes import RefusalError
from godwitknot.proxying.dispatch import IngressRequest
from godwitknot.proxying.ingress import Accounting, IngressConfiguration


class ServingConfiguration:
    """Compiles the routes whenever a configuration comes into force."""

    def __init__(self, keeper: ConfigurationKeeper) -> None:
        """Subscribe to the changes of a keeper."""
        self._compiled: IngressConfiguration | None = None
        keeper.subscribe(self._compile)

    def current(self) -> IngressConfiguration | None:
        """Return the compiled configuration, ``None`` before the first."""
        return self._compiled

    def _compile(self, configuration: Configuration) -> None:
        declaration = configuration.declaration
        self._compiled = IngressConfiguration(
            configuration.version,
            RouteTable(declaration),
            declaration.fleet.account_header,
        )


class NodeAccounting(Accounting):
    """Counts ended requests and logs refusals for the operator."""

    def __init__(self, counter: RequestCounter, refusals: RefusalLog) -> None:
        """Record into a counter and a refusal log."""
        self._counter = counter
        self._refusals = refusals

    def record_end(
        self,
        incoming: IngressRequest,
        status: int,
        seconds: float,
        refusal: RefusalError | None,
    ) -> None:
        """Count an ended request and keep its refusal, if any.

        :param status: HTTP status that the caller got.
        :param seconds: from the request line to the head of the response.
        """
        work = incoming.route.work
        code = None if refusal is None else refusal.code
        self._counter.record_request(work, status, seconds, code)
        if refusal is not None:
            self._refusals.add(incoming.request_id, work.name, refusal)

"""Interface between the operator port and a node, with its data types."""

import abc
import enum
from collections.abc import Mapping, Sequence

import attrs

from godwitknot.control.records import NodeRecord
from godwitknot.declarations.differences import Difference
from godwitknot.declarations.heads import Change
from godwitknot.errors import OperationRefusedError, Problem
from godwitknot.operators.budgetreport import BudgetReport

_TARGET_SEPARATOR = '/'


class ApiCode(enum.StrEnum):
    """Error codes of the operator's interface, see docs/OPERATIONS.md."""

    UNAUTHORIZED = 'unauthorized'
    OPERATOR_REQUIRED = 'operator-required'
    BAD_REQUEST = 'bad-request'
    NOT_FOUND = 'not-found'
    INVALID_DECLARATION = 'invalid-declaration'
    CONFLICT = 'conflict'
    REFUSED = 'refused'
    ANSWER_LOST = 'answer-lost'
    STORE_DOWN = 'store-down'
    STORE_FAILED = 'store-failed'
    INTERNAL = 'internal'


@attrs.frozen
class ServerStatus:
    """One server as this node knows it.

    :param name: server name, unique within its node.
    :param state: announced state, or ``unreachable`` if its node is.
    """

    node_id: str
    name: str
    service: str
    region: str
    failure_domain: str
    state: str


@attrs.frozen
class ServiceStatus:
    """One declared service.

    :param floor: minimum number of servers that stay in service.
    :param known: number of servers announced.
    :param serving: number of servers that accept requests.
    """

    name: str
    floor: int
    known: int
    serving: int


@attrs.frozen
class FleetStatus:
    """The fleet as this node knows it.

    :param node_id: the node that reports.
    :param state: its state.
    :param version: configuration version in force at this node, 0 for none.
    :param author: who applied that version.
    :param store: whether the last access to the store succeeded.
    :param nodes: number of nodes known.
    :param unreachable: ids of the nodes that this node does not reach.
    :param warnings: conditions that need an operator, one sentence each.
    """

    node_id: str
    state: str
    version: int
    author: str
    store: bool
    nodes: int
    unreachable: tuple[str, ...] = ()
    services: tuple[ServiceStatus, ...] = ()
    servers: tuple[ServerStatus, ...] = ()
    warnings: tuple[str, ...] = ()


@attrs.frozen
class Explanation:
    """Why the fleet treats a server or a request as it does.

    :param subject: server, node or request, empty for the whole fleet.
    :param lines: sentences for the operator, the most important first.
    :param facts: names and values that support them.
    """

    subject: str
    lines: tuple[str, ...]
    facts: Mapping[str, str] = attrs.Factory(dict)


@attrs.frozen
class ConfigurationView:
    """The configuration in force at this node.

    :param change: the latest change, ``None`` before the first.
    :param text: INI text, empty before the first.
    """

    change: Change | None
    text: str


@attrs.frozen
class Plan:
    """What an apply would change.

    :param version: version in force that the plan is based on.
    :param digest: digest of the planned text.
    :param unchanged: whether this text is already in force.
    :param differences: differences by section and key.
    :param misfits: why the fleet would refuse it, empty if it would not.
    """

    version: int
    digest: str
    unchanged: bool
    differences: tuple[Difference, ...]
    misfits: tuple[Problem, ...]


@attrs.frozen
class Confirmation:
    """Which nodes have a configuration version in force.

    :param confirmed: ids of the nodes with this version or a higher one.
    :param missing: ids of the other nodes, each with the reason:
        ``no answer`` or the version that it has.
    """

    version: int
    confirmed: tuple[str, ...]
    missing: Mapping[str, str]


@attrs.frozen
class StopTarget:
    """A server, or a whole node if ``server`` is empty."""

    node_id: str
    server: str = ''

    def __str__(self) -> str:
        """Format as ``NODE/SERVER`` or ``NODE``."""
        if self.server:
            return f'{self.node_id}{_TARGET_SEPARATOR}{self.server}'
        return self.node_id


@attrs.frozen
class StopProgress:
    """State of a planned stop.

    :param target: as :class:`StopTarget` formats it.
    :param state: ``waiting`` for stay promises, ``draining`` or ``gone``.
    :param running: number of requests still running.
    :param detail: what the stop waits for, empty if nothing.
    """

    target: str
    state: str
    running: int
    detail: str = ''

    @property
    def done(self) -> bool:
        """Whether the target has stopped."""
        return self.state == 'gone'


class FleetView(abc.ABC):
    """Read access to the fleet through one node."""

    @abc.abstractmethod
    def status(self) -> FleetStatus:
        """Return the state of the fleet as this node knows it."""

    @abc.abstractmethod
    def report(self) -> BudgetReport:
        """Collect the request counts of all nodes and build the report.

        :raises OperationRefusedError: if no configuration is in force.
        """

    @abc.abstractmethod
    def explain(self, subject: str) -> Explanation:
        """Explain the treatment of a server, a request or the fleet.

        :param subject: server, request id, or empty for the fleet.
        :raises OperationRefusedError: if nothing is known of the subject.
        """

    @abc.abstractmethod
    def configuration(self) -> ConfigurationView:
        """Return the configuration in force at this node."""

    @abc.abstractmethod
    def confirm(self, version: int) -> Confirmation:
        """Request the configuration version of every node.

        :param version: a node confirms with this version or a higher one.
        """


class Operations(abc.ABC):
    """Changes to the fleet through one node."""

    @abc.abstractmethod
    def plan(self, text: str) -> Plan:
        """Compare a declaration with the one in force.

        :raises DeclarationError: if the text has faults.
        """

    @abc.abstractmethod
    def apply(
        self,
        text: str,
        expected_version: int,
        apply_id: str,
        author: str,
    ) -> Change:
        """Accept a declaration as the next configuration.

        Raises the errors of
        :meth:`godwitknot.config.configuration.ConfigurationKeeper.accept`.
        """

    @abc.abstractmethod
    def stop(self, target: str, author: str) -> StopProgress:
        """Start a planned stop, or return the progress of a running one.

        :param target: server or node, see :func:`resolve_target`.
        :raises OperationRefusedError: if the target is unknown, or the
            floor does not permit the stop.
        """

    @abc.abstractmethod
    def get_stop_progress(self, target: str) -> StopProgress:
        """Return the progress of a planned stop without starting one.

        :raises OperationRefusedError: if the target is unknown.
        """


def resolve_target(text: str, nodes: Sequence[NodeRecord]) -> StopTarget:
    """Find the server or node that an operator named.

    :param text: ``NODE/SERVER``, a node id, or a server name that is
        unique in the fleet.
    :param nodes: records of the known nodes.
    :raises OperationRefusedError: if there is no match or more than one.
    """
    node_id, separator, server = text.partition(_TARGET_SEPARATOR)
    matches = []
    for node in nodes:
        names = [record.name for record in node.servers]
        if separator:
            if node.node_id == node_id and server in names:
                matches.append(StopTarget(node_id, server))
            continue
        if node.node_id == text:
            matches.append(StopTarget(text))
        if text in names:
            matches.append(StopTarget(node.node_id, text))
    if not matches:
        raise OperationRefusedError(f'no server or node is named {text}')
    if len(matches) > 1:
        choices = ', '.join(sorted(str(match) for match in matches))
        raise OperationRefusedError(f'{text} may mean {choices}')
    return matches[0]

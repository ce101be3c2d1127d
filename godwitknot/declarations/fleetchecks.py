"""Whether a declaration fits the servers of the running fleet."""

import abc

import attrs

from godwitknot.declarations.declaration import Declaration
from godwitknot.errors import Problem


@attrs.frozen
class ServiceCount:
    """Servers of one service as a node knows them.

    :param known: servers announced, unreachable ones included, gone ones
        not.
    :param serving: known servers that are not draining.
    """

    known: int = 0
    serving: int = 0


class ServerCounter(abc.ABC):
    """Counts the servers of the fleet."""

    @abc.abstractmethod
    def count(self, service: str) -> ServiceCount:
        """Count the servers of a service."""


def find_fleet_problems(
    declaration: Declaration, server_counter: ServerCounter
) -> list[Problem]:
    """Find what the running fleet cannot fulfil.

    :param declaration: a declaration that is valid in itself.
    :param server_counter: the servers of the fleet.
    :returns: one problem for each service or class that does not fit.
    """
    counts = {name: server_counter.count(name) for name in declaration.services}
    problems = []
    for service in declaration.services.values():
        title = f'service {service.name}'
        known = counts[service.name].known
        if not known:
            expected = 'a service that some server has announced'
            problems.append(Problem(title, '', expected, service.name))
        elif service.floor.count_servers(known) > known:
            expected = f'at most {known}, the servers known'
            floor = str(service.floor.count)
            problems.append(Problem(title, 'floor', expected, floor))
    return problems + _find_idle_classes(declaration, counts)


def _find_idle_classes(
    declaration: Declaration,
    counts: dict[str, ServiceCount],
) -> list[Problem]:
    uses = [
        (f'class {work.name}', 'service', work.service)
        for work in declaration.classes.values()
    ]
    uses.extend(
        (f'migration {move.name}', 'to', move.to)
        for move in declaration.migrations
    )
    expected = 'a service with a server that is not draining'
    return [
        Problem(title, key, expected, service)
        for title, key, service in uses
        if counts[service].known and not counts[service].serving
    ]

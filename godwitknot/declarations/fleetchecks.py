"""Checks of a declaration against the servers of the running fleet."""

import abc

import attrs

from godwitknot.declarations.declaration import Declaration
from godwitknot.errors import Problem


@attrs.frozen
class ServiceCount:
    """Numbers of servers of one service, as this node knows them.

    :param known: announced servers, including unreachable ones but not those
        that are gone.
    :param serving: known servers that are not draining.
    """

    known: int = 0
    serving: int = 0


class ServerCounter(abc.ABC):
    """Counts the servers of the fleet by service."""

    @abc.abstractmethod
    def count(self, service: str) -> ServiceCount:
        """Count the servers of a service."""


def find_fleet_problems(
    declaration: Declaration, server_counter: ServerCounter
) -> list[Problem]:
    """Find the parts of a declaration that the running fleet cannot meet.

    :param declaration: a declaration that is valid in itself.
    :param server_counter: counts the servers of the fleet.
    :returns: one problem for each floor, class or migration that the fleet
        cannot meet.
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
    return problems + _find_unserved_work(declaration, counts)


def _find_unserved_work(
    declaration: Declaration,
    counts: dict[str, ServiceCount],
) -> list[Problem]:
    service_references = [
        (f'class {work.name}', 'service', work.service)
        for work in declaration.classes.values()
    ]
    service_references.extend(
        (f'migration {migration.name}', 'to', migration.to)
        for migration in declaration.migrations
    )
    expected = 'a service with a server that is not draining'
    return [
        Problem(title, key, expected, service)
        for title, key, service in service_references
        if counts[service].known and not counts[service].serving
    ]

"""Matching of requests to classes of work."""

import attrs

from godwitknot.declarations.declaration import Declaration, WorkClass


@attrs.frozen
class Route:
    """Class of work and service of a request.

    :param work: class of work.
    :param service: service that handles it, after migrations.
    """

    work: WorkClass
    service: str


class RouteTable:
    """Routes compiled into a table of exact paths and one of prefixes.

    A lookup takes one hash probe for the exact path and at most one for each
    distinct prefix length, so its cost does not grow with the number of
    routes. An exact path takes precedence over any prefix, a longer prefix
    over a shorter one, and a migration over its class at the same path.
    """

    def __init__(self, declaration: Declaration) -> None:
        """Compile the routes of a declaration."""
        self._exact: dict[tuple[str, str], Route] = {}
        self._prefixes: dict[tuple[str, str], Route] = {}
        for work in declaration.classes.values():
            self._add(work.match, Route(work, work.service))
        for migration in declaration.migrations:
            work = declaration.classes[migration.work_class]
            self._add(migration.match, Route(work, migration.to))
        lengths = {len(path) for _, path in self._prefixes}
        self._prefix_lengths = sorted(lengths, reverse=True)

    def find(self, method: str, path: str) -> Route | None:
        """Find the route of a request.

        :param method: HTTP method, upper case.
        :param path: path without the query.
        :returns: the route, or ``None`` if no class matches.
        """
        route = self._exact.get((method, path))
        if route is not None:
            return route
        for length in self._prefix_lengths:
            if length > len(path):
                continue
            route = self._prefixes.get((method, path[:length]))
            if route is not None:
                return route
        return None

    def _add(self, matches: tuple, route: Route) -> None:
        for match in matches:
            table = self._prefixes if match.prefix else self._exact
            for method in match.methods:
                table[method, match.path] = route

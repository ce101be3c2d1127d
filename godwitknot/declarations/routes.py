"""Matching of requests to classes of work."""

import attrs

from godwitknot.declarations.declaration import Declaration, WorkClass


@attrs.frozen
class Route:
    """What a request resolves to.

    :param work: class of work.
    :param service: service that runs it, after migrations.
    """

    work: WorkClass
    service: str


class RouteTable:
    """Routes compiled into one exact and one prefix table.

    A look-up takes one hash probe for the exact path and one for each
    distinct prefix length at most, so its cost does not grow with the
    number of routes. The longest prefix wins; an exact path wins over any
    prefix; a migration wins over its class at the same path.
    """

    def __init__(self, declaration: Declaration) -> None:
        """Compile the routes of a declaration."""
        self._exact: dict[tuple[str, str], Route] = {}
        self._prefixes: dict[tuple[str, str], Route] = {}
        for work in declaration.classes.values():
            self._add(work.match, Route(work, work.service))
        for move in declaration.migrations:
            work = declaration.classes[move.work_class]
            self._add(move.match, Route(work, move.to))
        lengths = {len(path) for _, path in self._prefixes}
        self._lengths = sorted(lengths, reverse=True)

    def find(self, method: str, path: str) -> Route | None:
        """Find the route of a request.

        :param method: HTTP method, upper case.
        :param path: path without the query.
        :returns: the route, or ``None`` if no class matches.
        """
        route = self._exact.get((method, path))
        if route is not None:
            return route
        for length in self._lengths:
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

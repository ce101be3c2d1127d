"""Distribution of a route's requests over its services by weight."""

import random

import attrs

from godwitknot.mesh.model import Route


@attrs.define
class _TrafficSplit:
    """Distributes the requests of one route.

    Smooth weighted round robin keeps the shares exact over any period.
    """

    credits: dict[str, float]

    def choose_service(self, route: Route) -> str:
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            credit = self.credits.get(share.service, 0) + share.weight
            self.credits[share.service] = credit
        eligible = [share for share in route.shares if share.weight > 0]
        best = max(eligible, key=lambda each: self.credits[each.service])
        self.credits[best.service] -= total
        return best.service


class TrafficSplits:
    """The traffic splits of all routes; changed weights start a new one."""

    def __init__(self, rng: random.Random) -> None:
        """Create splits without any requests.

        :param rng: draws initial credits, which keep the nodes from choosing
            in step.
        """
        self._rng = rng
        self._splits: dict[tuple, _TrafficSplit] = {}

    def choose_service(self, route: Route) -> str:
        """Return the service that the next request of a route goes to."""
        if len(route.shares) == 1:
            return route.shares[0].service
        key = (route.name, route.shares)
        split = self._splits.get(key)
        if split is None:
            total = sum(share.weight for share in route.shares)
            split = _TrafficSplit(
                {
                    share.service: self._rng.random() * total
                    for share in route.shares
                }
            )
            self._splits[key] = split
        return split.choose_service(route)

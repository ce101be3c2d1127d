"""The client account model."""

import attrs


@attrs.frozen
class ClientAccount:
    """A customer of the operator, whose requests carry one of its keys.

    :param name: unique within a configuration; passed on to servers.
    :param key_digests: digests of its keys; the keys themselves are not kept.
    :param priority: replaces that of the route, 0 is the most urgent;
        ``None`` keeps the route's.
    :param rate: requests per second over all nodes, 0 for no limit.
    :param burst: additional requests at once.
    """

    name: str
    key_digests: frozenset[bytes] = attrs.field(repr=False)
    priority: int | None = None
    rate: float = 0
    burst: float = 0

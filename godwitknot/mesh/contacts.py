"""When other nodes were last heard of."""

import attrs

from godwitknot.units import Address


@attrs.define
class Contacts:
    """Outcomes of the latest contacts with other nodes; times of the clock.

    :ivar unreachable: nodes that did not answer, and since when.
    :ivar reached: when each node last answered or sent something.
    """

    unreachable: dict[Address, float] = attrs.field(factory=dict)
    reached: dict[Address, float] = attrs.field(factory=dict)

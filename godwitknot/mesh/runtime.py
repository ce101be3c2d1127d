"""Services shared by all parts of a mesh node."""

import random

import attrs

from godwitknot.clock import Clock
from godwitknot.memory.ledger import Ledger
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.telemetry import Telemetry


@attrs.frozen
class Runtime:
    """Clock, log, metrics, random numbers and held bytes of a node.

    Tests replace the clock and the random numbers to control them.
    """

    clock: Clock
    log: EventLog
    telemetry: Telemetry
    rng: random.Random
    ledger: Ledger = attrs.field(factory=Ledger)

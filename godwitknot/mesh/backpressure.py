"""Holds back new work while a node has little room for it."""

import asyncio

from godwitknot.memory.ledger import Ledger

_POLL_SECONDS = 0.05
# Then the request is read, so that its caller gets a refusal in time.
_MAX_WAIT_SECONDS = 1.0


async def wait_for_room(ledger: Ledger) -> None:
    """Return once the next request may be read, after a second at most."""
    waited = float(0)
    while ledger.is_tight and waited < _MAX_WAIT_SECONDS:
        await asyncio.sleep(_POLL_SECONDS)
        waited += _POLL_SECONDS

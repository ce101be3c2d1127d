"""Seed discovery: rows in the table service with the addresses of nodes.

A row is a hint where to find a node and never evidence that it is alive.
"""

import contextlib
import uuid
from collections.abc import Sequence

from godwitknot.control.records import NodeRecord
from godwitknot.errors import StoreError
from godwitknot.storage.store import TableService, Write
from godwitknot.units import Address, parse_address

_KEY_PREFIX = 'nodes/'
_PEER_COLUMN = 'peer'
_MAX_SEEDS = 16


class NodeRegistry:
    """Reads and writes the rows of nodes in the table service."""

    def __init__(self, tables: TableService) -> None:
        """Create a registry on a table service."""
        self._tables = tables

    def find_seeds(self) -> Sequence[Address]:
        """Return the peer addresses of nodes, at most 16.

        :returns: nothing if the table service fails.
        """
        try:
            rows = self._tables.scan(_KEY_PREFIX)
        except StoreError:
            return ()
        seeds = []
        for row in rows[-_MAX_SEEDS:]:
            with contextlib.suppress(ValueError):
                seeds.append(
                    parse_address(str(row.columns.get(_PEER_COLUMN, '')))
                )
        return seeds

    def write(self, record: NodeRecord) -> bool:
        """Write the row of a node.

        :returns: whether the row was written. A failed write is harmless:
            the rows of other nodes lead to the fleet as well.
        """
        key = f'{_KEY_PREFIX}{record.node_id}'
        columns = {_PEER_COLUMN: str(record.peer)}
        try:
            version = self._tables.read(key).version
            write = Write(key, version, columns, uuid.uuid4().hex)
            self._tables.write([write])
        except StoreError:
            return False
        return True

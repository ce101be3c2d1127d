"""Rows in the table service by which a new node finds peers.

The rows are hints and never evidence that a node is alive.
"""

import contextlib
import uuid
from collections.abc import Sequence

from godwitknot.control.records import NodeRecord
from godwitknot.errors import StoreError
from godwitknot.storage.store import TableService, Write
from godwitknot.units import Address, parse_address

_PREFIX = 'nodes/'
_PEER = 'peer'
_MOST_SEEDS = 16


class NodeRegistry:
    """Reads and writes the rows of nodes."""

    def __init__(self, tables: TableService) -> None:
        """Use a table service."""
        self._tables = tables

    def find_seeds(self) -> Sequence[Address]:
        """Give peer addresses that nodes wrote, none if the store is down."""
        try:
            rows = self._tables.scan(_PREFIX)
        except StoreError:
            return ()
        seeds = []
        for row in rows[-_MOST_SEEDS:]:
            with contextlib.suppress(ValueError):
                seeds.append(parse_address(str(row.columns.get(_PEER, ''))))
        return seeds

    def write(self, record: NodeRecord) -> bool:
        """Write the row of a node.

        :returns: whether it was written; a lost write does no harm.
        """
        key = f'{_PREFIX}{record.node_id}'
        columns = {_PEER: str(record.peer)}
        try:
            version = self._tables.read(key).version
            write = Write(key, version, columns, uuid.uuid4().hex)
            self._tables.write([write])
        except StoreError:
            return False
        return True

"""The record of this node as the store has it."""

import attrs

from godwitknot.mesh.interfaces import Page, WriteReceipt
from godwitknot.mesh.memberdirectory import Member


@attrs.define
class StoredRecord:
    """What the latest response of the store said about this node's row.

    :param key: of the row.
    :ivar version: of the row, 0 if there is none or it is unknown.
    :ivar member: content of the row, ``None`` if there is none or it is
        unknown.
    :ivar acknowledged: the record whose write was acknowledged last.
    """

    key: str
    version: int = 0
    member: Member | None = None
    acknowledged: Member | None = None

    def forget(self) -> None:
        """Drop the row, since the store was restored from a copy."""
        self.version = 0
        self.member = None

    def confirm(self, receipt: WriteReceipt, member: Member) -> None:
        """Apply an acknowledged write."""
        self.version = receipt.version
        self.member = member
        self.acknowledged = member

    def apply_page(
        self, page: Page, member: Member | None, *, is_complete: bool
    ) -> None:
        """Apply rows that were read, unless the row was written since.

        :param member: decoded content of the row, if the page has it.
        :param is_complete: whether the page has all rows of the table.
        """
        versions = [row.version for row in page.rows if row.key == self.key]
        if page.version < self.version:
            return
        if versions and versions[-1] >= self.version:
            self.version = versions[-1] if member else 0
            self.member = member
        elif is_complete and not versions:
            self.forget()

"""The row of this node's record follows the latest response."""

import attrs
import pytest

from godwitknot.mesh.interfaces import Page, Row, WriteReceipt
from godwitknot.mesh.storedrecord import StoredRecord
from test_memberdirectory import LOCAL

KEY = str(LOCAL.address)
OLDER = attrs.evolve(LOCAL, slots=1)


@pytest.fixture
def record():
    stored = StoredRecord(KEY)
    stored.confirm(WriteReceipt(20), LOCAL)
    return stored


@pytest.mark.parametrize(
    'page',
    [
        Page((), 19),
        Page((Row(KEY, b'older', 15),), 19),
        # The pages of a table were read before and after the write.
        Page((Row(KEY, b'older', 15),), 25),
    ],
)
def test_rows_read_before_a_write_do_not_undo_it(record, page):
    """Guards against a second write after each write that overlaps a read."""
    record.apply_page(page, OLDER, is_complete=True)
    assert (record.version, record.member) == (20, LOCAL)


def test_later_row_replaces_the_written_one(record):
    page = Page((Row(KEY, b'other', 21),), 21)
    record.apply_page(page, OLDER, is_complete=False)
    assert (record.version, record.member) == (21, OLDER)
    assert record.acknowledged == LOCAL


def test_row_that_is_not_in_the_table_is_forgotten(record):
    record.apply_page(Page((), 21), None, is_complete=False)
    assert record.version == 20
    record.apply_page(Page((), 21), None, is_complete=True)
    assert (record.version, record.member) == (0, None)


def test_deleted_row_is_expected_to_be_absent(record):
    page = Page((Row(KEY, None, 21),), 21)
    record.apply_page(page, None, is_complete=False)
    assert (record.version, record.member) == (0, None)

"""Rows of claims in the table service."""

import base64
import enum
from urllib.parse import quote

import attrs

from godwitknot.atmostonce.runs import StoredResponse
from godwitknot.outcomes import Code, Outcome
from godwitknot.storage.store import Row


class ClaimState(enum.StrEnum):
    """State of a claim; an absent row is free, as a released one is."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    RELEASED = 'released'


@attrs.frozen
class ClaimRequest:
    """A request with a key that its caller chose.

    :param digest: see :func:`~godwitknot.atmostonce.runs.digest_request`.
    :param max_wait: seconds to wait for another run of the key.
    """

    account: str
    key: str
    service: str
    digest: str
    max_wait: float

    @property
    def row_key(self) -> str:
        """Primary key of the claim, the same in every service."""
        return f'claims/{quote(self.account, "")}/{quote(self.key, "")}'


def format_response(answer: StoredResponse) -> dict[str, object]:
    """Give the columns of an answered claim."""
    return {
        'status': answer.status,
        'headers': [list(pair) for pair in answer.headers],
        'body': base64.b64encode(answer.body).decode(),
        'outcome': answer.outcome,
        'code': answer.code,
    }


def parse_response(row: Row) -> StoredResponse:
    """Read the answer from the row of an answered claim."""
    columns = row.columns
    code = columns['code']
    return StoredResponse(
        int(columns['status']),
        tuple((name, text) for name, text in columns['headers']),
        base64.b64decode(columns['body']),
        Outcome(columns['outcome']),
        None if code is None else Code(code),
    )

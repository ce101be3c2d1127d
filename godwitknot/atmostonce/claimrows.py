"""Format of the claim rows in the table service."""

import base64
import enum
from urllib.parse import quote

import attrs

from godwitknot.atmostonce.runs import StoredResponse
from godwitknot.outcomes import Code, Outcome
from godwitknot.storage.store import Row


class ClaimState(enum.StrEnum):
    """State of a claim; a key is free if its row is absent or released."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    RELEASED = 'released'


@attrs.frozen
class ClaimRequest:
    """A request with a caller-chosen key.

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
        """Primary key of the row; it does not depend on the service."""
        return f'claims/{quote(self.account, "")}/{quote(self.key, "")}'


def format_response(response: StoredResponse) -> dict[str, object]:
    """Return the columns that store the response of an answered claim."""
    return {
        'status': response.status,
        'headers': [list(pair) for pair in response.headers],
        'body': base64.b64encode(response.body).decode(),
        'outcome': response.outcome,
        'code': response.code,
    }


def parse_response(row: Row) -> StoredResponse:
    """Return the response from the row of an answered claim."""
    columns = row.columns
    code = columns['code']
    return StoredResponse(
        int(columns['status']),
        tuple((name, text) for name, text in columns['headers']),
        base64.b64decode(columns['body']),
        Outcome(columns['outcome']),
        None if code is None else Code(code),
    )

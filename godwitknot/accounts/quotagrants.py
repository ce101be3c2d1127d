"""Requests for tokens and the answers of quota homes."""

import enum

import attrs

from godwitknot.accounts.tokenbucket import Tokens


class Verdict(enum.StrEnum):
    """Answer to a request for tokens or to a question about a node."""

    GRANTED = 'granted'
    # The receiver does not consider itself the home of the account.
    NOT_HOME = 'notHome'
    # The node in question was heard, could not be called, or neither.
    REACHABLE = 'reachable'
    LOST = 'lost'
    UNKNOWN = 'unknown'


@attrs.frozen
class Grant:
    """Answer of a home.

    :param tokens: fewer than wanted if the quota is used up.
    :param retry_after: seconds until the node may ask again, 0 if it was
        granted all it wanted.
    :param pace: seconds between two requests refused by this node after
        which each finds a token.
    :param version: of the configuration whose limit applies.
    :param seconds: for which the tokens are valid, 0 for the usual time.
    """

    verdict: Verdict
    tokens: Tokens = Tokens(0, 0)
    retry_after: float = 0
    pace: float = 0
    version: int = 0
    seconds: float = 0

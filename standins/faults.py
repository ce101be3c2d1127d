"""Faults that can be switched on in a fake backend server."""

import attrs
import cattrs


@attrs.frozen
class Faults:
    """Faults of a backend server that are switched on.

    :param slow_factor: factor of the service time.
    :param slow_share: share of requests that ``slow_factor`` applies to.
    :param error_share: share of requests answered with status 500.
    :param cut_share: share of responses truncated in the middle of the body.
    :param wrong_id_share: share of responses with another request's id.
    :param hang: accept requests and never respond.
    :param shed: refuse requests as not run.
    :param health_lies: whether the health endpoint returns 200 whatever
        faults are switched on.
    :param health_fails: whether the health endpoint always returns 500.
    :param load_lies: whether the load endpoint always reports no load.
    :param flap_seconds: faults apply only in every second period of this
        length.
    :param cold_seconds: time after the start in which service times are
        multiplied by ``cold_factor``.
    """

    slow_factor: float = 1
    slow_share: float = 1
    error_share: float = 0
    cut_share: float = 0
    wrong_id_share: float = 0
    hang: bool = False
    shed: bool = False
    health_lies: bool = True
    health_fails: bool = False
    load_lies: bool = False
    flap_seconds: float = 0
    cold_seconds: float = 0
    cold_factor: float = 5


def parse_faults(document: dict[str, object]) -> Faults:
    """Parse faults from a JSON document; missing fields keep their defaults.

    :raises cattrs.BaseValidationError: if the document is malformed.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    return converter.structure(document, Faults)

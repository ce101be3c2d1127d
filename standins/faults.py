"""Faults that a stand-in backend server can be told to show."""

import attrs
import cattrs


@attrs.frozen
class Faults:
    """What is wrong with a backend server at present.

    :param slow_factor: multiplies the service time.
    :param slow_share: share of requests that ``slow_factor`` applies to.
    :param error_share: share of requests answered with 500.
    :param cut_share: share of answers cut in the middle.
    :param wrong_id_share: share of answers with another request's id.
    :param hang: accept requests and never answer.
    :param shed: refuse work as not run.
    :param health_lies: the health endpoint says 200 whatever happens.
    :param health_fails: the health endpoint says 500 whatever happens.
    :param load_lies: the load endpoint says idle whatever happens.
    :param flap_seconds: faults apply in every second period of this length.
    :param cold_seconds: slow by ``cold_factor`` this long after a start.
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
    """Read faults from a JSON document; what is missing is not faulty.

    :raises cattrs.BaseValidationError: if the document is malformed.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    return converter.structure(document, Faults)

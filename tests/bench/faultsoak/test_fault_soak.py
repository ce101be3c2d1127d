"""Short fault soaks of real nodes, from seeds that are kept."""

import pytest

from bench.faultsoak.run import run_soak

# 0, 2 and 9: a node that still loaded its program was ended by SIGHUP.
SEEDS = (0, 2, 9)


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_are_kept_under_faults(seed, tmp_path):
    """Guards against faults whose overlap no test of a part covers."""
    report = run_soak(seed, tmp_path)
    assert report.violations == ()
    assert report.served > 0

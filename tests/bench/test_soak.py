import pytest

from bench.soak import run_soak

SEEDS = (1, 2, 3)


def test_histories_keep_all_promises():
    """Guards against faulty interleavings that no unit test covers."""
    reports = run_soak(SEEDS, '', 3)
    assert [report for report in reports if report.violations] == []
    assert len(reports) == len(SEEDS)


@pytest.mark.parametrize(
    ('variant', 'seeds', 'promise'),
    [
        ('forgetful-book', (1,), 'at most once'),
        ('eager-claim', (1,), 'at most once'),
        ('no-lease', (1, 3, 7), 'lease'),
        ('false-not-run', (2, 3), 'true not run'),
    ],
)
def test_broken_variants_are_found(variant, seeds, promise):
    """Guards against checks that miss a known violation."""
    reports = run_soak(seeds, variant, 3)
    found = [each for report in reports for each in report.violations]
    assert promise in {violation.promise for violation in found}

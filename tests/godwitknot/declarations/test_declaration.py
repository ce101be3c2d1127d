import pytest

from godwitknot.declarations.declaration import (
    Weighing,
    load_declaration,
    parse_declaration,
)
from godwitknot.declarations.routes import RouteTable
from godwitknot.errors import DeclarationError

VALID = """
[fleet]
owner = hafnarvagn

[service booking]
floor = 75%

[service booking-old]
floor = 1

[class slot-booking]
service = booking-old
match =
  POST /bookings
  POST,PUT /bookings/*
success = 99.9%
latency = 95% within 400ms
never-repeat = yes
weigh = detection

[class slot-lookup]
service = booking
match = GET /slots/*
success = 99%
latency = 95% within 200ms

[migration north]
work-class = slot-booking
to = booking
match = POST /bookings/north/*
"""


def test_valid_declaration_is_read():
    declaration = parse_declaration(VALID)
    work = declaration.classes['slot-booking']
    assert work.never_repeat
    assert work.weigh is Weighing.DETECTION
    assert work.latency.seconds == pytest.approx(0.4)
    assert declaration.services['booking'].floor.count_servers(25) == 19


def test_six_planted_errors_are_all_named():
    """Guards against `check` stopping at the first error."""
    broken = (
        VALID.replace('floor = 75%', 'floor = most')
        .replace('success = 99.9%', 'success = 999')
        .replace('95% within 400ms', '400ms')
        .replace('weigh = detection', 'weigh = fast')
        .replace('to = booking\n', 'to = bookings\n')
        .replace('GET /slots/*', 'slots')
    )
    with pytest.raises(DeclarationError) as caught:
        parse_declaration(broken)
    keys = [(problem.section, problem.key) for problem in caught.value.problems]
    assert sorted(keys) == [
        ('class slot-booking', 'latency'),
        ('class slot-booking', 'success'),
        ('class slot-booking', 'weigh'),
        ('class slot-lookup', 'match'),
        ('migration north', 'to'),
        ('service booking', 'floor'),
    ]


def test_migration_wins_over_its_class():
    """Guards against routing migrated bookings to the old system."""
    routes = RouteTable(parse_declaration(VALID))
    assert routes.find('POST', '/bookings/north/1').service == 'booking'
    assert routes.find('POST', '/bookings/south/1').service == 'booking-old'
    assert routes.find('GET', '/slots/7').work.name == 'slot-lookup'
    assert routes.find('DELETE', '/slots/7') is None


def test_two_classes_may_not_claim_the_same_pattern():
    """Guards against a class that silently never matches."""
    overlapping = VALID.replace('GET /slots/*', 'POST /bookings')
    with pytest.raises(DeclarationError, match='slot-booking'):
        parse_declaration(overlapping)


def test_unknown_names_are_reported_beside_other_faults():
    """Guards against reporting unknown names only after other faults."""
    broken = VALID.replace('service = booking\n', 'service = bokking\n')
    broken = broken.replace('95% within 200ms', 'soon')
    with pytest.raises(DeclarationError) as caught:
        parse_declaration(broken)
    assert [problem.key for problem in caught.value.problems] == [
        'latency',
        'service',
    ]


def test_section_that_stands_twice_hides_no_other_fault():
    """Guards against a duplicate section that hides other faults."""
    text = VALID.replace('floor = 75%', 'floor = lots')
    with pytest.raises(DeclarationError) as caught:
        parse_declaration(f'{text}\n[service booking-old]\nfloor = 1\n')
    faults = [(each.section, each.key) for each in caught.value.problems]
    assert faults == [('service booking-old', ''), ('service booking', 'floor')]


def test_missing_file_is_not_called_unreadable(tmp_path):
    with pytest.raises(DeclarationError) as caught:
        load_declaration(tmp_path / 'fleet.ini')
    assert 'No such file' in str(caught.value)
    assert 'UTF-8' not in str(caught.value)


def test_file_of_another_encoding_is_named(tmp_path):
    path = tmp_path / 'fleet.ini'
    path.write_bytes(b'\xff\xfe')
    with pytest.raises(DeclarationError) as caught:
        load_declaration(path)
    assert 'UTF-8' in str(caught.value)

"""Numbers that order claims and processes, also after a restore of the store.

A number is found by adding one to the latest number in the store. The store
may have lost that one in a restore from a copy. A number therefore begins
with the store's era, so that it is greater than all numbers of former eras.
"""

import logbook

from egretstep import json_fields
from egretstep.storage import tables

NUMBERS_PER_ERA = 10**9
_logger = logbook.Logger('fencing')


def next_number(latest: int, era: int) -> int:
    """Return a number that follows `latest` and all of former eras.

    >>> next_number(1_000_000_004, era=1)
    1000000005
    >>> next_number(1_000_000_004, era=2)
    2000000001
    """
    return max(latest, era * NUMBERS_PER_ERA) + 1


def era_of(number: int) -> int:
    """Return the era in which a number was given out.

    >>> era_of(2_000_000_001)
    2
    """
    return number // NUMBERS_PER_ERA


def is_possible(number: int, era: int) -> bool:
    """Return whether a number can have been given out up to an era.

    >>> is_possible(2_000_000_001, era=1)
    False
    """
    return era_of(number) <= era


def is_own_row(row: tables.Row, *, key: str, number: int) -> bool:
    """Return whether a row is under its own key and has a possible number.

    `key` and `number` are what the content of the row calls for. Another
    writer's row must not replace that of a host or task.
    """
    if row.key == key and is_possible(number, row.version.era):
        return True
    _logger.warning(
        'row {} is ignored: its content is for the key {} and has number {}; '
        'the era of the store is {}',
        json_fields.quote(row.key),
        json_fields.quote(key),
        number,
        row.version.era,
    )
    return False


def is_first_of_era(number: int) -> bool:
    """Return whether a number is the first one of its era."""
    return number % NUMBERS_PER_ERA == 1

"""What a mutant is."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mutant:
    """A change that removes one mechanism, and the test that must then fail.

    In the file at `path`, `old` is replaced by `new`. The test is either the
    module `tests` or, in the feature `feature`, the scenarios whose names
    contain `scenario`.
    """

    name: str
    path: str
    old: str
    new: str
    feature: str = ''
    scenario: str = ''
    tests: str = ''

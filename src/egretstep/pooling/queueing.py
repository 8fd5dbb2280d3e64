"""The order in which waiting requests get a slot of a server."""

import enum


class QueuePolicy(enum.Enum):
    """Order of waiting requests; `first-come` is the baseline to compare."""

    FAIR = 'fair'
    FIRST_COME = 'first-come'

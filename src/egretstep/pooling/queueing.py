"""In which order requests wait for a server."""

import enum


class QueuePolicy(enum.Enum):
    """Order of waiting requests; `first-come` is a baseline."""

    FAIR = 'fair'
    FIRST_COME = 'first-come'

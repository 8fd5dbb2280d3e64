"""Decides how long a statement that has not run is retried.

Load pattern: a primary or its owner is lost while callers go on sending. A
planned handover ends within the timeout of the statement, so that the
statement is retried, also when it has already waited at the former owner for
running statements to end. A host or server that can't be reached is given up
soon: the caller's own retry reaches another host, which may be able to reach
it.
"""

from egretstep.backends import answers

MAX_WAIT_SECONDS = 0.25
MAX_WAIT_SHARE_OF_TIMEOUT = 0.3
MAX_WAIT_AFTER_MOVE_SECONDS = 1.0


def is_worth_retrying(
    answer: answers.Answer,
    *,
    waited: float,
    remaining: float,
) -> bool:
    """Tell whether a statement that was answered without effect is retried.

    `waited` and `remaining` are the parts of its timeout that have passed
    and are left, in seconds. A statement that found its replica behind is
    always retried while time remains, since the primary can run it at once.
    """
    retry_after_seconds = answer.retry_after_ms / 1000
    if remaining <= retry_after_seconds:
        return False
    if answer.code is answers.Code.BEHIND:
        return True
    if answer.code is answers.Code.MOVED:
        return waited + retry_after_seconds <= MAX_WAIT_AFTER_MOVE_SECONDS
    max_wait = min(
        MAX_WAIT_SECONDS,
        MAX_WAIT_SHARE_OF_TIMEOUT * (waited + remaining),
    )
    return waited + retry_after_seconds <= max_wait

"""Decides how long a statement that has not run is retried.

Load pattern: a primary or its owner is lost while callers go on sending. A
statement is retried until a planned handover ends, because that takes less
than the caller's timeout even if the statement has already waited while the
former owner drained. It is retried only briefly if a host or server can't be
reached: the caller's own retry goes to another host, which may reach it.
"""

from egretstep.backends import answers

MAX_WAIT_SECONDS = 0.25
MAX_WAIT_SHARE = 0.3
MAX_MOVED_WAIT_SECONDS = 1.0


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
    pause = answer.retry_after_ms / 1000
    if remaining <= pause:
        return False
    if answer.code is answers.Code.BEHIND:
        return True
    if answer.code is answers.Code.MOVED:
        return waited + pause <= MAX_MOVED_WAIT_SECONDS
    allowed = min(
        MAX_WAIT_SECONDS,
        MAX_WAIT_SHARE * (waited + remaining),
    )
    return waited + pause <= allowed

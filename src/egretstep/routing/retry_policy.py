"""Decides how long a statement that has not run is retried.

Load pattern: a primary or its owner is lost while callers go on sending. A
statement is retried until a planned handover ends, because that takes less
than the caller's timeout even if the statement has already waited while the
former owner drained. It is retried only briefly if a host or server can't be
reached: the caller's own retry goes to another host, which may reach it. A read
that a full or failing server did not serve goes on to another server at once.
"""

from egretstep.backends import answers
from egretstep.pooling import work as work_module

MAX_WAIT_SECONDS = 0.25
MAX_WAIT_SHARE = 0.3
MAX_MOVED_WAIT_SECONDS = 1.0
# Less time than this is not enough for another server to answer.
MIN_REMAINING_SECONDS = 0.005


def may_repeat(work: work_module.Work, answer: answers.Answer) -> bool:
    """Tell whether a statement may run again after an answer.

    It may if the attempt had no effect. `ABORTED` does not tell that of a
    write that was sent.
    """
    if answer.is_ok or not answer.has_no_effect:
        return False
    if work.is_read_only:
        return True
    return answer.code is not answers.Code.ABORTED or not answer.was_sent


def may_repeat_elsewhere(
    work: work_module.Work,
    answer: answers.Answer,
    *,
    remaining: float,
) -> bool:
    """Tell whether a statement may run at another server, at once.

    `remaining` is the rest of its timeout in seconds. A plain read may, also
    after a failure: it has changed nothing, and the other server may be well.
    """
    if remaining < MIN_REMAINING_SECONDS:
        return False
    if answer.code is answers.Code.FAILED:
        is_outside = work.opens is work_module.Opens.NOTHING
        return is_outside and not work.is_pinned and work.is_read_only
    return may_repeat(work, answer)


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

"""Makes the work of a statement from its route, and records its outcome."""

import dataclasses

from egretstep import identifiers
from egretstep.backends import answers, commands
from egretstep.observability import decisions, metrics
from egretstep.pooling import failure_answers
from egretstep.pooling import work as work_module
from egretstep.settings import deployment
from egretstep.supervision import stop_deadline


def new_work(
    *,
    statement_id: bytes,
    command: commands.Command,
    route: deployment.Route,
    workspace: identifiers.WorkspaceName,
    spent_seconds: float,
) -> work_module.Work:
    """Return the work of a statement outside a transaction.

    `spent_seconds` is the time that its operation has taken so far.
    """
    staleness = route.max_staleness
    if route.consistency is deployment.Consistency.PRIMARY:
        staleness = None
    if command.is_write or command.action is commands.Action.COMMIT:
        staleness = None
    return work_module.Work(
        statement_id=statement_id,
        command=command,
        workspace=workspace,
        service=route.service,
        timeout=route.timeout,
        max_staleness=staleness,
        priority=route.priority,
        target=target_left(route, spent_seconds),
    )


def opening(work: work_module.Work, *, is_read_only: bool) -> work_module.Work:
    """Return the work of the statement that opens a transaction."""
    if is_read_only:
        return dataclasses.replace(
            work, opens=work_module.Opens.READ_TRANSACTION
        )
    return dataclasses.replace(
        work, opens=work_module.Opens.TRANSACTION, max_staleness=None
    )


def refuse_while_stopping(
    statement_id: bytes,
    route: deployment.Route,
    stop: stop_deadline.StopDeadline,
) -> answers.Answer | None:
    """Return a refusal if this host stops before a request can be served."""
    if stop.allows(route.timeout):
        return None
    refusal = failure_answers.host_stopping()
    decisions.refused_while_stopping(
        statement_id, route.database, route.timeout, refusal
    )
    return refusal


def target_left(route: deployment.Route, spent_seconds: float) -> float | None:
    """Return what is left of an operation's target latency, in seconds.

    None means that the route has no target.
    """
    return route.target - spent_seconds if route.target else None


def record_outcome(
    *,
    statement_id: bytes,
    database: identifiers.DatabaseName,
    elapsed: float,
    answer: answers.Answer,
    current: deployment.Deployment,
) -> None:
    """Count the outcome, and log a failure or a missed target.

    `elapsed` is the time of the statement in seconds.
    """
    metrics.statements.inc(database, answer.code.value)
    metrics.statement_seconds.observe({}, elapsed)
    route = current.routes.get(database)
    if not answer.is_ok:
        decisions.failed(
            statement_id, database, elapsed, answer, current.version
        )
    elif route is not None and 0 < route.target < elapsed:
        decisions.late(statement_id, database, elapsed, answer)

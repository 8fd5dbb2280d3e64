"""Who may use which database."""

from egretstep import errors, identifiers
from egretstep.backends import answers
from egretstep.settings import deployment


class SessionRefusedError(errors.EgretstepError):
    """A session can't start or go on; `answer` says why."""

    def __init__(self, *, answer: answers.Answer) -> None:
        super().__init__(answer.message)
        self.answer = answer


def check(
    current: deployment.Deployment,
    *,
    database: identifiers.DatabaseName,
    key: str,
) -> tuple[deployment.Route, identifiers.WorkspaceName]:
    """Return the route of a database and the workspace of a key.

    Raises `SessionRefusedError` when one of them is not known, or no
    longer.
    """
    route = current.routes.get(database)
    if route is None:
        raise _refused(
            answers.Code.NO_DATABASE,
            f'no route has the name {database}',
        )
    workspace = current.workspaces_by_key.get(key)
    if workspace is None and route.is_open:
        workspace = identifiers.ANONYMOUS_WORKSPACE
    if workspace is None:
        raise _refused(
            answers.Code.ACCESS_DENIED,
            'the key is not known, or no longer',
        )
    return route, workspace


def _refused(code: answers.Code, message: str) -> SessionRefusedError:
    return SessionRefusedError(answer=answers.refusal(code, message))

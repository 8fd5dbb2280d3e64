"""Checks that a caller may use a database, by its route and key."""

from egretstep import errors, identifiers
from egretstep.backends import answers
from egretstep.settings import deployment


class SessionRefusedError(errors.EgretstepError):
    """A session can't start or continue; `answer` tells the caller why."""

    def __init__(self, *, answer: answers.Answer) -> None:
        super().__init__(answer.message)
        self.answer = answer


def authorize(
    current: deployment.Deployment,
    *,
    database: identifiers.DatabaseName,
    key: str,
) -> tuple[deployment.Route, identifiers.WorkspaceName]:
    """Return the route of a database and the workspace of a key.

    On an open route, a caller with an unknown key gets the anonymous
    workspace. Raises `SessionRefusedError` if the deployment has no route of
    that name, or if the key is unknown and the route is not open.
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

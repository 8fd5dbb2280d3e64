"""Authenticates callers by API keys, whose digests are in the settings.

The user name is the workspace and the password is the key. The response to
the challenge of the MySQL protocol is verified against a digest, so that the
key itself is neither sent nor stored.
"""

import dataclasses
import typing

from mysql_mimic import auth

from egretstep import identifiers
from egretstep.membership import view
from egretstep.settings import schema

CurrentView = typing.Callable[[], view.FleetView | None]
NONCE_BYTES = 20
_SEPARATOR = '/'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """The workspace of a caller and the name of its key.

    A caller without a key has the anonymous workspace and an empty key name.
    """

    workspace: identifiers.WorkspaceName
    key_name: str = ''

    @property
    def is_anonymous(self) -> bool:
        """Tell whether the caller has no key."""
        return not self.key_name


def encode_identity(identity: Identity) -> str:
    """Return an identity as the user name of a session."""
    return f'{identity.workspace}{_SEPARATOR}{identity.key_name}'


def decode_identity(name: str) -> Identity:
    """Return the identity that the user name of a session encodes."""
    workspace, _separator, key_name = name.partition(_SEPARATOR)
    return Identity(
        workspace=identifiers.WorkspaceName(workspace),
        key_name=key_name,
    )


def is_active(identity: Identity, fleet: schema.FleetSettings) -> bool:
    """Tell whether an identity is still accepted.

    The anonymous workspace needs no key; any other one needs an active key.
    """
    if identity.is_anonymous:
        return identity.workspace == identifiers.ANONYMOUS_WORKSPACE
    workspace = fleet.workspaces.get(identity.workspace)
    if workspace is None:
        return False
    key = workspace.keys.get(identity.key_name)
    return key is not None and key.state is schema.KeyState.ACTIVE


class KeyAuthPlugin(auth.NativePasswordAuthPlugin):
    """Verifies a challenge response against the active keys of a workspace.

    Several keys may be active at once, so that keys can be rotated.
    """

    def __init__(self, *, current_view: CurrentView) -> None:
        self._current_view = current_view

    async def auth(
        self,
        auth_info: auth.AuthInfo | None = None,
    ) -> auth.AuthState:
        """Send the challenge, then accept or refuse the response.

        Yields the challenge and then the decision, as the library expects.
        """
        if auth_info and auth_info.handshake_auth_data:
            nonce = auth_info.handshake_auth_data.rstrip(b'\x00')
        else:
            nonce = auth.utils.nonce(NONCE_BYTES)
            auth_info = yield b''.join((nonce, b'\x00'))
        identity = self._find_identity(
            auth_info.username,
            auth_info.data,
            nonce,
        )
        if identity is None:
            yield auth.Forbidden(
                f'access denied for workspace {auth_info.username!r}; '
                'check its name and key',
            )
        else:
            yield auth.Success(encode_identity(identity))

    def _find_identity(
        self,
        name: str,
        scramble: bytes,
        nonce: bytes,
    ) -> Identity | None:
        current = self._current_view()
        if current is None:
            return None
        if name == identifiers.ANONYMOUS_WORKSPACE and not scramble:
            return Identity(workspace=identifiers.ANONYMOUS_WORKSPACE)
        workspace = current.tree.fleet.workspaces.get(name)
        if workspace is None or not scramble:
            return None
        for key_name, key in workspace.keys.items():
            if key.state is not schema.KeyState.ACTIVE:
                continue
            if self.verify_scramble(key.digest, scramble, nonce):
                return Identity(
                    workspace=identifiers.WorkspaceName(name),
                    key_name=key_name,
                )
        return None


class KeyIdentityProvider(auth.IdentityProvider):
    """Authenticates every caller with `KeyAuthPlugin`.

    User names are not looked up first, so that an unknown name and a wrong
    key get the same answer.
    """

    def __init__(self, *, current_view: CurrentView) -> None:
        self._plugin = KeyAuthPlugin(current_view=current_view)

    def get_plugins(self) -> typing.Sequence[auth.AuthPlugin]:
        """Return the only authentication plugin."""
        return [self._plugin]

    async def get_user(self, username: str) -> auth.User:
        """Return a user for any name; the plugin verifies its key."""
        return auth.User(name=username, auth_plugin=self._plugin.name)


def make_digest(key: str) -> str:
    """Return the digest of a key, as the settings hold it."""
    return auth.NativePasswordAuthPlugin.create_auth_string(key)

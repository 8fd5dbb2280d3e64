"""Checks callers' keys against the digests in the settings.

The user name is the workspace and the password is the key. The challenge of
the MySQL protocol is verified against a digest, so that the key itself is
neither sent nor stored.
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
class Grant:
    """The workspace and key that a caller has shown.

    A caller without a key has the open workspace and no key.
    """

    workspace: identifiers.WorkspaceName
    key_name: str = ''

    @property
    def is_open(self) -> bool:
        """Tell whether the caller has shown no key."""
        return not self.key_name


def encode_grant(grant: Grant) -> str:
    """Write a grant as the user name of a session."""
    return f'{grant.workspace}{_SEPARATOR}{grant.key_name}'


def decode_grant(name: str) -> Grant:
    """Read a grant from the user name of a session."""
    workspace, _separator, key_name = name.partition(_SEPARATOR)
    return Grant(
        workspace=identifiers.WorkspaceName(workspace),
        key_name=key_name,
    )


def is_active(grant: Grant, fleet: schema.FleetSettings) -> bool:
    """Tell whether the key of a grant still works."""
    if grant.is_open:
        return grant.workspace == identifiers.ANONYMOUS_WORKSPACE
    workspace = fleet.workspaces.get(grant.workspace)
    if workspace is None:
        return False
    key = workspace.keys.get(grant.key_name)
    return key is not None and key.state is schema.KeyState.ACTIVE


class KeyPlugin(auth.NativePasswordAuthPlugin):
    """Verifies the challenge against every active key of a workspace.

    Several keys may be active at once, which is how they are rotated.
    """

    def __init__(self, *, current_view: CurrentView) -> None:
        self._view = current_view

    async def auth(
        self,
        auth_info: auth.AuthInfo | None = None,
    ) -> auth.AuthState:
        """Drive the challenge and answer."""
        if auth_info and auth_info.handshake_auth_data:
            nonce = auth_info.handshake_auth_data.rstrip(b'\x00')
        else:
            nonce = auth.utils.nonce(NONCE_BYTES)
            auth_info = yield b''.join((nonce, b'\x00'))
        grant = self._find(auth_info.username, auth_info.data, nonce)
        if grant is None:
            yield auth.Forbidden(
                f'access denied for workspace {auth_info.username!r}; '
                'check its name and key',
            )
        else:
            yield auth.Success(encode_grant(grant))

    def _find(self, name: str, scramble: bytes, nonce: bytes) -> Grant | None:
        current = self._view()
        if current is None:
            return None
        if name == identifiers.ANONYMOUS_WORKSPACE and not scramble:
            return Grant(workspace=identifiers.ANONYMOUS_WORKSPACE)
        workspace = current.tree.fleet.workspaces.get(name)
        if workspace is None or not scramble:
            return None
        for key_name, key in workspace.keys.items():
            if key.state is not schema.KeyState.ACTIVE:
                continue
            if self.verify_scramble(key.digest, scramble, nonce):
                return Grant(
                    workspace=identifiers.WorkspaceName(name),
                    key_name=key_name,
                )
        return None


class KeyDirectory(auth.IdentityProvider):
    """Sends every caller through `KeyPlugin`.

    Names are not looked up first, so that a wrong name and a wrong key are
    answered alike.
    """

    def __init__(self, *, current_view: CurrentView) -> None:
        self._plugin = KeyPlugin(current_view=current_view)

    def get_plugins(self) -> typing.Sequence[auth.AuthPlugin]:
        """Return the only plugin."""
        return [self._plugin]

    async def get_user(self, username: str) -> auth.User:
        """Accept any name; the plugin decides."""
        return auth.User(name=username, auth_plugin=self._plugin.name)


def make_digest(key: str) -> str:
    """Return the digest that settings hold in place of a key."""
    return auth.NativePasswordAuthPlugin.create_auth_string(key)

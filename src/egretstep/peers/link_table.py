"""Links of one program to many peers."""

import typing

from egretstep import clock
from egretstep.peers import links

IDLE_TIMEOUT_SECONDS = 60.0


class LinkTable:
    """Links by address, opened on use and closed when idle.

    Hosts are replaced often, so that links to addresses that are no longer
    used must be closed.
    """

    def __init__(
        self,
        *,
        interface: typing.Any,
        time_source: clock.Clock,
        heartbeat: links.Call | None = None,
        heartbeat_timeout: float = links.HEARTBEAT_TIMEOUT_SECONDS,
    ) -> None:
        self._interface = interface
        self._clock = time_source
        self._heartbeat_timeout = heartbeat_timeout
        self._heartbeat = heartbeat
        self._links: dict[tuple[str, int], links.Link] = {}
        self._last_used_at: dict[tuple[str, int], float] = {}
        self._last_idle_check_at = time_source.now()

    def __len__(self) -> int:
        """Return the number of links, connected or not."""
        return len(self._links)

    def get(self, address: str, port: int) -> links.Link:
        """Return the link to an address; now and then, close idle links."""
        key = (address, port)
        link = self._links.get(key)
        if link is None:
            link = links.Link(
                address=address,
                port=port,
                interface=self._interface,
                heartbeat=self._heartbeat,
                time_source=self._clock,
                heartbeat_timeout=self._heartbeat_timeout,
            )
            self._links[key] = link
        now = self._clock.now()
        self._last_used_at[key] = now
        if now - self._last_idle_check_at > IDLE_TIMEOUT_SECONDS:
            self._close_idle_links(now)
        return link

    def _close_idle_links(self, now: float) -> None:
        self._last_idle_check_at = now
        for key, used_at in tuple(self._last_used_at.items()):
            if (
                now - used_at > IDLE_TIMEOUT_SECONDS
                and self._links[key].is_idle
            ):
                self._last_used_at.pop(key)
                self._links.pop(key).close()

"""Copies of the tables of the platform's store that a host follows.

The copies are updated from the store or from the change feed of another host.
"""

import asyncio
import functools

from egretstep import clock
from egretstep.membership import (
    directory,
    fleet_links,
    lease_renewal,
    relays,
)
from egretstep.platform import operator_settings, registrations
from egretstep.settings import configuration_follower, node, startup_check
from egretstep.storage import change_feed, feed_follower, tables, watching
from egretstep.supervision import supervisor

# Changes of claims are also sent from host to host, so the fleet table
# may be read less often than the other tables.
MIN_FLEET_PAUSE_SECONDS = 0.5
FLEET_PAUSE_SECONDS_PER_ROW = 0.005
SERVERS_PAUSE_SECONDS = 0.1
SETTINGS_PAUSE_SECONDS = 0.15
# Share of the maximum settings delay for which a poll for settings waits, at the
# store or at another host. A host that gets no answer turns to the other source
# within two of these waits, which leaves time for its answer.
FEED_WAIT_SHARE = 0.25
# All hosts of a new fleet register within about this time. Until then, they
# do not follow the tables.
FEED_START_DELAY_SECONDS = 1.0


class StoreWatches:
    """Watches on the tables of hosts, servers and settings.

    `feed_server` serves changes to other hosts, and `configuration` follows
    the configuration in the settings table. `is_configured` is set once it has
    one that callers may be served with.
    """

    def __init__(
        self,
        *,
        settings: node.NodeSettings,
        store: tables.Tables,
        time_source: clock.Clock,
    ) -> None:
        self._store = store
        self._clock = time_source
        self._feed_wait_seconds = (
            settings.max_settings_delay_seconds * FEED_WAIT_SHARE
        )
        self._is_first_start = settings.is_first_start
        self.fleet = self._watch(
            directory.TABLE,
            watching.pause_by_rows(
                MIN_FLEET_PAUSE_SECONDS, FLEET_PAUSE_SECONDS_PER_ROW
            ),
        )
        self.servers = self._watch(
            registrations.TABLE,
            watching.pause_by_rows(SERVERS_PAUSE_SECONDS),
        )
        self.settings = self._watch(
            operator_settings.TABLE,
            watching.pause_by_rows(SETTINGS_PAUSE_SECONDS),
            longest_wait=self._feed_wait_seconds,
        )
        self._watches = (self.settings, self.servers, self.fleet)
        self.feed_server = change_feed.FeedServer(
            watches=self._watches,
            wait=self._feed_wait_seconds,
            time_source=time_source,
        )
        self.configuration = configuration_follower.ConfigurationFollower(
            watch=self.settings,
            table_format=operator_settings.FORMAT,
        )
        self.is_configured = asyncio.Event()

    def children(
        self,
        *,
        hosts: directory.Directory,
        peers: fleet_links.FleetLinks,
        renewal: lease_renewal.LeaseRenewal,
    ) -> list[supervisor.Child]:
        """Return the supervised tasks that keep the copies up to date."""
        follower = feed_follower.FeedFollower(
            watches=self._watches,
            source=relays.RelayChoice(
                hosts=hosts,
                poll_timeout=change_feed.poll_timeout(self._feed_wait_seconds),
                time_source=self._clock,
            ),
            poll_host=functools.partial(
                peers.changes, wait=self._feed_wait_seconds
            ),
            wait=self._feed_wait_seconds,
            store_answers=lambda: renewal.store_answers,
            start_delay=(
                FEED_START_DELAY_SECONDS if self._is_first_start else 0
            ),
            time_source=self._clock,
        )
        check = startup_check.StartupCheck(
            follower=self.configuration,
            choose_hosts=hosts.choose_others,
            ask=peers.later_configuration,
            is_done=self.is_configured,
        )
        watches = [
            supervisor.Child(name=f'{watch.table} watch', run=watch.run)
            for watch in self._watches
        ]
        return [
            *watches,
            supervisor.Child(name='change-feed', run=follower.run),
            supervisor.Child(name='startup-check', run=check.run),
        ]

    def _watch(
        self,
        table: str,
        pause: watching.Pause,
        *,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
    ) -> watching.TableWatch:
        return watching.TableWatch(
            store=self._store,
            table=table,
            time_source=self._clock,
            pause=pause,
            longest_wait=longest_wait,
            requires_store_read=table == directory.TABLE,
        )


def longest_source_change(max_settings_delay: float) -> float:
    """Return how long a host may wait until it asks a source that answers.

    A poll to a relay and then one to the store are not answered; the store is
    asked again over a new connection. All times are in seconds; this one must
    be below `max_settings_delay`, so that changes are in force in time.
    """
    relay_poll = change_feed.poll_timeout(max_settings_delay * FEED_WAIT_SHARE)
    store_poll = tables.POLL_ANSWER_SECONDS
    return relay_poll + 2 * store_poll + watching.FIRST_RETRY_SECONDS

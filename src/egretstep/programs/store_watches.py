"""What a host follows in the platform's store, and from whom it hears of it."""

import functools

from egretstep import clock
from egretstep.membership import directory, fleet_links, leases, relays
from egretstep.platform import operator_settings, registrations
from egretstep.settings import configuration_follower, node
from egretstep.storage import change_feed, tables, watching
from egretstep.supervision import supervisor

# News of claims travels between the hosts as well.
FLEET_PAUSE_SECONDS = 0.5
FLEET_ROW_PAUSE_SECONDS = 0.005
SERVERS_PAUSE_SECONDS = 0.1
SETTINGS_PAUSE_SECONDS = 0.15
# A host that hears from another one turns to the store within two of these
# waits, which leaves time for the store's answer.
NEWS_WAIT_SHARE = 0.25
# All hosts of a new fleet register within about this time.
FLEET_START_SECONDS = 1.0


class StoreWatches:
    """Copies of the tables of hosts, servers and settings, kept up to date.

    `feed_server` tells other hosts of changes, and `configuration` is what the
    operators want.
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
        self._wait = settings.max_settings_delay_seconds * NEWS_WAIT_SHARE
        self._is_first_start = settings.is_first_start
        self.fleet = self._watch(
            directory.TABLE,
            watching.pause_by_rows(
                FLEET_PAUSE_SECONDS, FLEET_ROW_PAUSE_SECONDS
            ),
        )
        self.servers = self._watch(
            registrations.TABLE,
            watching.pause_by_rows(SERVERS_PAUSE_SECONDS),
        )
        self.settings = self._watch(
            operator_settings.TABLE,
            watching.pause_by_rows(SETTINGS_PAUSE_SECONDS),
        )
        self._all = (self.settings, self.servers, self.fleet)
        self.feed_server = change_feed.FeedServer(
            watches=self._all,
            wait=self._wait,
            time_source=time_source,
        )
        self.configuration = configuration_follower.ConfigurationFollower(
            watch=self.settings,
            table_format=operator_settings.FORMAT,
        )

    def children(
        self,
        *,
        hosts: directory.Directory,
        peers: fleet_links.FleetLinks,
        keeper: leases.LeaseKeeper,
    ) -> list[supervisor.Child]:
        """Return what runs to keep the copies up to date."""
        follower = change_feed.FeedFollower(
            watches=self._all,
            source=relays.RelayChoice(hosts=hosts, time_source=self._clock),
            poll_host=functools.partial(peers.news, wait=self._wait),
            wait=self._wait,
            store_answers=lambda: keeper.store_answers,
            fleet_size=lambda: len(hosts.hosts),
            start_delay=(FLEET_START_SECONDS if self._is_first_start else 0),
            time_source=self._clock,
        )
        watches = [
            supervisor.Child(name=f'{watch.table} watch', run=watch.run)
            for watch in self._all
        ]
        return [*watches, supervisor.Child(name='news', run=follower.run)]

    def _watch(self, table: str, pause: watching.Pause) -> watching.TableWatch:
        return watching.TableWatch(
            store=self._store,
            table=table,
            time_source=self._clock,
            pause=pause,
            requires_store_read=table == directory.TABLE,
        )

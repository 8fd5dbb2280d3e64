"""The mutants that `make mutants` runs, each without one mechanism."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mutant:
    """A change that removes one mechanism, and the test that must then fail.

    In the file at `path`, `old` is replaced by `new`. The test is either the
    module `tests` or, in the feature `feature`, the scenarios whose names
    contain `scenario`.
    """

    name: str
    path: str
    old: str
    new: str
    feature: str = ''
    scenario: str = ''
    tests: str = ''


MUTANTS = (
    Mutant(
        name='reads of a session have no minimum log position',
        path='src/egretstep/replication/floors.py',
        old='        return max(known, carried)',
        new='        return identifiers.LOG_START',
        feature='read_your_writes',
        scenario='A session on two hosts while replicas lag',
    ),
    Mutant(
        name='replicas of any age serve reads with a maximum staleness',
        path='src/egretstep/routing/replicas.py',
        old='return candidate.age_bound <= needs.max_staleness',
        new='return True',
        feature='read_your_writes',
        scenario='A read of a stated age while replicas are cut off',
    ),
    Mutant(
        name='withdrawn keys stay active',
        path='src/egretstep/callers/keys.py',
        old='return key is not None and key.state is schema.KeyState.ACTIVE',
        new='return key is not None',
        feature='keys',
        scenario='A key is withdrawn',
    ),
    Mutant(
        name='settings are always fresh',
        path='src/egretstep/settings/freshness.py',
        old='return now - confirmed_at <= FRESHNESS_LIMIT_SECONDS',
        new='return True',
        feature='keys',
        scenario='A host that is cut off alone',
    ),
    Mutant(
        name='a new owner starts with a full bucket',
        path='src/egretstep/replication/owner.py',
        old='                self._buckets_empty_at = self._clock.now()',
        new='                self._buckets_empty_at = float("-inf")',
        feature='rate',
        scenario='The counting owner dies',
    ),
    Mutant(
        name='reserved tokens stay in the bucket',
        path='src/egretstep/limits/bucket.py',
        old='        self._tokens -= 1\n        return wait',
        new='        return wait',
        feature='rate',
        scenario='Ten times the rate',
    ),
    Mutant(
        name='transactions of a disconnected entry stay open',
        path='src/egretstep/pooling/pins.py',
        old='            if key[0] == link:',
        new='            if key[0] < 0:',
        feature='transactions',
        scenario='The entry dies',
    ),
    Mutant(
        name='a refusal does not report the open transaction',
        path='src/egretstep/pooling/host.py',
        old='pinned=serving is not None and serving.is_pinned(pin_key)',
        new='pinned=False',
        feature='transactions',
        scenario='A refused statement',
    ),
    Mutant(
        name='request keys are ignored',
        path='src/egretstep/pooling/execution.py',
        old='        if is_keyed_write:',
        new='        if is_keyed_write and not connection:',
        feature='outcomes',
        scenario='A request key',
    ),
    Mutant(
        name='a statement with unknown outcome is reported as not run',
        path='src/egretstep/pooling/outcomes.py',
        old='        outcome=identifiers.Outcome.UNKNOWN,',
        new='        outcome=identifiers.Outcome.NOT_RUN,',
        feature='outcomes',
        scenario='The answer to a commit',
    ),
    Mutant(
        name='zones that are taken out still get new work',
        path='src/egretstep/membership/ranking.py',
        old='    return known is None or known.state is schema.AvailabilityState.IN',
        new='    return True',
        feature='zones',
        scenario='A zone is taken out',
    ),
    Mutant(
        name='statements on a server that is down are not aborted',
        path='src/egretstep/pooling/running.py',
        old='            limit.reschedule(now)',
        new='            limit.when()',
        feature='old_primary',
        scenario='The primary goes silent',
    ),
    Mutant(
        name='a new holder does not wait until the former lease expires',
        path='src/egretstep/membership/leases.py',
        old='await asyncio.sleep(LEASE_SECONDS)',
        new='await asyncio.sleep(0)',
        tests='tests.membership.test_leases',
    ),
    Mutant(
        name='one reply counts as a majority',
        path='src/egretstep/membership/fleet_links.py',
        old='has_majority = len(replies) >= self.majority()',
        new='has_majority = bool(replies)',
        tests='tests.membership.test_fleet_links',
    ),
    Mutant(
        name='hosts that are stopped on purpose count towards majorities',
        path='src/egretstep/membership/directory.py',
        old='host.state is not HostState.GONE',
        new='host.state is not None',
        tests='tests.membership.test_fleet_links',
    ),
    Mutant(
        name='tasks without a usable holder do not count as load',
        path='src/egretstep/membership/task_ranking.py',
        old='load.update(host.host for host in ranking[task.name][:1])',
        new='load.update(())',
        tests='tests.membership.test_task_ranking',
    ),
    Mutant(
        name='a refusal after the start never reports an unknown outcome',
        path='src/egretstep/callers/session.py',
        old='        if self._may_have_run:\n',
        new='        if not self._may_have_run and self._may_have_run:\n',
        tests='tests.callers.test_session',
    ),
    Mutant(
        name='a pause of this process aborts running statements',
        path='src/egretstep/pooling/watchdog.py',
        old='if watch.was_paused():',
        new='if watch.was_paused() and not self._servers:',
        tests='tests.pooling.test_watchdog',
    ),
    Mutant(
        name='closed connections still count as open',
        path='src/egretstep/pooling/connections.py',
        old='        self._open -= 1\n        self._waiters.wake_next()',
        new='        self._waiters.wake_next()',
        tests='tests.pooling.test_connections',
    ),
    Mutant(
        name='samples of any age set the floor of a bounded-staleness read',
        path='src/egretstep/replication/evidence.py',
        old='if sample.sent_at >= oldest:',
        new='if sample.sent_at >= 0:',
        tests='tests.replication.test_evidence',
    ),
    Mutant(
        name='retries continue past the maximum wait',
        path='src/egretstep/routing/retry_policy.py',
        old='return waited + pause <= allowed',
        new='return waited + pause <= remaining + allowed',
        tests='tests.routing',
    ),
    Mutant(
        name='the write gate of a new owner is open before it has a primary',
        path='src/egretstep/replication/primary.py',
        old='            is_closed=True,\n',
        new='            is_closed=False,\n',
        tests='tests.replication.test_hand_over',
    ),
    Mutant(
        name='statements that wait at a former owner are not redirected',
        path='src/egretstep/replication/primary.py',
        old='            is_replaced=lambda: self.is_over,\n',
        new='',
        tests='tests.replication.test_hand_over',
    ),
    Mutant(
        name='idle connections may fill the whole connection limit',
        path='src/egretstep/pooling/connection_budget.py',
        old='IDLE_SHARE = 0.5',
        new='IDLE_SHARE = 1.0',
        tests='tests.pooling.test_broker',
    ),
    Mutant(
        name='an expired time limit is rescheduled',
        path='src/egretstep/pooling/running.py',
        old='if not limit.expired():',
        new='if limit is not None:',
        tests='tests.pooling.test_running',
    ),
    Mutant(
        name='poll pauses do not grow during a series of changes',
        path='src/egretstep/storage/poll_backoff.py',
        old='min(MAX_PAUSE_FACTOR, 2 * self._factor)',
        new='1',
        tests='tests.storage.test_poll_backoff',
    ),
    Mutant(
        name='feed answers of any age are accepted',
        path='src/egretstep/storage/feed_follower.py',
        old='update.age < self._max_age',
        new='update.age < change_feed.UNKNOWN_AGE_SECONDS * 2',
        tests='tests.storage.test_change_feed',
    ),
    Mutant(
        name='older rows replace newer ones',
        path='src/egretstep/storage/watching.py',
        old='return known is None or known.version < row.version',
        new='return True',
        tests='tests.storage.test_watching',
    ),
    Mutant(
        name='the first read of a table may come from another host',
        path='src/egretstep/storage/watching.py',
        old='return self.is_synced or not self._requires_store_read',
        new='return True',
        tests='tests.storage.test_change_feed',
    ),
    Mutant(
        name='tasks are claimed before the row of the host is stored',
        path='src/egretstep/membership/claiming.py',
        old='if self._is_leaving or not self._hosts.is_registered:',
        new='if self._is_leaving:',
        tests='tests.membership.test_registration',
    ),
    Mutant(
        name='the task of a process that has ended is left to it',
        path='src/egretstep/membership/claiming.py',
        old='if self._hosts.hosts[claim.host].boot <= claim.boot:',
        new='if True:',
        tests='tests.membership.test_claiming',
    ),
    Mutant(
        name='a host that has started again gets no time to claim its task',
        path='src/egretstep/membership/claiming.py',
        old='RESTARTED_HOLDER_DELAY_SECONDS = 2.0',
        new='RESTARTED_HOLDER_DELAY_SECONDS = 0.0',
        tests='tests.membership.test_claiming',
    ),
    Mutant(
        name='a relay is left while it reads its tables after a restore',
        path='src/egretstep/storage/change_feed.py',
        old='era=latest_era(self._watches),',
        new='era=self._watches[0].version.era,',
        tests='tests.storage.test_change_feed',
    ),
    Mutant(
        name='a server may drain without a time limit',
        path='src/egretstep/replication/failover.py',
        old='return self._clock.now() - since > self._drain_seconds',
        new='return False',
        tests='tests.replication.test_planned_change',
    ),
    Mutant(
        name='waiting statements are not refused early',
        path='src/egretstep/pooling/fair_queue.py',
        old='if self._is_first_come or not is_due:',
        new='if is_due or not is_due:',
        tests='tests.pooling.test_overload',
    ),
    Mutant(
        name='candidacies are recomputed at every call',
        path='src/egretstep/membership/candidacies.py',
        old='if inputs != self._inputs:',
        new='if inputs is not None:',
        tests='tests.membership.test_candidacies',
    ),
    Mutant(
        name='sessions start before routes and keys are read',
        path='src/egretstep/platform/ingress.py',
        old='await self._services.is_configured.wait()',
        new='await asyncio.sleep(0)',
        tests='tests.platform.test_ingress',
    ),
    Mutant(
        name='a poll for settings waits as long as the others',
        path='src/egretstep/programs/store_watches.py',
        old='longest_wait=self._feed_wait_seconds,',
        new='longest_wait=tables.LONGEST_WAIT_SECONDS,',
        tests='tests.storage.test_silent_store',
    ),
    Mutant(
        name='a host without the store replies too late to be of use',
        path='src/egretstep/storage/change_feed.py',
        old='if not self._watches[0].is_failing:',
        new='if self._wait:',
        tests='tests.storage.test_change_feed',
    ),
    Mutant(
        name='polls go on when the store answers again',
        path='src/egretstep/platform/store.py',
        old='if not self._is_answering:',
        new='if self._is_answering is None:',
        tests='tests.platform.test_store',
    ),
    Mutant(
        name='a process that starts serves before other hosts have answered',
        path='src/egretstep/settings/startup_check.py',
        old='timeout=ANSWER_SECONDS)',
        new='timeout=0)',
        tests='tests.settings.test_startup_check',
    ),
    Mutant(
        name='the suspicion of a host expires before it is probed',
        path='src/egretstep/membership/fleet_links.py',
        old='seconds=pause + MAX_PROBE_SECONDS)',
        new='seconds=0)',
        tests='tests.membership.test_fleet_links',
    ),
    Mutant(
        name='a link with only long polls sends no heartbeats',
        path='src/egretstep/peers/links.py',
        old='if self._heartbeat is None or self._heartbeat_task:',
        new='if self._heartbeat_task or self._has_only_long_polls():',
        tests='tests.peers.test_links',
    ),
    Mutant(
        name='a silent relay is asked again before the store',
        path='src/egretstep/membership/relays.py',
        old='AVOIDANCE_POLLS = RELAYS_PER_ZONE + 1',
        new='AVOIDANCE_POLLS = 0.9',
        tests='tests.storage.test_silent_links',
    ),
    Mutant(
        name='a change that another call shows does not end a poll',
        path='src/egretstep/platform/store.py',
        old='self._polls.record_version(answer.version)',
        new='answer = answer',
        tests='tests.platform.test_store',
    ),
)

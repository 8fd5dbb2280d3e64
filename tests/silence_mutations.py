"""Mutants without a mechanism against a silent store, host or link."""

from tests import mutant_types

MUTANTS = (
    mutant_types.Mutant(
        name='a poll for settings waits as long as the others',
        path='src/egretstep/programs/store_watches.py',
        old='longest_wait=self._feed_wait_seconds,',
        new='longest_wait=tables.LONGEST_WAIT_SECONDS,',
        tests='tests.storage.test_silent_store',
    ),
    mutant_types.Mutant(
        name='a host without the store replies too late to be of use',
        path='src/egretstep/storage/change_feed.py',
        old='if not self._watches[0].is_failing:',
        new='if self._wait:',
        tests='tests.storage.test_change_feed',
    ),
    mutant_types.Mutant(
        name='polls go on when the store answers again',
        path='src/egretstep/platform/store.py',
        old='if not self._is_answering:',
        new='if self._is_answering is None:',
        tests='tests.platform.test_store',
    ),
    mutant_types.Mutant(
        name='a process that starts serves before other hosts have answered',
        path='src/egretstep/settings/startup_check.py',
        old='timeout=ANSWER_SECONDS)',
        new='timeout=0)',
        tests='tests.settings.test_startup_check',
    ),
    mutant_types.Mutant(
        name='the suspicion of a host expires before it is probed',
        path='src/egretstep/membership/fleet_links.py',
        old='seconds=pause + MAX_PROBE_SECONDS)',
        new='seconds=0)',
        tests='tests.membership.test_fleet_links',
    ),
    mutant_types.Mutant(
        name='a long poll that times out does not check its link',
        path='src/egretstep/peers/links.py',
        old='elif self._heartbeat is not None and is_long_poll:',
        new='elif self._heartbeat is not None and not is_long_poll:',
        tests='tests.peers.test_links',
    ),
    mutant_types.Mutant(
        name='a silent relay is asked again before the store',
        path='src/egretstep/membership/relays.py',
        old='AVOIDANCE_POLLS = RELAYS_PER_ZONE + 1',
        new='AVOIDANCE_POLLS = 0.9',
        tests='tests.storage.test_silent_links',
    ),
    mutant_types.Mutant(
        name='a change that another call shows does not end a poll',
        path='src/egretstep/platform/store.py',
        old='self._polls.record_version(answer.version)',
        new='answer = answer',
        tests='tests.platform.test_store',
    ),
)

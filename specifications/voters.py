"""Model of the voter set, whose majorities confirm leases without the store.

Host a holds a task, and host b takes it over. Hosts may be lost and others
may join, so that the set changes. Each set has an epoch and is written to the
store; a change goes through a joint set, which needs a majority of both the
former and the next hosts. A host that adopts a set reads all claims with it.
It is checked that no quorum confirms the former claim once a quorum was
notified of the new one. `leases` models the waiting for leases confirmed
before. A host that is cut off takes no steps for a while.

A host may also force a set, when the others do not answer. Such a set counts
only after a wait. Until then the others have either adopted it, or have had no
news of the store for so long that they need the confirmation of all voters.
"""

import dataclasses
import functools
import itertools
import typing

from specifications import checking

HOLDER, TAKER = 'a', 'b'
HOSTS = 'abcd'
FIRST_SET = frozenset('abc')
# Losses and joins, such that other sets have majorities without each other.
NEXT_SETS = (frozenset('a'), frozenset('bc'), frozenset('ad'))
# With forced sets, the taker does not vote at first, and one voter may be the
# only one that sees the store. A set that it forces may have no vote of its own.
FIRST_SET_WITH_FORCED = frozenset('acd')
NEXT_SETS_WITH_FORCED = (frozenset('ad'),)
FORCED_SETS = (frozenset('a'), frozenset('b'))
FORCING_HOSTS = 'abc'
LAST_EPOCH = 4
LAST_FORCED_EPOCH = 3
NOT_SYNCED = -1
NEVER = -1

Group = frozenset[str]
Groups = tuple[Group, ...]


class State(typing.NamedTuple):
    """State of the store and of the hosts.

    `sets` are the voter sets written so far; an epoch is an index into it.
    `adopted` and `knows` hold, for each host, the epoch that it has adopted
    and whether it knows the taker's claim. `taker_epoch` is the epoch of the
    set that the taker notifies, and `notified` are the hosts that answered.
    `forced_epoch` is that of a set that `forced_by` has forced, and
    `has_waited` is set once it counts. `refreshed` are the hosts that have read
    the claims again after that.
    """

    sets: tuple[Groups, ...] = ((FIRST_SET,),)
    adopted: tuple[int, ...] = (0, 0, 0, NOT_SYNCED)
    is_claimed: bool = False
    knows: tuple[bool, ...] = (False, False, False, False)
    taker_epoch: int = NOT_SYNCED
    notified: Group = frozenset()
    is_taken: bool = False
    forced_epoch: int = NEVER
    has_waited: bool = False
    forced_by: str = ''
    refreshed: Group = frozenset()


class Variant(typing.NamedTuple):
    """Mechanisms of the voter set; a broken variant sets one to False."""

    has_joint_sets: bool = True
    waits_until_former_is_blocked: bool = True
    refuses_older_sets: bool = True
    reads_claims_with_set: bool = True
    counts_silent_hosts: bool = True
    may_force: bool = False
    waits_before_forced_counts: bool = True
    others_need_all_voters: bool = True
    forcing_host_votes_no_more: bool = True
    only_voters_force: bool = True
    reads_claims_after_wait: bool = True


Transitions = list[tuple[str, State]]


def _is_majority(hosts: Group, group: Group) -> bool:
    return len(hosts & group) * 2 > len(group)


def _is_quorum(hosts: Group, groups: Groups) -> bool:
    return all(_is_majority(hosts, group) for group in groups)


def _is_blocked(groups: Groups, knowing: Group) -> bool:
    """Return whether each quorum has a host that knows a later set."""
    return any(len(knowing & group) * 2 >= len(group) for group in groups)


def _transitions(state: State, variant: Variant) -> Transitions:
    if state.knows[HOSTS.index(HOLDER)]:
        # The holder has stopped.
        return []
    return [
        *_change_set(state, variant),
        *_force(state, variant),
        *_refresh(state, variant),
        *_adopt(state, variant),
        *_take_over(state, variant),
    ]


def _change_set(state: State, variant: Variant) -> Transitions:
    latest = len(state.sets) - 1
    last = LAST_FORCED_EPOCH if variant.may_force else LAST_EPOCH
    if latest == last or not _may_change(state, variant):
        return []
    current = state.sets[-1]
    next_sets = NEXT_SETS_WITH_FORCED if variant.may_force else NEXT_SETS
    if len(current) > 1:
        following = [(group,) for group in current]
    elif variant.has_joint_sets:
        following = [
            (*current, each) for each in next_sets if each not in current
        ]
    else:
        following = [(each,) for each in next_sets if each not in current]
    return [
        (
            f'set {len(state.sets)} is {_show(groups)}',
            state._replace(sets=(*state.sets, groups)),
        )
        for groups in following
    ]


def _may_change(state: State, variant: Variant) -> bool:
    latest = len(state.sets) - 1
    if latest == 0 or not variant.waits_until_former_is_blocked:
        return True
    if state.forced_epoch == latest:
        return state.has_waited
    return _is_blocked(state.sets[-2], _hosts_with(state, latest))


def _force(state: State, variant: Variant) -> Transitions:
    if not variant.may_force:
        return []
    if state.forced_epoch != NEVER:
        waited = state._replace(has_waited=True)
        return [] if state.has_waited else [('the wait is over', waited)]
    latest = len(state.sets) - 1
    if latest == LAST_FORCED_EPOCH:
        return []
    present = [*state.sets[-1], *(state.sets[-2] if latest else ())]
    return [
        (
            f'{host} forces the set {_show((forced_set,))}',
            state._replace(
                sets=(*state.sets, (forced_set,)),
                forced_epoch=latest + 1,
                forced_by=host,
            ),
        )
        for host, forced_set in itertools.product(FORCING_HOSTS, FORCED_SETS)
        if state.adopted[HOSTS.index(host)] == latest
        and (
            not variant.only_voters_force
            or all(host in group for group in present)
        )
    ]


def _refresh(state: State, variant: Variant) -> Transitions:
    if not state.has_waited:
        return []
    transitions: Transitions = []
    for index, host in enumerate(HOSTS):
        if state.adopted[index] != state.forced_epoch:
            continue
        if host in state.refreshed:
            continue
        knows = state.knows
        if state.is_claimed and variant.reads_claims_after_wait:
            knows = checking.replace_item(knows, index, True)
        transitions.append((
            f'{host} has news after the wait',
            state._replace(knows=knows, refreshed=state.refreshed | {host}),
        ))
    return transitions


def _is_pledged(state: State, host: str, epoch: int, variant: Variant) -> bool:
    """Return whether a host votes in no epoch as early as this one."""
    if not variant.forcing_host_votes_no_more:
        return False
    return host == state.forced_by and epoch < state.forced_epoch


def _counts(
    state: State, host: str, hosts: Group, epoch: int, variant: Variant
) -> bool:
    """Return whether hosts are a quorum for a host with a set."""
    groups = state.sets[epoch]
    if _is_pledged(state, host, epoch, variant):
        return False
    if epoch == state.forced_epoch:
        is_usable = host in state.refreshed or (
            not variant.waits_before_forced_counts
        )
        return is_usable and _is_quorum(hosts, groups)
    has_no_news = state.has_waited and epoch < state.forced_epoch
    if has_no_news and variant.others_need_all_voters:
        return all(group <= hosts for group in groups)
    return _is_quorum(hosts, groups)


def _hosts_with(state: State, epoch: int) -> Group:
    """Return the hosts that have adopted at least an epoch."""
    known = zip(HOSTS, state.adopted, strict=True)
    return frozenset(host for host, adopted in known if adopted >= epoch)


def _adopt(state: State, variant: Variant) -> Transitions:
    latest = len(state.sets) - 1
    transitions: Transitions = []
    for index, host in enumerate(HOSTS):
        if state.adopted[index] == latest:
            continue
        adopted = checking.replace_item(state.adopted, index, latest)
        knows = state.knows
        is_first = state.adopted[index] == NOT_SYNCED
        if state.is_claimed and (variant.reads_claims_with_set or is_first):
            knows = checking.replace_item(knows, index, True)
        transitions.append((
            f'{host} adopts set {latest}',
            state._replace(adopted=adopted, knows=knows),
        ))
    return transitions


def _take_over(state: State, variant: Variant) -> Transitions:
    taker = HOSTS.index(TAKER)
    if state.is_taken or state.adopted[taker] == NOT_SYNCED:
        return []
    if not state.is_claimed:
        claimed = state._replace(
            is_claimed=True,
            knows=checking.replace_item(state.knows, taker, True),
            taker_epoch=state.adopted[taker],
            notified=frozenset(TAKER),
        )
        return [('b writes its claim', claimed)]
    return [*_notify(state, variant), *_finish(state, variant)]


def _notify(state: State, variant: Variant) -> Transitions:
    transitions: Transitions = []
    voters = frozenset().union(*state.sets[state.taker_epoch])
    for host in sorted(voters - state.notified):
        index = HOSTS.index(host)
        is_later = state.adopted[index] > state.taker_epoch
        is_refused = is_later and variant.refuses_older_sets
        is_pledged = _is_pledged(state, host, state.taker_epoch, variant)
        if state.adopted[index] == NOT_SYNCED or is_refused or is_pledged:
            continue
        transitions.append((
            f'b notifies {host}',
            state._replace(
                knows=checking.replace_item(state.knows, index, True),
                notified=state.notified | {host},
            ),
        ))
    return transitions


def _finish(state: State, variant: Variant) -> Transitions:
    groups = state.sets[state.taker_epoch]
    if variant.counts_silent_hosts:
        is_taken = _counts(
            state, TAKER, state.notified, state.taker_epoch, variant
        )
    else:
        # The hosts that gave no answer are dropped from the count.
        groups = tuple(group & state.notified for group in groups)
        is_taken = _is_quorum(state.notified, groups)
    if not is_taken:
        return []
    return [('b has taken over', state._replace(is_taken=True))]


def _show(groups: Groups) -> str:
    return ' and '.join(''.join(sorted(group)) for group in groups)


def _may_renew(state: State, variant: Variant) -> bool:
    """Return whether hosts may still confirm the former claim."""
    holder = HOSTS.index(HOLDER)
    epoch = state.adopted[holder]
    if state.knows[holder]:
        return False
    willing = frozenset(
        host
        for host, adopted, knows in zip(
            HOSTS, state.adopted, state.knows, strict=True
        )
        if not knows
        and adopted != NOT_SYNCED
        and (adopted <= epoch or not variant.refuses_older_sets)
        and not _is_pledged(state, host, epoch, variant)
    )
    return _counts(state, HOLDER, willing, epoch, variant)


def _is_exclusive(variant: Variant, fields: dict[str, typing.Any]) -> bool:
    state = State(**fields)
    return not (state.is_taken and _may_renew(state, variant))


_BROKEN = {
    'hosts count as soon as they are seen': Variant(has_joint_sets=False),
    'hosts are dropped after a silence': Variant(counts_silent_hosts=False),
    'a set follows before the last one is known': Variant(
        waits_until_former_is_blocked=False
    ),
    'callers with an older set are not refused': Variant(
        refuses_older_sets=False
    ),
    'a set is adopted without the claims': Variant(reads_claims_with_set=False),
}


_BROKEN_FORCED = {
    'a forced set counts at once': Variant(
        may_force=True, waits_before_forced_counts=False
    ),
    'a majority goes on without news of the store': Variant(
        may_force=True, others_need_all_voters=False
    ),
    'the host that forces a set still votes': Variant(
        may_force=True, forcing_host_votes_no_more=False
    ),
    'a host that does not vote forces a set': Variant(
        may_force=True, only_voters_force=False
    ),
    'claims are not read again after the wait': Variant(
        may_force=True, reads_claims_after_wait=False
    ),
}


_FORCED_INITIAL = State(
    sets=((FIRST_SET_WITH_FORCED,),), adopted=(0, NOT_SYNCED, 0, 0)
)


def _specification(
    name: str, variant: Variant, *, is_broken: bool = False
) -> checking.Specification:
    # The invariant depends on the variant, so each has a model of its own.
    models = checking.with_broken_variants(
        name=name,
        initial=_FORCED_INITIAL if variant.may_force else State(),
        transitions=_transitions,
        variant=variant,
        broken={},
        invariants={
            'one host is confirmed': functools.partial(_is_exclusive, variant),
        },
    )
    return dataclasses.replace(models[0], is_broken=is_broken)


def specifications() -> list[checking.Specification]:
    """Return the model of the voter set and its broken variants."""
    return [
        _specification('voters', Variant()),
        *(
            _specification(f'voters, {label}', variant, is_broken=True)
            for label, variant in _BROKEN.items()
        ),
        _specification('forced voters', Variant(may_force=True)),
        *(
            _specification(f'forced voters, {label}', variant, is_broken=True)
            for label, variant in _BROKEN_FORCED.items()
        ),
    ]

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

from specifications import checking, voter_state


def _transitions(
    state: voter_state.State, variant: voter_state.Variant
) -> voter_state.Transitions:
    if state.knows[voter_state.HOSTS.index(voter_state.HOLDER)]:
        # The holder has stopped.
        return []
    return [
        *_change_set(state, variant),
        *_force(state, variant),
        *_refresh(state, variant),
        *_adopt(state, variant),
        *_take_over(state, variant),
    ]


def _change_set(
    state: voter_state.State, variant: voter_state.Variant
) -> voter_state.Transitions:
    latest = len(state.sets) - 1
    last = (
        voter_state.LAST_FORCED_EPOCH
        if variant.may_force
        else voter_state.LAST_EPOCH
    )
    if latest == last or not _may_change(state, variant):
        return []
    current = state.sets[-1]
    next_sets = (
        voter_state.NEXT_SETS_WITH_FORCED
        if variant.may_force
        else voter_state.NEXT_SETS
    )
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


def _may_change(state: voter_state.State, variant: voter_state.Variant) -> bool:
    latest = len(state.sets) - 1
    if latest == 0 or not variant.waits_until_former_is_blocked:
        return True
    if state.forced_epoch == latest:
        return state.has_waited
    return voter_state.is_blocked(
        state.sets[-2], voter_state.hosts_with(state, latest)
    )


def _force(
    state: voter_state.State, variant: voter_state.Variant
) -> voter_state.Transitions:
    if not variant.may_force:
        return []
    if state.forced_epoch != voter_state.NEVER:
        waited = state._replace(has_waited=True)
        return [] if state.has_waited else [('the wait is over', waited)]
    latest = len(state.sets) - 1
    if latest == voter_state.LAST_FORCED_EPOCH:
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
        for host, forced_set in itertools.product(
            voter_state.FORCING_HOSTS, voter_state.FORCED_SETS
        )
        if state.adopted[voter_state.HOSTS.index(host)] == latest
        and (
            not variant.only_voters_force
            or all(host in group for group in present)
        )
    ]


def _refresh(
    state: voter_state.State, variant: voter_state.Variant
) -> voter_state.Transitions:
    if not state.has_waited:
        return []
    transitions: voter_state.Transitions = []
    for index, host in enumerate(voter_state.HOSTS):
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


def _adopt(
    state: voter_state.State, variant: voter_state.Variant
) -> voter_state.Transitions:
    latest = len(state.sets) - 1
    transitions: voter_state.Transitions = []
    for index, host in enumerate(voter_state.HOSTS):
        if state.adopted[index] == latest:
            continue
        adopted = checking.replace_item(state.adopted, index, latest)
        knows = state.knows
        is_first = state.adopted[index] == voter_state.NOT_SYNCED
        if state.is_claimed and (variant.reads_claims_with_set or is_first):
            knows = checking.replace_item(knows, index, True)
        transitions.append((
            f'{host} adopts set {latest}',
            state._replace(adopted=adopted, knows=knows),
        ))
    return transitions


def _take_over(
    state: voter_state.State, variant: voter_state.Variant
) -> voter_state.Transitions:
    taker = voter_state.HOSTS.index(voter_state.TAKER)
    if state.is_taken or state.adopted[taker] == voter_state.NOT_SYNCED:
        return []
    if not state.is_claimed:
        claimed = state._replace(
            is_claimed=True,
            knows=checking.replace_item(state.knows, taker, True),
            taker_epoch=state.adopted[taker],
            notified=frozenset(voter_state.TAKER),
        )
        return [('b writes its claim', claimed)]
    return [*_notify(state, variant), *_finish(state, variant)]


def _notify(
    state: voter_state.State, variant: voter_state.Variant
) -> voter_state.Transitions:
    transitions: voter_state.Transitions = []
    voters = frozenset().union(*state.sets[state.taker_epoch])
    for host in sorted(voters - state.notified):
        index = voter_state.HOSTS.index(host)
        is_later = state.adopted[index] > state.taker_epoch
        is_refused = is_later and variant.refuses_older_sets
        has_promised = voter_state.has_promised(
            state, host, state.taker_epoch, variant
        )
        if (
            state.adopted[index] == voter_state.NOT_SYNCED
            or is_refused
            or has_promised
        ):
            continue
        transitions.append((
            f'b notifies {host}',
            state._replace(
                knows=checking.replace_item(state.knows, index, True),
                notified=state.notified | {host},
            ),
        ))
    return transitions


def _finish(
    state: voter_state.State, variant: voter_state.Variant
) -> voter_state.Transitions:
    groups = state.sets[state.taker_epoch]
    if variant.counts_silent_hosts:
        is_taken = voter_state.counts(
            state, voter_state.TAKER, state.notified, state.taker_epoch, variant
        )
    else:
        # The hosts that gave no answer are dropped from the count.
        groups = tuple(group & state.notified for group in groups)
        is_taken = voter_state.is_quorum(state.notified, groups)
    if not is_taken:
        return []
    return [('b has taken over', state._replace(is_taken=True))]


def _show(groups: voter_state.Groups) -> str:
    return ' and '.join(''.join(sorted(group)) for group in groups)


def _may_renew(state: voter_state.State, variant: voter_state.Variant) -> bool:
    """Return whether hosts may still confirm the former claim."""
    holder = voter_state.HOSTS.index(voter_state.HOLDER)
    epoch = state.adopted[holder]
    if state.knows[holder]:
        return False
    willing = frozenset(
        host
        for host, adopted, knows in zip(
            voter_state.HOSTS, state.adopted, state.knows, strict=True
        )
        if not knows
        and adopted != voter_state.NOT_SYNCED
        and (adopted <= epoch or not variant.refuses_older_sets)
        and not voter_state.has_promised(state, host, epoch, variant)
    )
    return voter_state.counts(
        state, voter_state.HOLDER, willing, epoch, variant
    )


def _is_exclusive(
    variant: voter_state.Variant, fields: dict[str, typing.Any]
) -> bool:
    state = voter_state.State(**fields)
    return not (state.is_taken and _may_renew(state, variant))


_BROKEN = {
    'hosts count as soon as they are seen': voter_state.Variant(
        has_joint_sets=False
    ),
    'hosts are dropped after a silence': voter_state.Variant(
        counts_silent_hosts=False
    ),
    'a set follows before the last one is known': voter_state.Variant(
        waits_until_former_is_blocked=False
    ),
    'callers with an older set are not refused': voter_state.Variant(
        refuses_older_sets=False
    ),
    'a set is adopted without the claims': voter_state.Variant(
        reads_claims_with_set=False
    ),
}


_BROKEN_FORCED = {
    'a forced set counts at once': voter_state.Variant(
        may_force=True, waits_before_forced_counts=False
    ),
    'a majority goes on without news of the store': voter_state.Variant(
        may_force=True, others_need_all_voters=False
    ),
    'the host that forces a set still votes': voter_state.Variant(
        may_force=True, forcing_host_votes_no_more=False
    ),
    'a host that does not vote forces a set': voter_state.Variant(
        may_force=True, only_voters_force=False
    ),
    'claims are not read again after the wait': voter_state.Variant(
        may_force=True, reads_claims_after_wait=False
    ),
}


_FORCED_INITIAL = voter_state.State(
    sets=((voter_state.FIRST_SET_WITH_FORCED,),),
    adopted=(0, voter_state.NOT_SYNCED, 0, 0),
)


def _specification(
    name: str, variant: voter_state.Variant, *, is_broken: bool = False
) -> checking.Specification:
    # The invariant depends on the variant, so each has a model of its own.
    models = checking.with_broken_variants(
        name=name,
        initial=_FORCED_INITIAL if variant.may_force else voter_state.State(),
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
        _specification('voters', voter_state.Variant()),
        *(
            _specification(f'voters, {label}', variant, is_broken=True)
            for label, variant in _BROKEN.items()
        ),
        _specification('forced voters', voter_state.Variant(may_force=True)),
        *(
            _specification(f'forced voters, {label}', variant, is_broken=True)
            for label, variant in _BROKEN_FORCED.items()
        ),
    ]

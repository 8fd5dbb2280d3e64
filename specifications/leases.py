"""Model of the leases on tasks, confirmed by the store or by the hosts.

Host x, the holder, has a task in epoch 1. Host y, the taker, takes it over
in epoch 2. Host z only confirms; it may restart and then has forgotten what
it knew. Answers may be delayed, so one can be given at one tick and used at
a later one. A tick is as long as a lease. Only the leases prevent x and y
from serving at the same time.
"""

import typing

from specifications import checking

LAST_TICK = 4
LEASE_TICKS = 1
FIRST_EPOCH = 1
SECOND_EPOCH = 2
UNSYNCED = 0
NEVER = -1
_HOLDER, _TAKER, _CONFIRMER = range(3)


class State(typing.NamedTuple):
    """State of the store and of the three hosts.

    `stored` is the epoch in the store, `known` the latest epoch that x, y
    and z know. x holds its lease before tick `x_until`. `hosts_asked_at` and
    `store_asked_at` are the ticks of x's last requests, and `z_confirmed`
    and `store_confirmed` whether these were answered with a confirmation.
    `z_notified` is set once y has told z of its epoch, at `notified_at`.
    """

    now: int = 0
    stored: int = FIRST_EPOCH
    known: tuple[int, int, int] = (FIRST_EPOCH, FIRST_EPOCH, FIRST_EPOCH)
    x_until: int = LEASE_TICKS
    hosts_asked_at: int = NEVER
    z_confirmed: bool = False
    store_asked_at: int = NEVER
    store_confirmed: bool = False
    z_notified: bool = False
    notified_at: int = NEVER
    y_serves: bool = False


class Variant(typing.NamedTuple):
    """Mechanisms of the leases; a broken variant sets one to False."""

    waits_for_expiry: bool = True
    notifies_majority: bool = True
    counts_from_request: bool = True
    syncs_after_restart: bool = True


Transitions = list[tuple[str, State]]


def _transitions(state: State, variant: Variant) -> Transitions:
    return [
        *checking.tick(state, LAST_TICK),
        *_holder(state, variant),
        *_answers(state),
        *_taker(state, variant),
        *_restart(state, variant),
    ]


def _holder(state: State, variant: Variant) -> Transitions:
    if state.known[_HOLDER] != FIRST_EPOCH:
        return []
    transitions = [
        (
            'x asks the hosts',
            state._replace(hosts_asked_at=state.now, z_confirmed=False),
        ),
        (
            'x asks the store',
            state._replace(store_asked_at=state.now, store_confirmed=False),
        ),
    ]
    for is_answered, sent_at in (
        (state.z_confirmed, state.hosts_asked_at),
        (state.store_confirmed, state.store_asked_at),
    ):
        if is_answered:
            start = sent_at if variant.counts_from_request else state.now
            expires_at = max(state.x_until, start + LEASE_TICKS)
            transitions.append((
                'x extends its lease',
                state._replace(x_until=expires_at),
            ))
    return transitions


def _answers(state: State) -> Transitions:
    transitions: Transitions = []
    if state.hosts_asked_at != NEVER and state.known[_CONFIRMER] == FIRST_EPOCH:
        transitions.append(('z confirms', state._replace(z_confirmed=True)))
    if state.store_asked_at != NEVER and state.stored == FIRST_EPOCH:
        transitions.append((
            'the store confirms',
            state._replace(store_confirmed=True),
        ))
    return transitions


def _taker(state: State, variant: Variant) -> Transitions:
    if state.stored == FIRST_EPOCH:
        known = checking.replace_item(state.known, _TAKER, SECOND_EPOCH)
        claimed = state._replace(stored=SECOND_EPOCH, known=known)
        return [('y writes the store', claimed)]
    transitions: Transitions = []
    if not state.z_notified:
        known = checking.replace_item(state.known, _CONFIRMER, SECOND_EPOCH)
        notified = state._replace(
            known=known, z_notified=True, notified_at=state.now
        )
        transitions.append(('y tells z', notified))
    if state.known[_HOLDER] == FIRST_EPOCH:
        known = checking.replace_item(state.known, _HOLDER, SECOND_EPOCH)
        transitions.append(('x hears', state._replace(known=known, x_until=0)))
    if _may_serve(state, variant):
        transitions.append(('y serves', state._replace(y_serves=True)))
    return transitions


def _may_serve(state: State, variant: Variant) -> bool:
    if variant.notifies_majority and not state.z_notified:
        return False
    if not variant.waits_for_expiry:
        return True
    return state.now >= max(state.notified_at, 0) + LEASE_TICKS


def _restart(state: State, variant: Variant) -> Transitions:
    if state.known[_CONFIRMER] == UNSYNCED:
        known = checking.replace_item(state.known, _CONFIRMER, state.stored)
        return [('z reads the store', state._replace(known=known))]
    restarted_epoch = UNSYNCED if variant.syncs_after_restart else FIRST_EPOCH
    known = checking.replace_item(state.known, _CONFIRMER, restarted_epoch)
    return [('z restarts', state._replace(known=known))]


def _is_exclusive(state: dict[str, typing.Any]) -> bool:
    x_serves = state['now'] < state['x_until']
    return not (x_serves and state['y_serves'])


def specifications() -> list[checking.Specification]:
    """Return the lease model and its broken variants."""
    return checking.with_broken_variants(
        name='leases',
        initial=State(),
        transitions=_transitions,
        variant=Variant(),
        broken={
            'the taker does not wait': Variant(waits_for_expiry=False),
            'the taker tells nobody': Variant(notifies_majority=False),
            'leases count from the answer': Variant(
                counts_from_request=False,
            ),
            'hosts confirm before they have read the store': Variant(
                syncs_after_restart=False,
            ),
        },
        invariants={'one host serves': _is_exclusive},
    )

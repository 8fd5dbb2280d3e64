"""Model of leases on tasks that the store and the hosts confirm.

Host x, the holder, has a task in epoch 1; host y, the taker, takes it over
in epoch 2; host z, the other one, only confirms, and may restart, which makes it forget. Questions may be answered
late, so that an answer is given at one moment and used at another. A tick
is as long as a lease. Nothing else than the rule keeps x and y apart.
"""

import typing

from specifications import checking

LAST_TICK = 4
LEASE_TICKS = 1
FIRST_EPOCH = 1
SECOND_EPOCH = 2
UNSYNCED = 0
NEVER = -1
_HOLDER, _TAKER, _OTHER = range(3)


class State(typing.NamedTuple):
    """What the store and each host know, and what x and y have asked.

    `known` is the latest epoch that x, y and z have heard of. `asked_hosts`
    and `asked_store` are the times of x's questions that are open, and
    `z_said`, `store_said` whether they were answered in its favour.
    """

    now: int = 0
    stored: int = FIRST_EPOCH
    known: tuple[int, int, int] = (FIRST_EPOCH, FIRST_EPOCH, FIRST_EPOCH)
    x_until: int = LEASE_TICKS
    asked_hosts: int = NEVER
    z_said: bool = False
    asked_store: int = NEVER
    store_said: bool = False
    told_z: bool = False
    told_at: int = NEVER
    y_serves: bool = False


class Variant(typing.NamedTuple):
    """Mechanisms that a broken variant leaves out."""

    waits: bool = True
    tells_majority: bool = True
    counts_from_question: bool = True
    syncs_after_restart: bool = True


Moves = list[tuple[str, State]]


def _moves(state: State, variant: Variant) -> Moves:
    return [
        *checking.tick(state, LAST_TICK),
        *_holder(state, variant),
        *_answers(state),
        *_taker(state, variant),
        *_restart(state, variant),
    ]


def _holder(state: State, variant: Variant) -> Moves:
    if state.known[_HOLDER] != FIRST_EPOCH:
        return []
    moves = [
        (
            'x asks the hosts',
            state._replace(asked_hosts=state.now, z_said=False),
        ),
        (
            'x asks the store',
            state._replace(asked_store=state.now, store_said=False),
        ),
    ]
    for is_answered, asked_at in (
        (state.z_said, state.asked_hosts),
        (state.store_said, state.asked_store),
    ):
        if is_answered:
            start = asked_at if variant.counts_from_question else state.now
            until = max(state.x_until, start + LEASE_TICKS)
            moves.append(('x extends its lease', state._replace(x_until=until)))
    return moves


def _answers(state: State) -> Moves:
    moves: Moves = []
    if state.asked_hosts != NEVER and state.known[_OTHER] == FIRST_EPOCH:
        moves.append(('z confirms', state._replace(z_said=True)))
    if state.asked_store != NEVER and state.stored == FIRST_EPOCH:
        moves.append(('the store confirms', state._replace(store_said=True)))
    return moves


def _taker(state: State, variant: Variant) -> Moves:
    if state.stored == FIRST_EPOCH:
        known = checking.put(state.known, _TAKER, SECOND_EPOCH)
        taken = state._replace(stored=SECOND_EPOCH, known=known)
        return [('y writes the store', taken)]
    moves: Moves = []
    if not state.told_z:
        known = checking.put(state.known, _OTHER, SECOND_EPOCH)
        told = state._replace(known=known, told_z=True, told_at=state.now)
        moves.append(('y tells z', told))
    if state.known[_HOLDER] == FIRST_EPOCH:
        known = checking.put(state.known, _HOLDER, SECOND_EPOCH)
        moves.append(('x hears', state._replace(known=known, x_until=0)))
    if _may_serve(state, variant):
        moves.append(('y serves', state._replace(y_serves=True)))
    return moves


def _may_serve(state: State, variant: Variant) -> bool:
    if variant.tells_majority and not state.told_z:
        return False
    if not variant.waits:
        return True
    return state.now >= max(state.told_at, 0) + LEASE_TICKS


def _restart(state: State, variant: Variant) -> Moves:
    if state.known[_OTHER] == UNSYNCED:
        known = checking.put(state.known, _OTHER, state.stored)
        return [('z reads the store', state._replace(known=known))]
    after = UNSYNCED if variant.syncs_after_restart else FIRST_EPOCH
    known = checking.put(state.known, _OTHER, after)
    return [('z restarts', state._replace(known=known))]


def _one_serves(state: dict[str, typing.Any]) -> bool:
    x_serves = state['now'] < state['x_until']
    return not (x_serves and state['y_serves'])


def specifications() -> list[checking.Specification]:
    """Return the model and its broken variants."""
    return checking.with_broken_variants(
        name='leases',
        initial=State(),
        moves=_moves,
        variant=Variant(),
        broken={
            'the taker does not wait': Variant(waits=False),
            'the taker tells nobody': Variant(tells_majority=False),
            'leases count from the answer': Variant(
                counts_from_question=False,
            ),
            'hosts confirm before they have read the store': Variant(
                syncs_after_restart=False,
            ),
        },
        invariants={'one host serves': _one_serves},
    )

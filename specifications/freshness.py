"""Model of the settings' freshness rule.

An operator changes the settings of version 1 to 2 and 3; the second change
also replaces all witnesses. The store can be down, each witness can be cut
off, and a host that is no witness may ask any of them at any time, getting
answers late. A tick is longer than the freshness limit.
"""

import typing

from egretstep import clock, identifiers
from egretstep.settings import freshness, records
from specifications import checking

LAST_TICK = 2
LAST_VERSION = 3
TICK_SECONDS = freshness.FRESHNESS_LIMIT_SECONDS + 1
OLD_WITNESSES = ('a', 'b', 'c')
NEW_WITNESSES = ('d', 'e', 'f')
EVERYONE = OLD_WITNESSES + NEW_WITNESSES


class State(typing.NamedTuple):
    """One state: what the store, the witnesses and the host hold."""

    now: int = 0
    stored: int = 1
    held: tuple[int, ...] = (1, 1, 1, 0, 0, 0)
    accepted: int = 1
    accepted_at: int = 0
    host: int = 1
    asked_at: int = -1
    answers: tuple[int, ...] = (0,) * len(EVERYONE)
    confirmed_at: int = 0


class Variant(typing.NamedTuple):
    """Mechanisms that a broken variant leaves out."""

    asks_majority: bool = True
    counts_from_question: bool = True
    finishes_predecessor: bool = True
    accepts_by_old_witnesses: bool = True


Moves = list[tuple[str, State]]


def _witnesses(version: int) -> tuple[str, ...]:
    return NEW_WITNESSES if version >= 2 else OLD_WITNESSES


def _record(version: int) -> records.Record:
    return records.Record(
        version=version,
        change_id=str(version),
        witnesses=_witnesses(version),
        previous_witnesses=_witnesses(version - 1),
        text='zones: {z: {}}\n'
        'databases: {d: {servers: {s: '
        '{zone: z, address: 127.0.0.1, port: 1}}}}\n',
    )


RECORDS = {version: _record(version) for version in range(1, LAST_VERSION + 1)}
ENCODED = {version: records.encode(each) for version, each in RECORDS.items()}


def _moves(state: State, variant: Variant) -> Moves:
    return [
        *checking.tick(state, LAST_TICK),
        *_operator(state, variant),
        *_host(state, variant),
    ]


def _operator(state: State, variant: Variant) -> Moves:
    moves: Moves = []
    may_change = state.accepted == state.stored
    if not variant.finishes_predecessor:
        may_change = True
    if state.stored < LAST_VERSION and may_change:
        moves.append(('change', state._replace(stored=state.stored + 1)))
    for index, witness in enumerate(EVERYONE):
        if state.held[index] < state.stored and witness in _reached(state):
            held = checking.put(state.held, index, state.stored)
            moves.append((f'push to {witness}', state._replace(held=held)))
    if state.accepted < state.stored and _is_accepted(state, variant):
        moves.append((
            'accept',
            state._replace(accepted=state.stored, accepted_at=state.now),
        ))
    return moves


def _reached(state: State) -> set[str]:
    record = RECORDS[state.stored]
    return {*record.witnesses, *record.previous_witnesses}


def _is_accepted(state: State, variant: Variant) -> bool:
    record = RECORDS[state.stored]
    groups = [record.witnesses]
    if variant.accepts_by_old_witnesses:
        groups.append(record.previous_witnesses)
    return all(
        sum(
            state.held[EVERYONE.index(witness)] >= state.stored
            for witness in group
        )
        >= records.majority(group)
        for group in groups
    )


def _host(state: State, variant: Variant) -> Moves:
    moves: Moves = []
    if state.asked_at < 0:
        moves.append((
            'host asks',
            state._replace(
                asked_at=state.now,
                answers=(0,) * len(EVERYONE),
            ),
        ))
        return moves
    for index, witness in enumerate(EVERYONE):
        is_asked = witness in RECORDS[state.host].witnesses
        if is_asked and not state.answers[index] and state.held[index]:
            answers = checking.put(state.answers, index, state.held[index])
            moves.append((
                f'{witness} answers',
                state._replace(answers=answers),
            ))
    moves.append(('host concludes', _conclude(state, variant)))
    return moves


def _conclude(state: State, variant: Variant) -> State:
    source = clock.ManualClock(start=state.now * TICK_SECONDS)
    keeper = freshness.SettingsKeeper(time_source=source)
    keeper.adopt(ENCODED[state.host])
    versions = [
        identifiers.SettingsVersion(version)
        for version in state.answers
        if version
    ]
    if not variant.asks_majority and versions:
        versions = versions * len(OLD_WITNESSES)
    asked_at = state.asked_at if variant.counts_from_question else state.now
    agrees = keeper.confirm_by_witnesses(
        versions=versions,
        asked_at=asked_at * TICK_SECONDS,
    )
    confirmed_at = state.confirmed_at
    if agrees:
        confirmed_at = max(confirmed_at, asked_at)
    return state._replace(
        asked_at=-1,
        answers=(0,) * len(EVERYONE),
        host=max([state.host, *state.answers]),
        confirmed_at=confirmed_at,
    )


def _honours_old(each: dict[str, typing.Any]) -> bool:
    state = State(**each)
    fresh = freshness.is_fresh(
        confirmed_at=state.confirmed_at * TICK_SECONDS,
        now=state.now * TICK_SECONDS,
    )
    return (
        fresh and state.host < state.accepted and state.accepted_at < state.now
    )


def specifications() -> list[checking.Specification]:
    """Return the model and its broken variants."""
    broken = {
        'one witness is enough': Variant(asks_majority=False),
        'counted from the answer': Variant(counts_from_question=False),
        'predecessor not finished': Variant(finishes_predecessor=False),
        'old witnesses not asked': Variant(accepts_by_old_witnesses=False),
    }
    return checking.with_broken_variants(
        name='freshness',
        initial=State(),
        moves=_moves,
        variant=Variant(),
        broken=broken,
        invariants={
            'no old settings honoured': lambda each: not _honours_old(each),
        },
    )

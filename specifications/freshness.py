"""Model of the rule by which a host considers its settings fresh.

An operator changes the settings from version 1 to 2 and then to 3; the first
change also replaces all witnesses. The host can't read the store. It asks
the witnesses at any time; any of them may be unreachable, and answers may
arrive late. A tick is longer than the freshness limit.
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
ALL_WITNESSES = OLD_WITNESSES + NEW_WITNESSES


class State(typing.NamedTuple):
    """State of the store, the witnesses and the host.

    `stored` is the version in the store, `held` the version of each witness
    in the order of `ALL_WITNESSES`, zero for none. `accepted` is the latest
    version that was accepted, at tick `accepted_at`. `host` is the host's
    version, last confirmed at tick `confirmed_at`. `sent_at` is the tick of
    its request in progress, -1 if there is none, and `answers` holds the
    version that each witness has answered, zero before.
    """

    now: int = 0
    stored: int = 1
    held: tuple[int, ...] = (1, 1, 1, 0, 0, 0)
    accepted: int = 1
    accepted_at: int = 0
    host: int = 1
    sent_at: int = -1
    answers: tuple[int, ...] = (0,) * len(ALL_WITNESSES)
    confirmed_at: int = 0


class Variant(typing.NamedTuple):
    """Mechanisms of the rule; a broken variant sets one to False."""

    requires_majority: bool = True
    counts_from_request: bool = True
    completes_previous_change: bool = True
    requires_old_witnesses: bool = True


Transitions = list[tuple[str, State]]


def _witnesses(version: int) -> tuple[str, ...]:
    return NEW_WITNESSES if version >= 2 else OLD_WITNESSES


def _make_record(version: int) -> records.Record:
    return records.Record(
        version=version,
        change_id=str(version),
        witnesses=_witnesses(version),
        previous_witnesses=_witnesses(version - 1),
        text='zones: {z: {}}\n'
        'databases: {d: {servers: {s: '
        '{zone: z, address: 127.0.0.1, port: 1}}}}\n',
    )


RECORDS = {
    version: _make_record(version) for version in range(1, LAST_VERSION + 1)
}
ENCODED_RECORDS = {
    version: records.encode(each) for version, each in RECORDS.items()
}


def _transitions(state: State, variant: Variant) -> Transitions:
    return [
        *checking.tick(state, LAST_TICK),
        *_operator(state, variant),
        *_host(state, variant),
    ]


def _operator(state: State, variant: Variant) -> Transitions:
    transitions: Transitions = []
    may_change = state.accepted == state.stored
    if not variant.completes_previous_change:
        may_change = True
    if state.stored < LAST_VERSION and may_change:
        transitions.append(('change', state._replace(stored=state.stored + 1)))
    for index, witness in enumerate(ALL_WITNESSES):
        if state.held[index] < state.stored and witness in _push_targets(state):
            held = checking.replace_item(state.held, index, state.stored)
            transitions.append((
                f'push to {witness}',
                state._replace(held=held),
            ))
    if state.accepted < state.stored and _is_accepted(state, variant):
        transitions.append((
            'accept',
            state._replace(accepted=state.stored, accepted_at=state.now),
        ))
    return transitions


def _push_targets(state: State) -> set[str]:
    record = RECORDS[state.stored]
    return {*record.witnesses, *record.previous_witnesses}


def _is_accepted(state: State, variant: Variant) -> bool:
    record = RECORDS[state.stored]
    groups = [record.witnesses]
    if variant.requires_old_witnesses:
        groups.append(record.previous_witnesses)
    return all(
        sum(
            state.held[ALL_WITNESSES.index(witness)] >= state.stored
            for witness in group
        )
        >= records.majority(group)
        for group in groups
    )


def _host(state: State, variant: Variant) -> Transitions:
    transitions: Transitions = []
    if state.sent_at < 0:
        transitions.append((
            'host asks',
            state._replace(
                sent_at=state.now,
                answers=(0,) * len(ALL_WITNESSES),
            ),
        ))
        return transitions
    for index, witness in enumerate(ALL_WITNESSES):
        is_asked = witness in RECORDS[state.host].witnesses
        if is_asked and not state.answers[index] and state.held[index]:
            answers = checking.replace_item(
                state.answers, index, state.held[index]
            )
            transitions.append((
                f'{witness} answers',
                state._replace(answers=answers),
            ))
    transitions.append(('host concludes', _conclude(state, variant)))
    return transitions


def _conclude(state: State, variant: Variant) -> State:
    source = clock.ManualClock(start=state.now * TICK_SECONDS)
    keeper = freshness.SettingsKeeper(time_source=source)
    keeper.adopt(ENCODED_RECORDS[state.host])
    versions = [
        identifiers.SettingsVersion(version)
        for version in state.answers
        if version
    ]
    if not variant.requires_majority and versions:
        versions = versions * len(OLD_WITNESSES)
    sent_at = state.sent_at if variant.counts_from_request else state.now
    is_confirmed = keeper.confirm_by_witnesses(
        versions=versions,
        sent_at=sent_at * TICK_SECONDS,
    )
    confirmed_at = state.confirmed_at
    if is_confirmed:
        confirmed_at = max(confirmed_at, sent_at)
    return state._replace(
        sent_at=-1,
        answers=(0,) * len(ALL_WITNESSES),
        host=max([state.host, *state.answers]),
        confirmed_at=confirmed_at,
    )


def _uses_outdated(each: dict[str, typing.Any]) -> bool:
    state = State(**each)
    is_fresh = freshness.is_fresh(
        confirmed_at=state.confirmed_at * TICK_SECONDS,
        now=state.now * TICK_SECONDS,
    )
    return (
        is_fresh
        and state.host < state.accepted
        and state.accepted_at < state.now
    )


def specifications() -> list[checking.Specification]:
    """Return the freshness model and its broken variants."""
    broken = {
        'one witness is enough': Variant(requires_majority=False),
        'counted from the answer': Variant(counts_from_request=False),
        'predecessor not finished': Variant(completes_previous_change=False),
        'old witnesses not asked': Variant(requires_old_witnesses=False),
    }
    return checking.with_broken_variants(
        name='freshness',
        initial=State(),
        transitions=_transitions,
        variant=Variant(),
        broken=broken,
        invariants={
            'no old settings honoured': lambda each: not _uses_outdated(each),
        },
    )

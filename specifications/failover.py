"""Model of a takeover: terms, fences, leases, choice of the furthest.

Owner A holds term 1 with server 0 as its primary; owner B takes over with
term 2 at any time. Either may be paused anywhere, messages reach any subset
of the servers in any order, and answers can arrive late. Time is counted in
ticks, of which a lease lasts one.
"""

import typing

from egretstep import clock, identifiers
from egretstep.replication import election, lease
from egretstep.storage import interfaces
from specifications import checking

SERVERS = 3
LAST_TICK = 3
MOST_WRITES = 2
OLD, NEW = 1, 2
NAMES = tuple(identifiers.ServerName(f's{index}') for index in range(SERVERS))


class State(typing.NamedTuple):
    """One state of the whole group.

    `logs` holds the terms of the entries of each server, `confirmed` the
    tick of A's last confirmation by each, `answered` how many of A's writes
    the primary has committed, and `acknowledged` how many A acknowledged.
    """

    now: int = 0
    promised: tuple[int, ...] = (OLD,) * SERVERS
    logs: tuple[tuple[int, ...], ...] = ((),) * SERVERS
    confirmed: tuple[int, ...] = (0,) * SERVERS
    answered: int = 0
    acknowledged: int = 0
    fenced_at: int = -1
    primary: int = -1
    serving: bool = False
    late: bool = False
    lost: bool = False


class Variant(typing.NamedTuple):
    """Mechanisms that a broken variant leaves out."""

    checks_lease: bool = True
    waits_old_lease: bool = True
    fences_majority: bool = True
    chooses_furthest: bool = True
    commits_by_quorum: bool = True


Moves = list[tuple[str, State]]


def _moves(state: State, variant: Variant) -> Moves:
    return [
        *checking.tick(state, LAST_TICK),
        *_old_owner(state, variant),
        *_replicate(state),
        *_new_owner(state, variant),
    ]


def _old_owner(state: State, variant: Variant) -> Moves:
    moves: Moves = []
    for server in range(SERVERS):
        if (
            state.promised[server] == OLD
            and state.confirmed[server] < state.now
        ):
            confirmed = checking.put(state.confirmed, server, state.now)
            moves.append((
                f'A renews at s{server}',
                state._replace(confirmed=confirmed),
            ))
    if state.promised[0] == OLD and len(state.logs[0]) < MOST_WRITES:
        logs = checking.put(state.logs, 0, (*state.logs[0], OLD))
        moves.append(('A writes', state._replace(logs=logs)))
    committed = _committed(state, variant)
    if state.answered < committed:
        moves.append(('s0 answers', state._replace(answered=committed)))
    if state.acknowledged < state.answered and _may_answer(state, variant):
        moves.append((
            'A acknowledges',
            state._replace(
                acknowledged=state.answered,
                late=state.late or state.serving,
            ),
        ))
    return moves


def _committed(state: State, variant: Variant) -> int:
    if state.promised[0] == NEW:
        return state.answered
    lengths = sorted(_common(log, state.logs[0]) for log in state.logs)
    if variant.commits_by_quorum:
        return lengths[SERVERS // 2]
    return len(state.logs[0])


def _common(log: tuple[int, ...], primary_log: tuple[int, ...]) -> int:
    return 0 if NEW in log else min(len(log), len(primary_log))


def _may_answer(state: State, variant: Variant) -> bool:
    if not variant.checks_lease:
        return True
    source = clock.ManualClock(start=state.now * lease.LEASE_SECONDS)
    held = lease.MajorityLease(servers=NAMES, time_source=source)
    for name, tick in zip(NAMES, state.confirmed, strict=True):
        held.confirm(server=name, asked_at=tick * lease.LEASE_SECONDS)
    return held.is_held()


def _replicate(state: State) -> Moves:
    moves: Moves = []
    for server in range(1, SERVERS):
        is_behind = len(state.logs[server]) < len(state.logs[0])
        if state.promised[server] == state.promised[0] == OLD and is_behind:
            logs = checking.put(
                state.logs,
                server,
                state.logs[0][: len(state.logs[server]) + 1],
            )
            moves.append((f's{server} pulls', state._replace(logs=logs)))
    return moves


def _new_owner(state: State, variant: Variant) -> Moves:
    moves: Moves = []
    if state.primary < 0:
        for server in range(SERVERS):
            if state.promised[server] == OLD:
                promised = checking.put(state.promised, server, NEW)
                moves.append((
                    f'B fences s{server}',
                    state._replace(promised=promised),
                ))
        chosen = _choose(state, variant)
        if chosen >= 0:
            moves.append((f'B promotes s{chosen}', _promote(state, chosen)))
    elif not state.serving and _may_serve(state, variant):
        moves.append(('B serves', state._replace(serving=True)))
    return moves


def _choose(state: State, variant: Variant) -> int:
    fenced = [
        interfaces.ServerStatus(
            accepted=True,
            server=NAMES[server],
            primary=False,
            promised_term=identifiers.Term(NEW),
            promised_owner='B',
            received=_end(state.logs[server]),
            applied=_end(state.logs[server]),
        )
        for server in range(SERVERS)
        if state.promised[server] == NEW
    ]
    if not variant.chooses_furthest and len(fenced) > SERVERS // 2:
        return NAMES.index(min(fenced, key=lambda each: each.received).server)
    chosen = election.choose_primary(
        fenced=fenced,
        group_size=SERVERS if variant.fences_majority else 1,
    )
    return NAMES.index(chosen.server) if chosen else -1


def _end(log: tuple[int, ...]) -> identifiers.LogPosition:
    return identifiers.LogPosition(term=log[-1] if log else 0, offset=len(log))


def _promote(state: State, chosen: int) -> State:
    log = state.logs[chosen]
    return state._replace(
        primary=chosen,
        fenced_at=state.now,
        lost=state.lost or len(log) < state.acknowledged,
        logs=checking.put(state.logs, chosen, (*log, NEW)),
    )


def _may_serve(state: State, variant: Variant) -> bool:
    return not variant.waits_old_lease or state.now >= state.fenced_at + 1


def _is_lost(state: State) -> bool:
    if state.lost:
        return True
    if state.primary < 0:
        return False
    kept = state.logs[state.primary]
    return kept.count(OLD) < state.acknowledged


def specifications() -> list[checking.Specification]:
    """Return the model and its broken variants."""
    broken = {
        'lease not checked after the answer': Variant(checks_lease=False),
        'old lease not waited out': Variant(waits_old_lease=False),
        'one server fenced': Variant(fences_majority=False),
        'nearest server chosen': Variant(chooses_furthest=False),
        'commit without quorum': Variant(commits_by_quorum=False),
    }
    return checking.with_broken_variants(
        name='failover',
        initial=State(),
        moves=_moves,
        variant=Variant(),
        broken=broken,
        invariants={
            'no late acknowledgement': lambda each: not each['late'],
            'no lost write': lambda each: not _is_lost(State(**each)),
        },
    )

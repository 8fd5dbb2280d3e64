"""Model of a failover: terms, fencing, leases and the choice of a primary.

Owner A holds term 1 with server 0 as its primary; owner B takes over with
term 2 at any time. Either may be paused at any point, messages reach any
subset of the servers in any order, and answers can arrive late. A tick is as
long as a lease.
"""

import typing

from egretstep import clock, identifiers
from egretstep.replication import election, lease
from egretstep.storage import interfaces
from specifications import checking

SERVERS = 3
LAST_TICK = 3
MAX_WRITES = 2
OLD_TERM, NEW_TERM = 1, 2
SERVER_NAMES = tuple(
    identifiers.ServerName(f's{index}') for index in range(SERVERS)
)


class State(typing.NamedTuple):
    """State of the servers and of both owners.

    By server, `promised` holds the promised term, `logs` the terms of the
    log entries, and `confirmed` the tick at which A last had its term
    confirmed. `reported` counts A's writes that the old primary has reported
    as committed, `acknowledged` those that A has acknowledged to its callers.

    `fenced_at` is the tick at which B had fenced enough servers and promoted
    `primary`; both are -1 before. `serving` is set once B serves. `late`
    records that A acknowledged a write while B was serving, `lost` that the
    promoted server lacked an acknowledged write.
    """

    now: int = 0
    promised: tuple[int, ...] = (OLD_TERM,) * SERVERS
    logs: tuple[tuple[int, ...], ...] = ((),) * SERVERS
    confirmed: tuple[int, ...] = (0,) * SERVERS
    reported: int = 0
    acknowledged: int = 0
    fenced_at: int = -1
    primary: int = -1
    serving: bool = False
    late: bool = False
    lost: bool = False


class Variant(typing.NamedTuple):
    """Mechanisms of failover; a broken variant sets one to False.

    With `has_one_owner`, A and B are the same host. It knows when it serves
    the next term, and so doesn't wait for the lease of the former one.
    """

    checks_lease: bool = True
    waits_for_old_lease: bool = True
    fences_majority: bool = True
    promotes_longest_log: bool = True
    commits_by_quorum: bool = True
    has_one_owner: bool = False
    releases_former_lease: bool = True


Transitions = list[tuple[str, State]]


def _transitions(state: State, variant: Variant) -> Transitions:
    return [
        *checking.tick(state, LAST_TICK),
        *_old_owner(state, variant),
        *_replicate(state),
        *_new_owner(state, variant),
    ]


def _old_owner(state: State, variant: Variant) -> Transitions:
    transitions: Transitions = []
    for server in range(SERVERS):
        if (
            state.promised[server] == OLD_TERM
            and state.confirmed[server] < state.now
        ):
            confirmed = checking.replace_item(
                state.confirmed, server, state.now
            )
            transitions.append((
                f'A renews at s{server}',
                state._replace(confirmed=confirmed),
            ))
    if state.promised[0] == OLD_TERM and len(state.logs[0]) < MAX_WRITES:
        logs = checking.replace_item(state.logs, 0, (*state.logs[0], OLD_TERM))
        transitions.append(('A writes', state._replace(logs=logs)))
    committed = _count_committed(state, variant)
    if state.reported < committed:
        transitions.append(('s0 answers', state._replace(reported=committed)))
    if state.acknowledged < state.reported and _may_acknowledge(state, variant):
        transitions.append((
            'A acknowledges',
            state._replace(
                acknowledged=state.reported,
                late=state.late or state.serving,
            ),
        ))
    return transitions


def _count_committed(state: State, variant: Variant) -> int:
    if state.promised[0] == NEW_TERM:
        return state.reported
    lengths = sorted(_common_length(log, state.logs[0]) for log in state.logs)
    if variant.commits_by_quorum:
        return lengths[SERVERS // 2]
    return len(state.logs[0])


def _common_length(log: tuple[int, ...], primary_log: tuple[int, ...]) -> int:
    return 0 if NEW_TERM in log else min(len(log), len(primary_log))


def _may_acknowledge(state: State, variant: Variant) -> bool:
    if not variant.checks_lease:
        return True
    is_released = variant.has_one_owner and variant.releases_former_lease
    if is_released and state.serving:
        return False
    source = clock.ManualClock(start=state.now * lease.LEASE_SECONDS)
    majority_lease = lease.MajorityLease(
        servers=SERVER_NAMES, time_source=source
    )
    for name, tick in zip(SERVER_NAMES, state.confirmed, strict=True):
        majority_lease.confirm(server=name, sent_at=tick * lease.LEASE_SECONDS)
    return majority_lease.is_held()


def _replicate(state: State) -> Transitions:
    transitions: Transitions = []
    for server in range(1, SERVERS):
        is_behind = len(state.logs[server]) < len(state.logs[0])
        if (
            state.promised[server] == state.promised[0] == OLD_TERM
            and is_behind
        ):
            logs = checking.replace_item(
                state.logs,
                server,
                state.logs[0][: len(state.logs[server]) + 1],
            )
            transitions.append((f's{server} pulls', state._replace(logs=logs)))
    return transitions


def _new_owner(state: State, variant: Variant) -> Transitions:
    transitions: Transitions = []
    if state.primary < 0:
        for server in range(SERVERS):
            if state.promised[server] == OLD_TERM:
                promised = checking.replace_item(
                    state.promised, server, NEW_TERM
                )
                transitions.append((
                    f'B fences s{server}',
                    state._replace(promised=promised),
                ))
        chosen = _choose_primary(state, variant)
        if chosen >= 0:
            transitions.append((
                f'B promotes s{chosen}',
                _promote(state, chosen),
            ))
    elif not state.serving and _may_serve(state, variant):
        transitions.append(('B serves', state._replace(serving=True)))
    return transitions


def _choose_primary(state: State, variant: Variant) -> int:
    fenced = [
        interfaces.ServerStatus(
            accepted=True,
            server=SERVER_NAMES[server],
            primary=False,
            promised_term=identifiers.Term(NEW_TERM),
            promised_owner='B',
            received=_end_position(state.logs[server]),
            applied=_end_position(state.logs[server]),
        )
        for server in range(SERVERS)
        if state.promised[server] == NEW_TERM
    ]
    if not variant.promotes_longest_log and len(fenced) > SERVERS // 2:
        return SERVER_NAMES.index(
            min(fenced, key=lambda each: each.received).server
        )
    chosen = election.choose_primary(
        fenced=fenced,
        group_size=SERVERS if variant.fences_majority else 1,
    )
    return SERVER_NAMES.index(chosen.server) if chosen else -1


def _end_position(log: tuple[int, ...]) -> identifiers.LogPosition:
    return identifiers.LogPosition(term=log[-1] if log else 0, offset=len(log))


def _promote(state: State, chosen: int) -> State:
    log = state.logs[chosen]
    return state._replace(
        primary=chosen,
        fenced_at=state.now,
        lost=state.lost or len(log) < state.acknowledged,
        logs=checking.replace_item(state.logs, chosen, (*log, NEW_TERM)),
    )


def _may_serve(state: State, variant: Variant) -> bool:
    if variant.has_one_owner or not variant.waits_for_old_lease:
        return True
    return state.now >= state.fenced_at + 1


def _has_lost_write(state: State) -> bool:
    if state.lost:
        return True
    if state.primary < 0:
        return False
    primary_log = state.logs[state.primary]
    return primary_log.count(OLD_TERM) < state.acknowledged


def specifications() -> list[checking.Specification]:
    """Return the failover model and its broken variants."""
    broken = {
        'lease not checked after the answer': Variant(checks_lease=False),
        'old lease not waited out': Variant(waits_for_old_lease=False),
        'one server fenced': Variant(fences_majority=False),
        'nearest server chosen': Variant(promotes_longest_log=False),
        'commit without quorum': Variant(commits_by_quorum=False),
    }
    return [
        *_variants('failover', Variant(), broken),
        *_variants(
            'failover by one owner',
            Variant(has_one_owner=True),
            {
                'former lease not released': Variant(
                    has_one_owner=True, releases_former_lease=False
                ),
            },
        ),
    ]


def _variants(
    name: str, complete: Variant, broken: dict[str, Variant]
) -> list[checking.Specification]:
    return checking.with_broken_variants(
        name=name,
        initial=State(),
        transitions=_transitions,
        variant=complete,
        broken=broken,
        invariants={
            'no late acknowledgement': lambda each: not each['late'],
            'no lost write': lambda each: not _has_lost_write(State(**each)),
        },
    )

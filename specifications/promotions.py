"""Model of a change of primary that the platform carries out on order.

Server 0 is the primary and servers 1 and 2 replicate it; server 2 is about to
leave. The service has one synchronous replica. The owner replaces the primary,
and another owner may take over at any time. An ordered promotion takes effect
at any later time, whether or not its owner learns of it; the former primary
goes on committing what is on its way to it. The entry of server 1 may lapse
while it goes on to receive; it may then answer the owner or not. Owners exclude
each other, which `leases` shows. That an order is dead once it was waited out
is assumed.
"""

import itertools
import typing

from egretstep import identifiers
from egretstep.backends import connection
from egretstep.replication import candidates, primary_record
from egretstep.settings import deployment, node
from specifications import checking

MAX_WRITES = 2
FORMER = 0
REPLICAS = (1, 2)
LEAVING = 2
LAPSING = 1
OLD_TERM = identifiers.Term(1)
NEW_TERM = identifiers.Term(2)
NEVER = -1
_SERVERS = tuple(
    connection.BackendServer(
        server=connection.ServerId(f's{index}'),
        service=deployment.ServiceName('service'),
        address=node.Address(host='127.0.0.1', port=1),
        zone=identifiers.ZoneName('zone'),
        slots=1,
        role=connection.Role.REPLICA,
        is_draining=index == LEAVING,
    )
    for index in (FORMER, *REPLICAS)
)
_NONE_PENDING = primary_record.PrimaryRecord(
    server=_SERVERS[FORMER].server, term=OLD_TERM
)


class State(typing.NamedTuple):
    """State of the servers, the orders, the owner and its claim.

    `logs` are the lengths of the logs, `on_the_way` the number of writes that
    were sent to the primary and are not committed yet. `ordered` tells for
    each server whether an order to promote it may take effect. `leader` leads
    the latest term; `before` is the number of commits of the former primary
    at that moment. `serving` is the server to which the owner sends writes,
    or `NEVER`. `reported` is the end of the log that the owner has seen with
    an acknowledged write; the next owner has seen none. `has_lapsed` is set
    once server 1 has no entry.
    """

    logs: tuple[int, int, int] = (0, 0, 0)
    on_the_way: int = 0
    acknowledged: int = 0
    reported: int = 0
    ordered: tuple[bool, bool, bool] = (False, False, False)
    leader: int = FORMER
    before: int = NEVER
    serving: int = FORMER
    pending: int = FORMER
    is_next_owner: bool = False
    has_lapsed: bool = False
    late: bool = False
    lost: bool = False


class Variant(typing.NamedTuple):
    """Mechanisms of the change; a broken variant sets one to False."""

    ends_leadership_first: bool = True
    withholds_late_answers: bool = True
    records_order: bool = True
    waits_for_ordered: bool = True
    requires_proof: bool = True
    remembers_lapsed: bool = True


Transitions = list[tuple[str, State]]


def _transitions(state: State, variant: Variant) -> Transitions:
    return [
        *_primary(state, variant),
        *_owner(state, variant),
        *_orders(state, variant),
        *_platform(state),
    ]


def _primary(state: State, variant: Variant) -> Transitions:
    transitions: Transitions = []
    sent = state.logs[FORMER] + state.on_the_way
    if state.serving == FORMER and sent < MAX_WRITES:
        sending = state._replace(on_the_way=state.on_the_way + 1)
        transitions.append(('a write is sent', sending))
    if state.on_the_way:
        logs = checking.replace_item(state.logs, FORMER, state.logs[FORMER] + 1)
        committed = state._replace(logs=logs, on_the_way=state.on_the_way - 1)
        transitions.append(('s0 commits', committed))
    for replica in REPLICAS:
        if state.leader == FORMER and state.logs[replica] < state.logs[FORMER]:
            logs = checking.replace_item(
                state.logs, replica, state.logs[replica] + 1
            )
            received = state._replace(logs=logs)
            transitions.append((f's{replica} receives', received))
    return [*transitions, *_answers(state, variant)]


def _answers(state: State, variant: Variant) -> Transitions:
    # A commit is answered once a replica has it; one that comes after the
    # change finds replicas as well.
    received = max(state.logs[1:])
    answered = received if state.leader == FORMER else state.logs[FORMER]
    is_withheld = variant.withholds_late_answers and state.serving != FORMER
    if is_withheld or state.acknowledged >= answered:
        return []
    number = state.acknowledged + 1
    is_late = state.before != NEVER and number > state.before
    acknowledged = state._replace(
        acknowledged=number,
        reported=max(state.reported, state.logs[FORMER]),
        late=state.late or is_late,
    )
    return [('the owner acknowledges', acknowledged)]


def _owner(state: State, variant: Variant) -> Transitions:
    transitions: Transitions = []
    if state.serving == FORMER:
        transitions.append((
            'the leadership of s0 ends',
            state._replace(serving=NEVER),
        ))
    if not state.has_lapsed:
        lapsed = state._replace(has_lapsed=True)
        transitions.append(('the entry of s1 lapses', lapsed))
    if not state.is_next_owner:
        following = state._replace(
            is_next_owner=True, serving=NEVER, reported=0
        )
        transitions.append(('another owner takes over', following))
    if state.serving == NEVER:
        transitions.extend(
            (f'the owner serves s{server}', state._replace(serving=server))
            for server in (FORMER, *REPLICAS)
            if _may_serve(state, server, variant)
        )
    return transitions


def _may_serve(state: State, server: int, variant: Variant) -> bool:
    """Return whether the owner finds a server to be the primary.

    The former primary says so until it learns of the next one.
    """
    leads = server in {state.leader, FORMER}
    status = connection.ServerStatus(
        role=connection.Role.PRIMARY if leads else connection.Role.REPLICA,
        term=OLD_TERM if server == FORMER else NEW_TERM,
        received=_position(state.logs[server]),
    )
    if not variant.waits_for_ordered:
        return status.role is connection.Role.PRIMARY
    return _record(state).accepts(_SERVERS[server].server, status)


def _record(state: State) -> primary_record.PrimaryRecord:
    if state.pending == FORMER:
        return _NONE_PENDING
    return primary_record.PrimaryRecord(
        server=_SERVERS[state.pending].server, term=OLD_TERM, is_pending=True
    )


def _orders(state: State, variant: Variant) -> Transitions:
    may_order = state.serving == NEVER or not variant.ends_leadership_first
    if not may_order or state.leader != FORMER:
        return []
    choices = {
        _choose(state, found, variant)
        for count in range(1, len(REPLICAS) + 1)
        for found in itertools.combinations(REPLICAS, count)
    }
    return [
        _order(state, chosen, variant)
        for chosen in choices
        if chosen is not None and not _is_ordered_elsewhere(state, chosen)
    ]


def _order(state: State, chosen: int, variant: Variant) -> tuple[str, State]:
    ordered = state._replace(
        ordered=checking.replace_item(state.ordered, chosen, True),
        pending=chosen if variant.records_order else state.pending,
    )
    return f'a promotion of s{chosen} is ordered', ordered


def _is_ordered_elsewhere(state: State, chosen: int) -> bool:
    """Return whether an order for another server is not waited out yet."""
    return any(state.ordered[each] for each in REPLICAS if each != chosen)


def _choose(
    state: State, found: tuple[int, ...], variant: Variant
) -> int | None:
    if state.pending in found:
        return state.pending
    known = set(range(len(_SERVERS)))
    if state.has_lapsed and not variant.remembers_lapsed:
        known.remove(LAPSING)
    lapsed = {LAPSING} if state.has_lapsed else set()
    reported = known.intersection(found)
    evidence = candidates.Evidence(
        found=[_candidate(state, each) for each in reported - lapsed],
        unregistered=[_candidate(state, each) for each in reported & lapsed],
        unknown_count=len(known) - len(reported),
        acknowledged=(
            None if state.is_next_owner else _position(state.reported)
        ),
        sync_replicas=1,
    )
    if not variant.requires_proof:
        return min(found)
    chosen = candidates.choose(
        evidence, takes_work=lambda server: not server.is_draining
    )
    return None if chosen is None else _SERVERS.index(chosen.server)


def _candidate(state: State, server: int) -> candidates.Candidate:
    return candidates.Candidate(
        server=_SERVERS[server],
        status=connection.ServerStatus(
            role=connection.Role.REPLICA,
            term=OLD_TERM,
            received=_position(state.logs[server]),
        ),
    )


def _position(length: int) -> identifiers.LogPosition:
    return identifiers.LogPosition(term=OLD_TERM, offset=length)


def _platform(state: State) -> Transitions:
    transitions: Transitions = []
    for server in REPLICAS:
        if not state.ordered[server]:
            continue
        ordered = checking.replace_item(state.ordered, server, False)
        transitions.append((
            f'the order for s{server} dies',
            state._replace(ordered=ordered),
        ))
        if state.leader == FORMER:
            leading = state._replace(
                ordered=ordered,
                leader=server,
                before=state.logs[FORMER],
                lost=state.lost or state.logs[server] < state.acknowledged,
            )
            transitions.append((f's{server} leads', leading))
    return transitions


def specifications() -> list[checking.Specification]:
    """Return the model of promotions and its broken variants."""
    return checking.with_broken_variants(
        name='promotions',
        initial=State(),
        transitions=_transitions,
        variant=Variant(),
        broken={
            'statements go on while the order is out': Variant(
                ends_leadership_first=False
            ),
            'late answers are passed on': Variant(withholds_late_answers=False),
            'the order is not recorded': Variant(records_order=False),
            'the former primary is served again': Variant(
                waits_for_ordered=False
            ),
            'a server that takes work is preferred': Variant(
                requires_proof=False
            ),
            'a server is forgotten when its entry lapses': Variant(
                remembers_lapsed=False
            ),
        },
        invariants={
            'no late acknowledgement': lambda each: not each['late'],
            'no lost write': lambda each: not each['lost'],
        },
    )

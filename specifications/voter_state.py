"""State and rules of the model of the voter set, which `voters` checks."""

import typing

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


def is_quorum(hosts: Group, groups: Groups) -> bool:
    """Return whether hosts are a majority of each group."""
    return all(_is_majority(hosts, group) for group in groups)


def is_blocked(groups: Groups, knowing: Group) -> bool:
    """Return whether each quorum has a host that knows a later set."""
    return any(len(knowing & group) * 2 >= len(group) for group in groups)


def has_promised(state: State, host: str, epoch: int, variant: Variant) -> bool:
    """Return whether a host votes in no epoch as early as this one."""
    if not variant.forcing_host_votes_no_more:
        return False
    return host == state.forced_by and epoch < state.forced_epoch


def counts(
    state: State, host: str, hosts: Group, epoch: int, variant: Variant
) -> bool:
    """Return whether hosts are a quorum for a host with a set."""
    groups = state.sets[epoch]
    if has_promised(state, host, epoch, variant):
        return False
    if epoch == state.forced_epoch:
        is_usable = host in state.refreshed or (
            not variant.waits_before_forced_counts
        )
        return is_usable and is_quorum(hosts, groups)
    has_no_news = state.has_waited and epoch < state.forced_epoch
    if has_no_news and variant.others_need_all_voters:
        return all(group <= hosts for group in groups)
    return is_quorum(hosts, groups)


def hosts_with(state: State, epoch: int) -> Group:
    """Return the hosts that have adopted at least an epoch."""
    known = zip(HOSTS, state.adopted, strict=True)
    return frozenset(host for host, adopted in known if adopted >= epoch)

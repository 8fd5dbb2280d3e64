"""Model of the leases while the store is restored from an older copy.

Hosts x and y take a task over from each other; host z only confirms. The copy
of the store names x as the holder, as at the start. It may replace the store
at any time, once, which begins the second era. z may restart and has then
forgotten what it knew. A host that makes no transition is frozen. A tick is
as long as a lease, and an epoch is ten times its era plus a number.
"""

import typing

from specifications import checking

LAST_TICK = 4
LEASE_TICKS = 1
EPOCHS_PER_ERA = 10
LAST_NUMBER = 3
FIRST_ERA = 1
SECOND_ERA = 2
NEVER = -9
HOST_X, HOST_Y = range(2)


class Claim(typing.NamedTuple):
    """The claim of a host; a later one has a greater epoch."""

    epoch: int
    host: int

    @property
    def era(self) -> int:
        """Return the era in which the epoch was given out."""
        return self.epoch // EPOCHS_PER_ERA


FIRST_CLAIM = Claim(FIRST_ERA * EPOCHS_PER_ERA + 1, HOST_X)


class State(typing.NamedTuple):
    """State of the store and of the three hosts.

    `stored` is the claim in the store. For x and y, `known` is the latest
    claim that they know, `until` the tick at which their lease expires,
    `renewing` whether they renew one, `verified` the era in which their claim
    is verified, and `notified_at` the tick at which z heard of a claim for
    which they are waiting. z knows `z_known`, None after a restart. `started`
    holds the claims with which x and y have run the task.
    """

    now: int = 0
    era: int = FIRST_ERA
    stored: Claim = FIRST_CLAIM
    known: tuple[Claim, Claim] = (FIRST_CLAIM, FIRST_CLAIM)
    until: tuple[int, int] = (LEASE_TICKS, 0)
    renewing: tuple[bool, bool] = (True, False)
    verified: tuple[int, int] = (FIRST_ERA, 0)
    notified_at: tuple[int, int] = (NEVER, NEVER)
    z_known: Claim | None = FIRST_CLAIM
    started: frozenset[Claim] = frozenset((FIRST_CLAIM,))


class Variant(typing.NamedTuple):
    """Mechanisms of the leases; a broken variant sets one to False."""

    verifies_claims: bool = True
    drops_expired: bool = True
    epochs_begin_with_era: bool = True
    confirms_after_wait: bool = True


Transitions = list[tuple[str, State]]


def _transitions(state: State, variant: Variant) -> Transitions:
    transitions = [*checking.tick(state, LAST_TICK), *_store_and_z(state)]
    for host in (HOST_X, HOST_Y):
        transitions.extend(_renewals(state, host, variant))
        transitions.extend(_takeover(state, host, variant))
        if state.stored > state.known[host]:
            heard = _learn(state, host, state.stored)
            transitions.append((
                f'{"xy"[host]} hears of the stored claim',
                heard,
            ))
    return transitions


def _store_and_z(state: State) -> Transitions:
    transitions: Transitions = []
    if state.era == FIRST_ERA:
        restored = state._replace(era=SECOND_ERA, stored=FIRST_CLAIM)
        transitions.append(('the store is restored', restored))
    if state.z_known is None:
        synced = state._replace(z_known=state.stored)
        transitions.append(('z reads the store', synced))
    else:
        transitions.append(('z restarts', state._replace(z_known=None)))
    return transitions


def _renewals(state: State, host: int, variant: Variant) -> Transitions:
    claim = state.known[host]
    if not state.renewing[host] or claim.host != host:
        return []
    name = 'xy'[host]
    is_verified = state.verified[host] == state.era
    if is_verified or not variant.verifies_claims:
        transitions = _renewal_at_store(state, host)
    elif variant.drops_expired and state.now >= state.until[host]:
        dropped = _set(state, host, renewing=False)
        return [(f'{name} drops its expired lease', dropped)]
    else:
        transitions = _verification(state, host, variant)
    if state.now < state.until[host]:
        for label, confirmed in _confirmation(state, host, variant):
            transitions.append((
                f'while the store is silent, {label}',
                confirmed,
            ))
    return transitions


def _renewal_at_store(state: State, host: int) -> Transitions:
    if state.stored != state.known[host]:
        return []
    renewed = _set(state, host, until=state.now + LEASE_TICKS)
    return [(f'the store renews {"xy"[host]}', renewed)]


def _verification(state: State, host: int, variant: Variant) -> Transitions:
    """Confirm a claim by z, and write it again unless a later one is stored."""
    transitions: Transitions = []
    for label, confirmed in _confirmation(state, host, variant):
        claim = confirmed.known[host]
        if claim.host == host and confirmed.stored <= claim:
            verified = _set(confirmed, host, verified=state.era)
            transitions.append((
                f'{label}, verified',
                verified._replace(stored=claim),
            ))
        else:
            transitions.append((label, confirmed))
    return transitions


def _confirmation(state: State, host: int, variant: Variant) -> Transitions:
    """Return z's answer to a claim: a later claim, or a longer lease."""
    claim = state.known[host]
    name = 'xy'[host]
    if state.z_known is None:
        return []
    if state.z_known > claim:
        learned = _learn(state, host, state.z_known)
        return [(f'{name} learns from z', learned)]
    renewed = _set(state, host, until=state.now + LEASE_TICKS)
    return [(f'z renews {name}', renewed._replace(z_known=claim))]


def _takeover(state: State, host: int, variant: Variant) -> Transitions:
    claim = state.known[host]
    if state.renewing[host]:
        return []
    is_claiming = claim.host == host and state.stored == claim
    notified_at = state.notified_at[host]
    if notified_at != NEVER and claim.host == host:
        return _wait_and_start(state, host, variant)
    transitions = _claim(state, host, variant)
    if is_claiming and claim != FIRST_CLAIM and state.z_known is not None:
        transitions.append(_notify(state, host, variant))
    return transitions


def _claim(state: State, host: int, variant: Variant) -> Transitions:
    """Write the epoch after the latest claim that this host can find."""
    latest = max(state.known[host], state.stored)
    if latest.era != state.era and state.z_known is not None:
        latest = max(latest, state.z_known)
    if latest > state.known[host]:
        learned = _learn(state, host, latest)
        return [(f'{"xy"[host]} finds a later claim', learned)]
    first = state.era * EPOCHS_PER_ERA if variant.epochs_begin_with_era else 0
    following = Claim(max(latest.epoch, first) + 1, host)
    if following.epoch % EPOCHS_PER_ERA > LAST_NUMBER:
        return []
    claimed = _set(state, host, known=following)
    return [(f'{"xy"[host]} claims', claimed._replace(stored=following))]


def _notify(state: State, host: int, variant: Variant) -> tuple[str, State]:
    claim = state.known[host]
    if state.z_known is not None and state.z_known > claim:
        learned = _learn(state, host, state.z_known)
        return f'{"xy"[host]} learns from z', learned
    heard = state._replace(z_known=claim)
    notified = _set(heard, host, notified_at=state.now)
    return f'{"xy"[host]} notifies z', notified


def _wait_and_start(state: State, host: int, variant: Variant) -> Transitions:
    if state.now < state.notified_at[host] + LEASE_TICKS:
        return []
    claim = state.known[host]
    is_same_era = state.era == claim.era or not variant.epochs_begin_with_era
    is_current = state.stored == claim and is_same_era
    if variant.confirms_after_wait and not is_current:
        abandoned = _set(state, host, notified_at=NEVER)
        return [(f'{"xy"[host]} abandons its claim', abandoned)]
    return [(f'{"xy"[host]} starts', _start(state, host))]


def _start(state: State, host: int) -> State:
    claim = state.known[host]
    return _set(
        state._replace(started=state.started | {claim}),
        host,
        notified_at=NEVER,
        renewing=True,
        until=state.now + LEASE_TICKS,
        verified=state.era,
    )


def _learn(state: State, host: int, claim: Claim) -> State:
    """Replace the known claim of a host, which ends its own one."""
    return _set(
        state, host, known=claim, until=0, renewing=False, notified_at=NEVER
    )


def _set(state: State, host: int, **changed: typing.Any) -> State:
    """Replace fields of x or y."""
    return state._replace(**{
        name: checking.replace_item(getattr(state, name), host, value)
        for name, value in changed.items()
    })


def _is_exclusive(state: dict[str, typing.Any]) -> bool:
    return not all(until > state['now'] for until in state['until'])


def _has_unique_epochs(state: dict[str, typing.Any]) -> bool:
    epochs = [claim.epoch for claim in state['started']]
    return len(epochs) == len(set(epochs))


def specifications() -> list[checking.Specification]:
    """Return the model and its broken variants."""
    return checking.with_broken_variants(
        name='restored leases',
        initial=State(),
        transitions=_transitions,
        variant=Variant(),
        broken={
            'the store renews claims that are not verified': Variant(
                verifies_claims=False,
            ),
            'expired leases are verified': Variant(drops_expired=False),
            'epochs are given out again': Variant(
                epochs_begin_with_era=False,
            ),
            'a claim is not confirmed after its wait': Variant(
                confirms_after_wait=False,
            ),
        },
        invariants={
            'one host serves': _is_exclusive,
            'one host for each epoch': _has_unique_epochs,
        },
    )

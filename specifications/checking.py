"""Runs the model checker and compares its verdicts with the expected ones."""

import dataclasses
import typing

import minicheck

MAX_STATES = 400_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Specification:
    """A model to check.

    If `is_broken` is set, the checker must find a state that violates one
    of its invariants; otherwise all invariants must hold.
    """

    name: str
    model: minicheck.Protocol
    is_broken: bool = False


def replace_item(
    values: tuple[typing.Any, ...],
    index: int,
    new: typing.Any,
) -> tuple[typing.Any, ...]:
    """Return a copy of a tuple with the value at `index` replaced."""
    return (*values[:index], new, *values[index + 1 :])


State = typing.Any
Transitions = list[tuple[str, State]]


def tick(state: State, last: int) -> Transitions:
    """Return the transition that advances the clock by one tick.

    There is none after tick `last`, which keeps the state space finite.
    """
    if state.now >= last:
        return []
    return [('tick', state._replace(now=state.now + 1))]


TransitionFunction = typing.Callable[[State, typing.Any], Transitions]
Invariants = dict[str, typing.Callable[[dict[str, typing.Any]], bool]]


def with_broken_variants(
    *,
    name: str,
    initial: State,
    transitions: TransitionFunction,
    variant: typing.Any,
    broken: dict[str, typing.Any],
    invariants: Invariants,
) -> list[Specification]:
    """Return a model, followed by its broken variants.

    `variant` is passed to `transitions` for the complete model, and the
    values of `broken`, by label, for the broken ones. The invariants get the
    fields of a state by name.
    """

    complete = Specification(
        name=name, model=_make(name, variant, initial, transitions, invariants)
    )
    return [
        complete,
        *(
            Specification(
                name=f'{name}, {label}',
                model=_make(
                    label, broken_variant, initial, transitions, invariants
                ),
                is_broken=True,
            )
            for label, broken_variant in broken.items()
        ),
    ]


def _make(
    name: str,
    variant: typing.Any,
    initial: State,
    transitions: TransitionFunction,
    invariants: Invariants,
) -> minicheck.Protocol:
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=tuple(initial),
        transitions=lambda fields: [
            (label, tuple(state))
            for label, state in transitions(type(initial)(*fields), variant)
        ],
        invariants=invariants,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """The result of a check as text, and whether it was the expected one."""

    is_expected: bool
    text: str


def check(specification: Specification) -> Verdict:
    """Check a model on up to `MAX_STATES` states.

    The verdict on a broken variant is expected if any invariant is refuted,
    that on a complete model if all invariants hold. An invariant that is
    undetermined because the limit was reached satisfies neither.
    """
    report = minicheck.check_safety(
        specification.model,
        max_states=MAX_STATES,
    )
    verdicts = {
        name: result['holds'] for name, result in report['properties'].items()
    }
    if specification.is_broken:
        expected = any(holds is False for holds in verdicts.values())
    else:
        expected = all(holds is True for holds in verdicts.values())
    lines = _describe(specification, report, verdicts, expected=expected)
    return Verdict(is_expected=expected, text='\n'.join(lines))


def _describe(
    specification: Specification,
    report: dict[str, typing.Any],
    verdicts: dict[str, bool | None],
    *,
    expected: bool,
) -> list[str]:
    verdict_words = {True: 'holds', False: 'refuted', None: 'undetermined'}
    shown = ', '.join(
        f'{name} {verdict_words[holds]}' for name, holds in verdicts.items()
    )
    states = report.get('reachable_states', report.get('states', '?'))
    lines = [f'{specification.name}: {states} states, {shown}']
    if expected:
        return lines
    lines.append(f'unexpected: {specification.name}')
    for name, result in report['properties'].items():
        if result['holds'] is False:
            lines.append(f'  {name}:')
            lines.extend(f'    {step}' for step in result['counterexample'])
    return lines

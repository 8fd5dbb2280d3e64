"""Runs models and compares the verdicts with what is expected."""

import dataclasses
import typing

import minicheck

MOST_STATES = 400_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Specification:
    """A model, and whether the checker should find it to hold."""

    name: str
    model: minicheck.Protocol
    is_broken: bool = False


def put(
    values: tuple[typing.Any, ...],
    index: int,
    new: typing.Any,
) -> tuple[typing.Any, ...]:
    """Return a tuple with one of its values replaced."""
    return (*values[:index], new, *values[index + 1 :])


State = typing.Any
MoveList = list[tuple[str, State]]


def tick(state: State, last: int) -> MoveList:
    """Return the move of a clock that stops at the last tick."""
    if state.now >= last:
        return []
    return [('tick', state._replace(now=state.now + 1))]


Moves = typing.Callable[[State, typing.Any], MoveList]
Invariants = dict[str, typing.Callable[[dict[str, typing.Any]], bool]]


def with_broken_variants(
    *,
    name: str,
    initial: State,
    moves: Moves,
    variant: typing.Any,
    broken: dict[str, typing.Any],
    invariants: Invariants,
) -> list[Specification]:
    """Return a model and its variants that leave a mechanism out."""

    whole = Specification(
        name=name, model=_make(name, variant, initial, moves, invariants)
    )
    return [
        whole,
        *(
            Specification(
                name=f'{name}, {label}',
                model=_make(label, made_of, initial, moves, invariants),
                is_broken=True,
            )
            for label, made_of in broken.items()
        ),
    ]


def _make(
    name: str,
    variant: typing.Any,
    initial: State,
    moves: Moves,
    invariants: Invariants,
) -> minicheck.Protocol:
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=tuple(initial),
        transitions=lambda fields: [
            (label, tuple(state))
            for label, state in moves(type(initial)(*fields), variant)
        ],
        invariants=invariants,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """What the checker printed, and whether that was expected."""

    is_expected: bool
    text: str


def check(specification: Specification) -> Verdict:
    """Check one model."""
    report = minicheck.check_safety(
        specification.model,
        max_states=MOST_STATES,
    )
    verdicts = {
        name: found['holds'] for name, found in report['properties'].items()
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
    words = {True: 'holds', False: 'refuted', None: 'undetermined'}
    shown = ', '.join(
        f'{name} {words[holds]}' for name, holds in verdicts.items()
    )
    states = report.get('reachable_states', report.get('states', '?'))
    lines = [f'{specification.name}: {states} states, {shown}']
    if expected:
        return lines
    lines.append(f'unexpected: {specification.name}')
    for name, found in report['properties'].items():
        if found['holds'] is False:
            lines.append(f'  {name}:')
            lines.extend(f'    {step}' for step in found['counterexample'])
    return lines

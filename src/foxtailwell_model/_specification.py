"""Specifications as finite state machines, and their exhaustive check with minicheck.

A specification names the rules that its transitions follow. A mutant is the same machine with one
rule removed. A rule is shown to be necessary if its mutant violates an invariant.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from minicheck import Protocol, check_safety

__all__ = [
    "Outcome",
    "Specification",
    "State",
    "Step",
    "Transitions",
    "check",
    "replace_at",
    "replace_fields",
]

State = tuple[Any, ...]
Step = tuple[str, State]
Transitions = Callable[[State], Iterable[Step]]
Invariant = Callable[[Mapping[str, Any]], bool]


def replace_at(values: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    """Return a tuple with another value at one index."""
    return (*values[:index], value, *values[index + 1 :])


def replace_fields(fields: tuple[str, ...], state: State, /, **changes: Any) -> State:
    """Return a state with other values of the named fields.

    Args:
        fields: Names of the parts of the state, in order.
        state: State to change.
        changes: New values by name.
    """
    after = list(state)
    for name, value in changes.items():
        after[fields.index(name)] = value
    return tuple(after)


@dataclass(frozen=True, slots=True)
class Specification:
    """A state machine with named rules and invariants.

    Attributes:
        name: Name in the report.
        fields: Names of the parts of a state, in order.
        initial: Initial state.
        make_transitions: Takes the removed rules and returns the function that yields the steps
            out of a state, each as (label, next state).
        invariants: Predicates over a state, by field name, that must hold in every state.
        rules: Each rule with the module or function of the product that implements it.
        max_states: Limit of the search; reaching it counts as a failure.
    """

    name: str
    fields: tuple[str, ...]
    initial: State
    make_transitions: Callable[[frozenset[str]], Transitions]
    invariants: Mapping[str, Invariant]
    rules: Mapping[str, str]
    max_states: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of the search of one specification or mutant.

    Attributes:
        states: Number of states reached.
        is_exhaustive: Whether the search reached every reachable state.
        holds: Whether every invariant holds in all of these states.
        trace: Shortest path to a violation as (label, state); empty if none was found.
    """

    states: int
    is_exhaustive: bool
    holds: bool
    trace: tuple[tuple[str, Mapping[str, Any]], ...]

    @property
    def is_refuted(self) -> bool:
        """Whether the search found a violation."""
        return bool(self.trace)

    @property
    def steps(self) -> int:
        """Number of steps of the shortest path to a violation; 0 if none was found."""
        return max(0, len(self.trace) - 1)


def check(spec: Specification, removed: Iterable[str] = ()) -> Outcome:
    """Search the states of a specification, or of a mutant if rules are removed.

    All invariants are passed to the checker as one, because it searches once per invariant. The
    search of a mutant ends at the first violation.

    Args:
        spec: Specification to check.
        removed: Names of the rules to remove.

    Raises:
        ValueError: The specification has no rule of a name in `removed`.
    """
    without = frozenset(removed)
    if unknown := without - set(spec.rules):
        raise ValueError(f"{spec.name}: remove names in its `rules`, not {sorted(unknown)}")

    def all_hold(values: Mapping[str, Any]) -> bool:
        return all(holds(values) for holds in spec.invariants.values())

    transitions = spec.make_transitions(without)
    if without:
        transitions = _until_violation(spec, transitions, all_hold)
    machine = Protocol(
        name=spec.name,
        candidate=False,
        fields=spec.fields,
        initial=spec.initial,
        transitions=transitions,
        invariants={"all": all_hold},
    )
    result = check_safety(machine, max_states=spec.max_states)
    verdict = result["properties"]["all"]
    trace = tuple((str(s["label"]), s["state"]) for s in verdict["counterexample"] or ())
    return Outcome(
        states=result["reachable_states"],
        is_exhaustive=result["exhaustive"],
        holds=verdict["holds"] is True,
        trace=trace,
    )


def _until_violation(
    spec: Specification, transitions: Transitions, all_hold: Invariant
) -> Transitions:
    found = False

    def steps(state: State) -> Iterable[Step]:
        nonlocal found
        found = found or not all_hold(dict(zip(spec.fields, state, strict=True)))
        return () if found else transitions(state)

    return steps

"""A specification: a finite state machine, its invariants and its rules.

The rules of a specification are named. A mutant is the same machine with one rule removed; a
rule is justified only if its mutant breaks an invariant.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from minicheck import Protocol, check_safety

__all__ = ["Outcome", "Specification", "State", "Step", "Transitions", "check"]

State = tuple[Any, ...]
Step = tuple[str, State]
Transitions = Callable[[State], Iterable[Step]]
Invariant = Callable[[Mapping[str, Any]], bool]


@dataclass(frozen=True, slots=True)
class Specification:
    """One specification.

    Attributes:
        name: Name in the report.
        fields: Names of the parts of a state.
        initial: First state.
        make_transitions: Takes the removed rules and returns the steps out of a state.
        invariants: What must hold in every state.
        rules: Each rule with the function of the product that implements it.
        max_states: Limit of the search; reaching it is a failure.
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
    """Verdict on a machine.

    Attributes:
        states: States that were reached.
        is_exhaustive: Whether the search reached every state.
        holds: Whether every invariant holds in all of them.
        trace: Shortest path to a violation, as labels and states; empty when none was found.
    """

    states: int
    is_exhaustive: bool
    holds: bool
    trace: tuple[tuple[str, Mapping[str, Any]], ...]

    @property
    def is_refuted(self) -> bool:
        """Whether a violation was found."""
        return bool(self.trace)

    @property
    def steps(self) -> int:
        """Steps of the shortest path to a violation."""
        return max(0, len(self.trace) - 1)


def check(spec: Specification, removed: Iterable[str] = ()) -> Outcome:
    """Search the states of a specification without the removed rules.

    All invariants are checked as one, because the checker searches once for each invariant. With
    a rule removed the search ends at the first violation.

    Raises:
        ValueError: A removed rule is not in the specification.
    """
    without = frozenset(removed)
    if unknown := without - set(spec.rules):
        raise ValueError(f"{spec.name} has no rules {sorted(unknown)}")

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

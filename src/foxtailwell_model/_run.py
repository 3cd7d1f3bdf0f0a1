"""Checks all specifications and their mutants in parallel processes and reports the results."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Iterable
from concurrent.futures import Future, ProcessPoolExecutor
from multiprocessing import get_context

from foxtailwell_model._specification import Outcome, Specification, check
from foxtailwell_model._specifications import SPECIFICATIONS

__all__ = ["is_proved", "main"]

MAX_PROCESSES = 4


def main() -> int:
    """Check everything; print one JSON object per specification and any trace to stderr.

    Returns:
        Exit status: 0 if every specification holds in all of its states and every mutant is
        refuted, otherwise 1.
    """
    processes = min(MAX_PROCESSES, os.cpu_count() or 1)
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        runs = {
            (number, rule): pool.submit(_check, number, rule)
            for number, spec in enumerate(SPECIFICATIONS)
            for rule in ("", *spec.rules)
        }
        passed = [_report(number, spec, runs) for number, spec in enumerate(SPECIFICATIONS)]
    return 0 if all(passed) else 1


def _check(number: int, removed_rule: str) -> Outcome:
    return check(SPECIFICATIONS[number], (removed_rule,) if removed_rule else ())


def _report(number: int, spec: Specification, runs: dict[tuple[int, str], Future[Outcome]]) -> bool:
    outcome = runs[number, ""].result()
    mutants = {rule: runs[number, rule].result() for rule in spec.rules}
    report = {
        "spec": spec.name,
        "states": outcome.states,
        "exhaustive": outcome.is_exhaustive,
        "holds": outcome.holds,
        "mutants": [
            {"name": rule, "refuted": mutant.is_refuted, "steps": mutant.steps}
            for rule, mutant in mutants.items()
        ],
    }
    print(json.dumps(report), flush=True)
    for label, state in outcome.trace:
        print(f"  {label}: {state}", file=sys.stderr)
    return is_proved(outcome, mutants.values())


def is_proved(outcome: Outcome, mutants: Iterable[Outcome]) -> bool:
    """Return whether a specification holds in all of its states and every mutant is refuted.

    A search that stopped at its limit proves nothing, even without a violation.
    """
    return outcome.is_exhaustive and outcome.holds and all(m.is_refuted for m in mutants)

"""Measures of the placement policy under a virtual clock, against first come first served."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from math import log
from time import perf_counter

from foxtailwell.core import PlannerRules, plan
from foxtailwell_bench._driver import (
    Incidents,
    Outcome,
    Planner,
    Record,
    drive,
    first_fit,
    is_large,
)
from foxtailwell_bench._fleet import make_busy_view
from foxtailwell_bench._workload import DEPLOYMENTS, Deployment, make_arrivals

SEEDS = (11, 12)
DURATION_S = 14_400.0

MIXED_LOAD = 0.7
"""At 0.8 and more, bursts of large gangs exceed the fleet and every policy queues."""

SATURATED_LOAD = 1.3
"""While a zone is out there must be more work than accelerators, or idle time counts as lost."""

BASELINE = "first_fit"
FULL = "with_displacement"

_POLICIES: dict[str, Planner] = {
    BASELINE: first_fit,
    "best_fit": partial(
        plan,
        rules=PlannerRules(
            has_reservations=False, has_backfill=False, has_moves=False, has_displacement=False
        ),
    ),
    "with_reservation": partial(
        plan, rules=PlannerRules(has_backfill=False, has_moves=False, has_displacement=False)
    ),
    "with_backfill": partial(plan, rules=PlannerRules(has_moves=False, has_displacement=False)),
    "with_moves": partial(plan, rules=PlannerRules(has_displacement=False)),
    FULL: plan,
}

_URGENT_CLASSES = {"check", "quote-model"}

Row = dict[str, object]


@dataclass(frozen=True, slots=True)
class _Task:
    """One run of one policy."""

    deployment: int
    policy: str
    seed: int
    is_zone_loss: bool


def run(policies: Iterable[str] = (BASELINE, FULL)) -> Iterator[Row]:
    """Yield the measures of the policies; the baseline is part of every run.

    Args:
        policies: Names of policies to compare.
    """
    names = list(dict.fromkeys((BASELINE, *policies)))
    tasks = [
        _Task(index, policy, seed, is_zone_loss)
        for index in range(len(DEPLOYMENTS))
        for seed in SEEDS
        for is_zone_loss in (False, True)
        for policy in names
    ]
    # Decisions are timed first, while no other process of the benchmark is busy.
    yield from _decision_times()
    with ProcessPoolExecutor(max_workers=4) as pool:
        results = dict(zip(tasks, pool.map(_measure, tasks), strict=True))
    for task, measures in results.items():
        if task.policy == BASELINE and len(names) > 1:
            continue
        baseline = results[_Task(task.deployment, BASELINE, task.seed, task.is_zone_loss)]
        for (measure, unit), value in measures.items():
            yield _row(task, measure, unit, value, baseline[measure, unit])


def _row(task: _Task, measure: str, unit: str, value: float, baseline: float) -> Row:
    return {
        "measure": measure,
        "value": round(value, 4),
        "unit": unit,
        "baseline": BASELINE,
        "baseline_value": round(baseline, 4),
        "ratio": round(value / baseline, 4) if baseline else None,
        "seed": task.seed,
        "deployment": DEPLOYMENTS[task.deployment].name,
        "policy": task.policy,
    }


def _measure(task: _Task) -> dict[tuple[str, str], float]:
    deployment = DEPLOYMENTS[task.deployment]
    planner = _POLICIES[task.policy]
    if task.is_zone_loss:
        return _zone_loss(deployment, planner, task.seed)
    return _mixed(deployment, planner, task.seed)


def _mixed(deployment: Deployment, planner: Planner, seed: int) -> dict[tuple[str, str], float]:
    """Bursts of small and large jobs, two failing workers and a wave of cancellations."""
    arrivals = make_arrivals(deployment, seed, DURATION_S, MIXED_LOAD)
    incidents = Incidents(
        bad_workers=(
            (f"{deployment.zones[1]}-w01", 0.2 * DURATION_S, 0.3 * DURATION_S),
            (f"{deployment.zones[0]}-w00", 0.6 * DURATION_S, 0.65 * DURATION_S),
        ),
        cancel_wave_s=0.7 * DURATION_S,
    )
    outcome = drive(deployment, planner, arrivals, incidents, duration_s=DURATION_S)
    large = _select(outcome, lambda r: is_large(r.arrival.spec))
    urgent = _select(outcome, lambda r: r.job.work_class in _URGENT_CLASSES)
    entitled = _select(outcome, lambda r: r.was_entitled)
    return {
        ("gang_completion_mean_s", "s"): _mean([_completion_s(r) for r in large]),
        ("gang_wait_mean_s", "s"): _mean([_wait_s(r) for r in large]),
        ("gang_wait_p99_s", "s"): _p99([_wait_s(r) for r in large]),
        ("job_completion_mean_s", "s"): _mean([_completion_s(r) for r in outcome.records]),
        ("fragmentation_mean", "share"): outcome.fragmentation_mean,
        ("guarantee_reclaim_p99_s", "s"): _p99([_wait_s(r) for r in entitled]),
        ("urgent_start_p99_s", "s"): _p99([_wait_s(r) for r in urgent]),
        ("gang_stop_count", "count"): float(sum(outcome.stops.values())),
    }


def _zone_loss(deployment: Deployment, planner: Planner, seed: int) -> dict[tuple[str, str], float]:
    """More work than accelerators while a zone is taken out, goes dark and returns."""
    duration_s = DURATION_S / 2
    arrivals = make_arrivals(deployment, seed, duration_s, SATURATED_LOAD)
    out_s, back_s = 0.4 * duration_s, 0.7 * duration_s
    outcome = drive(
        deployment,
        planner,
        arrivals,
        Incidents(zone_out=(deployment.zones[0], out_s, back_s)),
        duration_s=duration_s,
        window_s=(out_s, back_s + 300.0),
    )
    share = outcome.useful_s / outcome.available_s if outcome.available_s else 0.0
    return {("zone_loss_useful_work_share", "share"): share}


def _select(outcome: Outcome, wanted: Callable[[Record], bool]) -> list[Record]:
    return [r for r in outcome.records if r.job.state.value != "cancelled" and wanted(r)]


def _wait_s(record: Record) -> float:
    """Return the wait; a job that never started counts with the length of the run."""
    until = 4 * DURATION_S if record.first_start_s is None else record.first_start_s
    return until - record.arrival.at_s


def _completion_s(record: Record) -> float:
    until = 4 * DURATION_S if record.end_s is None else record.end_s
    return until - record.arrival.at_s


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _p99(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[min(int(0.99 * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def _decision_times() -> Iterator[Row]:
    """Time one plan on fleets with up to 12,000 running tasks."""
    points: list[tuple[int, float]] = []
    for workers in (24, 240, 1200):
        view, tasks = make_busy_view(workers, seed=SEEDS[0])
        plan(view)
        times = []
        for _ in range(5):
            started = perf_counter()
            plan(view)
            times.append((perf_counter() - started) * 1000)
        median_ms = sorted(times)[2]
        points.append((workers, median_ms))
        yield _decision_row(f"decision_{workers}_workers_{tasks}_tasks_ms", "ms", median_ms)
    (small, small_ms), (large, large_ms) = points[0], points[-1]
    slope = log(large_ms / small_ms) / log(large / small)
    yield _decision_row("decision_time_slope", "exponent", slope)


def _decision_row(measure: str, unit: str, value: float) -> Row:
    return {
        "measure": measure,
        "value": round(value, 3),
        "unit": unit,
        "baseline": None,
        "baseline_value": None,
        "ratio": None,
        "seed": SEEDS[0],
        "deployment": "all",
        "policy": FULL,
    }


def policy_names() -> tuple[str, ...]:
    """Return the policies that can be compared."""
    return tuple(_POLICIES)


def main() -> None:
    """Print the comparison of all policies as JSON lines."""
    from json import dumps

    for row in run(policy_names()):
        sys.stdout.write(dumps(row) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()

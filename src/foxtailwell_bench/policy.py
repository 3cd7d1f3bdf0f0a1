"""Benchmarks of the gang placement policies in simulation, against a first-fit baseline.

Usage: `python -m foxtailwell_bench.policy` compares all policies.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from math import log
from time import perf_counter

from foxtailwell.core import PlannerRules, plan
from foxtailwell_bench._fleet import make_busy_view
from foxtailwell_bench._job_simulator import (
    Incidents,
    JobRecord,
    JobSimulationResult,
    Planner,
    first_fit_with_quarantine,
    is_multi_worker,
    simulate_jobs,
)
from foxtailwell_bench._workload import DEPLOYMENTS, Deployment, make_arrivals

SEEDS = (11, 12)
DURATION_S = 14_400.0

MIXED_LOAD = 0.7
"""Offered load as a share of capacity; from 0.8 on, bursts of large gangs exceed the fleet and jobs
wait under every policy."""

SATURATED_LOAD = 1.3
"""Offered load as a share of capacity; it exceeds 1 so that accelerators do not idle for lack of
work while a zone is out, as that would count as lost."""

BASELINE_POLICY = "first_fit"
FULL_POLICY = "with_displacement"

_POLICIES: dict[str, Planner] = {
    BASELINE_POLICY: first_fit_with_quarantine,
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
    FULL_POLICY: plan,
}

_URGENT_CLASSES = {"check", "quote-model"}

Row = dict[str, object]


@dataclass(frozen=True, slots=True)
class _Simulation:
    """Parameters of one simulation; `deployment` is an index into `DEPLOYMENTS`."""

    deployment: int
    policy: str
    seed: int
    is_zone_loss: bool


def run(policies: Iterable[str] = (BASELINE_POLICY, FULL_POLICY)) -> Iterator[Row]:
    """Yield the measures of the policies; the baseline is always simulated too.

    Args:
        policies: Names of policies to compare, from `policy_names`.
    """
    names = list(dict.fromkeys((BASELINE_POLICY, *policies)))
    simulations = [
        _Simulation(index, policy, seed, is_zone_loss)
        for index in range(len(DEPLOYMENTS))
        for seed in SEEDS
        for is_zone_loss in (False, True)
        for policy in names
    ]
    # Planning is timed before the simulations start, so that they do not compete for CPU time.
    yield from _measure_decision_times()
    with ProcessPoolExecutor(max_workers=4) as pool:
        results = dict(zip(simulations, pool.map(_simulate, simulations), strict=True))
    for simulation, measures in results.items():
        if simulation.policy == BASELINE_POLICY and len(names) > 1:
            continue
        baseline = results[
            _Simulation(
                simulation.deployment, BASELINE_POLICY, simulation.seed, simulation.is_zone_loss
            )
        ]
        for (measure, unit), value in measures.items():
            yield _row(simulation, measure, unit, value, baseline[measure, unit])


def _row(simulation: _Simulation, measure: str, unit: str, value: float, baseline: float) -> Row:
    return {
        "measure": measure,
        "value": round(value, 4),
        "unit": unit,
        "baseline": BASELINE_POLICY,
        "baseline_value": round(baseline, 4),
        "ratio": round(value / baseline, 4) if baseline else None,
        "seed": simulation.seed,
        "deployment": DEPLOYMENTS[simulation.deployment].name,
        "policy": simulation.policy,
    }


def _simulate(simulation: _Simulation) -> dict[tuple[str, str], float]:
    deployment = DEPLOYMENTS[simulation.deployment]
    planner = _POLICIES[simulation.policy]
    if simulation.is_zone_loss:
        return _measure_zone_loss(deployment, planner, simulation.seed)
    return _measure_mixed_load(deployment, planner, simulation.seed)


def _measure_mixed_load(
    deployment: Deployment, planner: Planner, seed: int
) -> dict[tuple[str, str], float]:
    """Simulate bursts of small and large jobs with two failing workers and mass cancellation."""
    arrivals = make_arrivals(deployment, seed, DURATION_S, MIXED_LOAD)
    incidents = Incidents(
        failing_workers=(
            (f"{deployment.zones[1]}-w01", 0.2 * DURATION_S, 0.3 * DURATION_S),
            (f"{deployment.zones[0]}-w00", 0.6 * DURATION_S, 0.65 * DURATION_S),
        ),
        mass_cancellation_s=0.7 * DURATION_S,
    )
    result = simulate_jobs(deployment, planner, arrivals, incidents, duration_s=DURATION_S)
    large = _select(result, lambda r: is_multi_worker(r.arrival.spec))
    urgent = _select(result, lambda r: r.job.work_class in _URGENT_CLASSES)
    within_guarantee = _select(result, lambda r: r.was_within_guarantee)
    return {
        ("gang_completion_mean_s", "s"): _mean([_completion_s(r) for r in large]),
        ("gang_wait_mean_s", "s"): _mean([_wait_s(r) for r in large]),
        ("gang_wait_p99_s", "s"): _p99([_wait_s(r) for r in large]),
        ("job_completion_mean_s", "s"): _mean([_completion_s(r) for r in result.records]),
        ("fragmentation_mean", "share"): result.fragmentation_mean,
        ("guarantee_reclaim_p99_s", "s"): _p99([_wait_s(r) for r in within_guarantee]),
        ("urgent_start_p99_s", "s"): _p99([_wait_s(r) for r in urgent]),
        ("gang_stop_count", "count"): float(sum(result.stops.values())),
    }


def _measure_zone_loss(
    deployment: Deployment, planner: Planner, seed: int
) -> dict[tuple[str, str], float]:
    """Simulate an overload while a zone is taken out of service, shuts down and returns."""
    duration_s = DURATION_S / 2
    arrivals = make_arrivals(deployment, seed, duration_s, SATURATED_LOAD)
    out_s, back_s = 0.4 * duration_s, 0.7 * duration_s
    result = simulate_jobs(
        deployment,
        planner,
        arrivals,
        Incidents(zone_out=(deployment.zones[0], out_s, back_s)),
        duration_s=duration_s,
        window_s=(out_s, back_s + 300.0),
    )
    share = (
        result.useful_accelerator_s / result.available_accelerator_s
        if result.available_accelerator_s
        else 0.0
    )
    return {("zone_loss_useful_work_share", "share"): share}


def _select(result: JobSimulationResult, predicate: Callable[[JobRecord], bool]) -> list[JobRecord]:
    return [r for r in result.records if r.job.state.value != "cancelled" and predicate(r)]


def _wait_s(record: JobRecord) -> float:
    """Return the wait; a job that never started counts as started at the end of the simulation."""
    end_s = 4 * DURATION_S if record.first_start_s is None else record.first_start_s
    return end_s - record.arrival.at_s


def _completion_s(record: JobRecord) -> float:
    end_s = 4 * DURATION_S if record.end_s is None else record.end_s
    return end_s - record.arrival.at_s


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _p99(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[min(int(0.99 * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def _measure_decision_times() -> Iterator[Row]:
    """Measure the time of one plan on fleets of 24 to 1,200 workers, and how it grows with size."""
    points: list[tuple[int, float]] = []
    for workers in (24, 240, 1200):
        view, task_count = make_busy_view(workers, seed=SEEDS[0])
        plan(view)
        times_ms = []
        for _ in range(5):
            started_s = perf_counter()
            plan(view)
            times_ms.append((perf_counter() - started_s) * 1000)
        median_ms = sorted(times_ms)[2]
        points.append((workers, median_ms))
        yield _decision_row(f"decision_{workers}_workers_{task_count}_tasks_ms", "ms", median_ms)
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
        "policy": FULL_POLICY,
    }


def policy_names() -> tuple[str, ...]:
    """Return the names of the policies that `run` accepts."""
    return tuple(_POLICIES)


def main() -> None:
    """Print the comparison of all policies as JSON lines."""
    from json import dumps

    for row in run(policy_names()):
        sys.stdout.write(dumps(row) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()

"""Benchmarks of the request path: queue and routing in simulation, and a real entry daemon."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from foxtailwell_bench._entry_measures import measure_entry
from foxtailwell_bench.request_simulator import (
    LoadClass,
    Policy,
    RequestSimulationResult,
    Scenario,
    simulate_requests,
)

__all__ = ["run", "run_simulations"]

SEEDS = (11, 12)
ENTRY_COUNTS = (1, 3, 7, 20)
MIXED_LOAD_S = 120.0
"""Duration of the mixed load; 60 s contain too few bursts of long requests for a stable p99."""

ROUTING_LOAD_FACTOR = 0.78
ROUTING_POLICIES: tuple[Policy, ...] = ("static_shares", "power_of_two", "adaptive_limit")

MIXED_LOADS = {
    "zoutkoepel": (
        LoadClass("check", 0.1, 0.5, 2.0, 0.35),
        LoadClass("survey", 0.5, 2.0, 10.0, 0.10),
        LoadClass("model", 8.0, 120.0, 600.0, 0.45, burst=24),
    ),
    "sombreretes": (
        LoadClass("quote", 0.06, 0.3, 1.0, 0.45),
        LoadClass("survey", 0.4, 5.0, 30.0, 0.15),
        LoadClass("draught", 5.0, 60.0, 300.0, 0.30, burst=16),
    ),
}
"""Loads of 90 % of the slots by deployment, with long requests in bursts."""


def run() -> Iterable[dict[str, Any]]:
    """Yield the measures of the simulations, then those of an entry daemon, which run longest."""
    yield from run_simulations()
    yield from measure_entry()


def run_simulations() -> Iterable[dict[str, Any]]:
    """Yield the measures of the request simulations."""
    for deployment, classes in MIXED_LOADS.items():
        for seed in SEEDS:
            yield from _measure_mixed_load(
                deployment, Scenario(classes, duration_s=MIXED_LOAD_S), seed
            )
            yield from _measure_goodput(deployment, classes[0], seed)
        yield from _measure_routing(deployment, classes, SEEDS[0])


def _measure_mixed_load(deployment: str, scenario: Scenario, seed: int) -> Iterable[dict[str, Any]]:
    measured = simulate_requests(scenario, "power_of_two", seed)
    first_come = simulate_requests(scenario, "first_come", seed)
    baseline = "first come first served with first fit"
    for share, name in ((0.5, "p50"), (0.99, "p99")):
        values = measured.percentile_ms(share), first_come.percentile_ms(share)
        yield _row(f"ordinary_latency_{name}_ms", "ms", baseline, values, seed, deployment)
    shares = measured.within_target_share, first_come.within_target_share
    yield _row("ordinary_within_target_share", "share", baseline, shares, seed, deployment)


def _measure_goodput(
    deployment: str, ordinary_class: LoadClass, seed: int
) -> Iterable[dict[str, Any]]:
    def goodput_per_s(share: float) -> float:
        scenario = Scenario((replace(ordinary_class, share=share),), duration_s=15.0)
        return simulate_requests(scenario, "power_of_two", seed).within_target / scenario.duration_s

    values = goodput_per_s(2.0), goodput_per_s(1.0)
    baseline = "goodput at full load"
    yield _row(
        "ordinary_goodput_at_twice_capacity_per_s", "1/s", baseline, values, seed, deployment
    )


def _measure_routing(
    deployment: str, classes: tuple[LoadClass, ...], seed: int
) -> Iterable[dict[str, Any]]:
    """Compare routing policies at 70 % of capacity with slow minions, which only load reveals."""
    reduced_classes = tuple(replace(c, share=c.share * ROUTING_LOAD_FACTOR) for c in classes)
    scenario = Scenario(reduced_classes, duration_s=30.0, slow_minions=3, slow_factor=2.0)
    for entries in ENTRY_COUNTS:
        results = {
            p: simulate_requests(replace(scenario, entries=entries), p, seed)
            for p in ROUTING_POLICIES
        }
        static_shares = results["static_shares"]
        for policy, result in results.items():
            values = result.percentile_ms(0.99), static_shares.percentile_ms(0.99)
            yield {
                **_row("routing_latency_p99_ms", "ms", "static shares", values, seed, deployment),
                "policy": policy,
                "entries": entries,
                **_routing_shares(result),
            }


def _routing_shares(result: RequestSimulationResult) -> dict[str, float]:
    return {
        "within_target_share": round(result.within_target_share, 5),
        "refused_by_minions_share": round(result.refused_by_minions / max(1, result.placed), 5),
    }


def _row(
    measure: str,
    unit: str,
    baseline: str,
    values: tuple[float, float],
    seed: int,
    deployment: str,
) -> dict[str, Any]:
    value, baseline_value = values
    return {
        "measure": measure,
        "value": round(value, 4),
        "unit": unit,
        "baseline": baseline,
        "baseline_value": round(baseline_value, 4),
        "ratio": round(value / baseline_value, 4) if baseline_value else None,
        "seed": seed,
        "deployment": deployment,
    }

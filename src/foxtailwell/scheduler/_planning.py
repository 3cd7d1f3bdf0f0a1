"""The planning loop: one plan over all zones, carried out for the zones held."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

import anyio

from foxtailwell.adapters.events import JOB_FAILED, PLAN_FAILED
from foxtailwell.adapters.logs import log_event
from foxtailwell.core import (
    ClusterView,
    Decision,
    FailJob,
    Job,
    JobState,
    Plan,
    ZoneAllocation,
    without_expired_jobs,
)
from foxtailwell.core.errors import FoxtailwellError
from foxtailwell.scheduler._mutations import fail_job, remove_expired_jobs
from foxtailwell.scheduler._state import SchedulerState, now_unix_ms, shard_key

__all__ = ["Planner", "cluster_view", "make_plan", "run_planning"]

Planner = Callable[[ClusterView], Plan]

SHORTEST_INTERVAL_S = 0.05
DECIDED_INTERVAL_S = 0.2
"""Interval while decisions are open: a start may be delayed by its backoff or by old evidence."""

WAITING_INTERVAL_S = 1.0
IDLE_INTERVAL_S = 5.0
EXPIRY_INTERVAL_S = 60.0


async def run_planning(state: SchedulerState, planner: Planner) -> None:
    """Plan after every change and hand the decisions to the zones held, until the stop."""
    expired_s = time.monotonic()
    while not state.stop.is_set():
        events = state.change_events()
        if state.executors and state.is_loaded:
            await _plan_once(state, planner)
            if time.monotonic() - expired_s >= EXPIRY_INTERVAL_S:
                expired_s = time.monotonic()
                await _expire(state)
        await anyio.sleep(SHORTEST_INTERVAL_S)
        await state.wait_for_change(_interval_s(state.plan), events)


def _interval_s(plan: Plan) -> float:
    if plan.decisions:
        return DECIDED_INTERVAL_S
    return WAITING_INTERVAL_S if plan.waiting else IDLE_INTERVAL_S


async def make_plan(state: SchedulerState, planner: Planner) -> Plan:
    """Return a plan of the present view.

    The planner runs in a thread, so that a large fleet does not delay commands and renewals.
    """
    view = cluster_view(state)
    return await anyio.to_thread.run_sync(planner, view)


async def _plan_once(state: SchedulerState, planner: Planner) -> None:
    begun_s = time.perf_counter()
    try:
        state.plan = await make_plan(state, planner)
    except Exception as error:
        # Every scheduler plans from the same view, so a fault of the planner would end them all,
        # and running gangs would lose their renewals.
        log_event(PLAN_FAILED, error=repr(error))
        state.plan = Plan()
    state.plan_ms = (time.perf_counter() - begun_s) * 1000
    by_zone: dict[str, list[Decision]] = {}
    failures = []
    for decision in state.plan.decisions:
        if isinstance(decision, FailJob):
            failures.append(decision)
        else:
            by_zone.setdefault(decision.zone, []).append(decision)
    for zone, decisions in by_zone.items():
        executor = state.executors.get(zone)
        if executor is not None:
            executor.submit(decisions)
    if failures and _is_first(state):
        await _fail(state, failures)


def _is_first(state: SchedulerState) -> bool:
    """Return whether this scheduler does the work that belongs to no zone."""
    zones = state.known_zones()
    return bool(zones) and zones[0] in state.executors


def cluster_view(state: SchedulerState) -> ClusterView:
    """Return what a plan depends on, with the gangs that the zones held know already."""
    allocations = dict(state.allocations)
    held: set[str] = set()
    for zone, executor in state.executors.items():
        gangs = executor.gangs()
        held |= set(gangs)
        # The executor knows its gangs before the watch shows them.
        base = allocations.get(zone, ZoneAllocation(zone=zone))
        allocations[zone] = replace(base, gangs=gangs)
    jobs = tuple(_as_held(j, held) for j in state.jobs() if not j.state.is_final)
    workers = tuple(r for r in state.view.instances.values() if r.role == "worker")
    now = now_unix_ms()
    return ClusterView(
        now,
        state.view.configuration,
        workers,
        jobs,
        allocations,
        state.run_times.predict(jobs, now),
        state.worker_health.failures(),
    )


def _as_held(job: Job, held: set[str]) -> Job:
    is_old = job.state is JobState.WAITING and job.id in held
    return replace(job, state=JobState.PREPARING) if is_old else job


async def _fail(state: SchedulerState, failures: list[FailJob]) -> None:
    for failure in failures:
        mutation = fail_job(failure.job_id, now_unix_ms(), failure.reason)
        try:
            await state.job_documents.apply(shard_key(failure.job_id), mutation)
        except FoxtailwellError:
            # The next plan repeats the decision.
            return
        log_event(JOB_FAILED, job=failure.job_id, reason=failure.reason)


async def _expire(state: SchedulerState) -> None:
    if not _is_first(state):
        return
    now = now_unix_ms()
    for key, shard in list(state.shards.items()):
        if without_expired_jobs(shard, now) is not shard:
            try:
                await state.job_documents.apply(key, remove_expired_jobs(now))
            except FoxtailwellError:
                return

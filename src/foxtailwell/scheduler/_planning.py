"""Planning loop of the scheduler.

Every scheduler that holds a zone plans for all zones from the same documents, but only passes on
the decisions for the zones that it holds.
"""

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

MIN_INTERVAL_S = 0.05
"""Delay after each plan, in which further changes are collected for the next one."""

PENDING_INTERVAL_S = 0.2
"""Interval while the newest plan has decisions. An executor skips a start during its backoff or
while the evidence for the configuration is too old, so the start must be decided again."""

WAITING_INTERVAL_S = 1.0
IDLE_INTERVAL_S = 5.0
EXPIRY_INTERVAL_S = 60.0


async def run_planning(state: SchedulerState, planner: Planner) -> None:
    """Plan after every change and pass decisions to the executors, until the scheduler stops.

    The job documents are also cleaned of expired jobs here, once per `EXPIRY_INTERVAL_S`.
    """
    last_expiry_s = time.monotonic()
    while not state.stop.is_set():
        events = state.change_events()
        if state.executors and state.is_loaded:
            await _plan_once(state, planner)
            if time.monotonic() - last_expiry_s >= EXPIRY_INTERVAL_S:
                last_expiry_s = time.monotonic()
                await _remove_expired(state)
        await anyio.sleep(MIN_INTERVAL_S)
        await state.wait_for_change(_interval_s(state.plan), events)


def _interval_s(plan: Plan) -> float:
    if plan.decisions:
        return PENDING_INTERVAL_S
    return WAITING_INTERVAL_S if plan.waiting else IDLE_INTERVAL_S


async def make_plan(state: SchedulerState, planner: Planner) -> Plan:
    """Return a plan for the current cluster view.

    The planner runs in a worker thread, so that a long computation for a large fleet does not delay
    commands and lease renewals.
    """
    view = cluster_view(state)
    return await anyio.to_thread.run_sync(planner, view)


async def _plan_once(state: SchedulerState, planner: Planner) -> None:
    started_s = time.perf_counter()
    try:
        state.plan = await make_plan(state, planner)
    except Exception as error:
        # Every scheduler plans from the same view, so an error of the planner would terminate all
        # schedulers, and the task leases of running gangs would expire.
        log_event(PLAN_FAILED, error=repr(error))
        state.plan = Plan()
    state.plan_ms = (time.perf_counter() - started_s) * 1000
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
    if failures and _is_first_zone_holder(state):
        await _fail_jobs(state, failures)


def _is_first_zone_holder(state: SchedulerState) -> bool:
    """Return whether this scheduler does the work that belongs to no zone, such as failing jobs."""
    zones = state.known_zones()
    return bool(zones) and zones[0] in state.executors


def cluster_view(state: SchedulerState) -> ClusterView:
    """Return the input for the planner, including gangs that the watch has not delivered yet."""
    allocations = dict(state.allocations)
    started_jobs: set[str] = set()
    for zone, executor in state.executors.items():
        gangs = executor.gangs()
        started_jobs |= set(gangs)
        # The executor knows its gangs before the watch delivers their documents.
        base = allocations.get(zone, ZoneAllocation(zone=zone))
        allocations[zone] = replace(base, gangs=gangs)
    jobs = tuple(_with_known_gang(j, started_jobs) for j in state.jobs() if not j.state.is_final)
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


def _with_known_gang(job: Job, started_jobs: set[str]) -> Job:
    is_outdated = job.state is JobState.WAITING and job.id in started_jobs
    return replace(job, state=JobState.PREPARING) if is_outdated else job


async def _fail_jobs(state: SchedulerState, failures: list[FailJob]) -> None:
    for failure in failures:
        mutation = fail_job(failure.job_id, now_unix_ms(), failure.reason)
        try:
            await state.job_documents.apply(shard_key(failure.job_id), mutation)
        except FoxtailwellError:
            # The next plan repeats the decision.
            return
        log_event(JOB_FAILED, job=failure.job_id, reason=failure.reason)


async def _remove_expired(state: SchedulerState) -> None:
    if not _is_first_zone_holder(state):
        return
    now = now_unix_ms()
    for key, shard in list(state.shards.items()):
        if without_expired_jobs(shard, now) is not shard:
            try:
                await state.job_documents.apply(key, remove_expired_jobs(now))
            except FoxtailwellError:
                return

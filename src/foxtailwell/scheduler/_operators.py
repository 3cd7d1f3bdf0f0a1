"""HTTP interface of the scheduler for operators: health, status, explanations and metrics."""

from __future__ import annotations

import time
from collections import Counter

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailwell.adapters.error_responses import with_error_responses
from foxtailwell.adapters.http_server import json_response
from foxtailwell.adapters.metrics import Sample, metrics_route, process_samples
from foxtailwell.core import EVIDENCE_LIMIT_S, JobState
from foxtailwell.core.errors import UnknownJobError
from foxtailwell.fleet import make_fleet_samples
from foxtailwell.scheduler._fragmentation import fragmentation_route
from foxtailwell.scheduler._planning import Planner, make_plan
from foxtailwell.scheduler._state import SchedulerState

__all__ = ["make_operators_app"]


def make_operators_app(state: SchedulerState, planner: Planner) -> Starlette:
    """Return the application with health, status, explanations, fragmentation and metrics.

    Args:
        state: State that the tasks of the scheduler share.
        planner: Planner for explanations of a scheduler that holds no zone and therefore has no
            current plan.
    """

    async def healthz(_request: Request) -> Response:
        return json_response({"status": "alive"})

    async def readyz(_request: Request) -> Response:
        missing = _unmet_conditions(state)
        return json_response(
            {"status": "not ready" if missing else "ready", "missing": missing},
            503 if missing else 200,
        )

    async def status(_request: Request) -> Response:
        return json_response(_status(state))

    async def explain(request: Request) -> Response:
        job_id = request.path_params["id"]
        job = state.find_job(job_id)
        if job is None:
            raise UnknownJobError(job_id)
        plan = state.plan if state.executors else await make_plan(state, planner)
        waiting = plan.waiting.get(job_id) if job.state is JobState.WAITING else None
        return json_response(
            {
                "id": job_id,
                "state": job.state,
                "attempt": job.attempt,
                "zone": job.zone,
                "waits_for": waiting,
                "members": _members(state, job_id),
                "history": job.history,
            }
        )

    return Starlette(
        routes=[
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/v1/status", status),
            Route("/v1/jobs/{id}/explain", with_error_responses(explain)),
            fragmentation_route(state),
            metrics_route(
                process_samples,
                make_fleet_samples(state.view, state.store),
                lambda: _samples(state),
            ),
        ]
    )


def _unmet_conditions(state: SchedulerState) -> list[str]:
    found = []
    if state.stop.is_set():
        found.append("the daemon is stopping")
    if not state.is_loaded:
        found.append("jobs and allocations were not read yet")
    if not state.view.instances:
        found.append("the instance list was not read yet")
    return found


def _samples(state: SchedulerState) -> list[Sample]:
    phases = Counter(
        (zone, active.run.phase.value)
        for zone, executor in state.executors.items()
        for active in executor.active_gangs.values()
    )
    found = [
        Sample(
            "gauge",
            "foxtailwell_zones_held",
            "Zones that this scheduler holds",
            len(state.executors),
        ),
        Sample("gauge", "foxtailwell_plan_ms", "Time of the newest plan", state.plan_ms),
        Sample(
            "counter",
            "foxtailwell_worker_calls_total",
            "Calls of workers",
            state.worker_calls.calls,
        ),
        Sample(
            "counter",
            "foxtailwell_sent_bytes_total",
            "Control bytes sent",
            state.worker_calls.bytes_sent,
            {"to": "workers"},
        ),
    ]
    found += [
        Sample(
            "gauge", "foxtailwell_gangs", "Gangs by zone and phase", count, {"zone": z, "phase": p}
        )
        for (z, p), count in sorted(phases.items())
    ]
    found += [
        Sample("gauge", "foxtailwell_jobs", "Jobs by state", count, {"state": name})
        for name, count in sorted(Counter(job.state.value for job in state.jobs()).items())
    ]
    return found


def _members(state: SchedulerState, job_id: str) -> list[dict[str, object]]:
    for executor in state.executors.values():
        active = executor.active_gangs.get(job_id)
        if active is not None:
            return [
                {"worker": m.worker, "task": m.task, "detail": m.detail} for m in active.run.members
            ]
    return []


def _status(state: SchedulerState) -> dict[str, object]:
    evidence = state.view.evidence
    age_s = time.monotonic() - evidence.at_monotonic_s if evidence else None
    return {
        "instance": state.instance,
        "revision": state.view.configuration.revision,
        "evidence_age_s": age_s,
        "may_start": age_s is not None and age_s <= EVIDENCE_LIMIT_S,
        "store_calls": state.store.calls,
        "worker_calls": state.worker_calls.calls,
        "plan_ms": state.plan_ms,
        "jobs": Counter(job.state.value for job in state.jobs()),
        "zones": {
            zone: {
                "term": executor.term,
                "gangs": Counter(a.run.phase.value for a in executor.active_gangs.values()),
                "starting": len(executor.starting),
            }
            for zone, executor in state.executors.items()
        },
    }

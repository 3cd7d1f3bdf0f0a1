"""Start and shutdown of the scheduler daemon."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskStatus

from foxtailwell.adapters.events import DAEMON_STARTED, DAEMON_STOPPED, DAEMON_STOPPING
from foxtailwell.adapters.group_commit import open_group_committer
from foxtailwell.adapters.http_server import serve_http
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.settings import Settings
from foxtailwell.adapters.store import open_store
from foxtailwell.adapters.workers import WorkerCallCounts
from foxtailwell.core import JobShard, ZoneAllocation, plan
from foxtailwell.fleet import FleetView, run_fleet
from foxtailwell.scheduler._leases import manage_zones
from foxtailwell.scheduler._operators import make_operators_app
from foxtailwell.scheduler._planning import Planner, run_planning
from foxtailwell.scheduler._state import SchedulerState, follow_documents

__all__ = ["run_scheduler", "run_scheduler_tasks"]

STOP_GRACE_S = 2.0
"""Maximum time that the operators' interface waits for open requests when the daemon stops."""


async def run_scheduler(settings: Settings) -> None:
    """Run the scheduler until SIGTERM or SIGINT, then release its zones and return."""
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, stop)
        await run_scheduler_tasks(settings, stop)
        group.cancel_scope.cancel()


async def _stop_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()


async def run_scheduler_tasks(
    settings: Settings,
    stop: anyio.Event,
    *,
    planner: Planner = plan,
    view: FleetView | None = None,
    task_status: TaskStatus[SchedulerState] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run all tasks of the scheduler until the stop event is set and the zones are released.

    Args:
        settings: Settings of the instance.
        stop: Set by the caller to shut down.
        planner: Decides which gangs start and stop.
        view: View of the fleet that the caller keeps current; by default the fleet tasks run here.
        task_status: Receives the shared state once the operators' interface listens.
    """
    async with (
        _open_state(settings, stop, view or FleetView()) as state,
        anyio.create_task_group() as group,
    ):
        app = make_operators_app(state, planner)
        stop_serving = anyio.Event()
        state.operators_port = await group.start(
            lambda task_status: serve_http(
                app,
                settings.operators.host,
                settings.operators.port,
                stop_serving,
                grace_s=STOP_GRACE_S,
                task_status=task_status,
            )
        )
        log_event(DAEMON_STARTED, operators_port=state.operators_port)
        task_status.started(state)
        if view is None:
            await group.start(run_fleet, settings, "scheduler", state.store, state.view)
        group.start_soon(follow_documents, state)
        group.start_soon(run_planning, state, planner)
        await _manage_zones_until_stopped(state)
        stop_serving.set()
        group.cancel_scope.cancel()
    log_event(DAEMON_STOPPED)


async def _manage_zones_until_stopped(state: SchedulerState) -> None:
    async with anyio.create_task_group() as group:

        async def announce_stop() -> None:
            await state.stop.wait()
            log_event(DAEMON_STOPPING, zones=sorted(state.executors))
            state.notify()

        group.start_soon(announce_stop)
        await manage_zones(state)


@asynccontextmanager
async def _open_state(
    settings: Settings, stop: anyio.Event, view: FleetView
) -> AsyncIterator[SchedulerState]:
    timeout_s = settings.platform.store_timeout_ms / 1000
    async with (
        open_store(settings.platform.store_url, timeout_s=timeout_s) as store,
        open_group_committer(store, JobShard, JobShard) as jobs,
        open_group_committer(store, ZoneAllocation, ZoneAllocation) as allocations,
    ):
        yield SchedulerState(
            f"{settings.instance}/scheduler",
            settings.availability_zone,
            store,
            WorkerCallCounts(),
            view,
            jobs,
            allocations,
            stop=stop,
        )

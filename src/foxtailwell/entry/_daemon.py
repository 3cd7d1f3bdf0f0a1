"""The entry daemon: wires its components together, starts its tasks and servers, and shuts it down.

Belongs to the model of `core`, `fleet` and `scheduler`.
"""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup, TaskStatus
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import BaseRoute, Route

from foxtailwell.adapters.events import (
    DAEMON_DRAINING,
    DAEMON_STARTED,
    DAEMON_STOPPED,
    DAEMON_STOPPING,
)
from foxtailwell.adapters.group_commit import open_group_committer
from foxtailwell.adapters.http_server import serve_http
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.metrics import QueueLength
from foxtailwell.adapters.peers import Load
from foxtailwell.adapters.settings import Endpoint, Settings
from foxtailwell.adapters.store import StoreClient, open_store
from foxtailwell.core import JobShard
from foxtailwell.entry._claim_results import ClaimResults, make_claim_handler
from foxtailwell.entry._claim_writer import open_claim_writer
from foxtailwell.entry._dispatch import Dispatcher
from foxtailwell.entry._jobs_api import job_routes
from foxtailwell.entry._jobs_view import JobsView, follow_jobs
from foxtailwell.entry._minion_pool import MinionPool
from foxtailwell.entry._request_outcomes import RequestOutcomes
from foxtailwell.entry._requests import RequestRunner, make_request_ids
from foxtailwell.entry._requests_api import RequestsApi
from foxtailwell.fleet import ISOLATION_TIMEOUT_S, FleetView

__all__ = ["EntryPorts", "RoutesFactory", "run_entry"]

READINESS_WITHDRAWAL_S = 1.0
"""Time from reporting not ready to refusing connections, so that load balancers stop sending
requests first."""

REFRESH_INTERVAL_S = 0.5
LOAD_INTERVAL_S = 0.2
PROGRESS_INTERVAL_S = 1.0

RunFleet = Callable[..., Awaitable[Any]]


class RoutesFactory(Protocol):
    """Creates the routes of the operators' interface, see `operator_routes`."""

    def __call__(
        self,
        store: StoreClient,
        view: FleetView,
        *,
        queue: Callable[[], Iterable[QueueLength]],
        outcomes: RequestOutcomes,
    ) -> Sequence[BaseRoute]:
        """Return routes that read the given store, view, queue lengths and outcomes."""


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """TCP ports on which a started entry listens for callers and for operators."""

    callers: int
    operators: int


async def run_entry(
    settings: Settings,
    *,
    run_fleet: RunFleet | None = None,
    view: FleetView | None = None,
    operator_routes: RoutesFactory | None = None,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[EntryPorts] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the entry daemon until SIGTERM or the stop event, then shut down gracefully.

    Args:
        settings: Settings of the instance.
        run_fleet: Task that keeps the view up to date; None if the caller of this function does.
        view: View of the fleet; a new one by default.
        operator_routes: Creates the routes of the operators' interface; None serves only the
            health checks there.
        stop: Event that stops the daemon when set, like SIGTERM and SIGINT.
        task_status: Reports the ports once the daemon listens.

    Raises:
        ValueError: The settings have no endpoint for callers.
    """
    if settings.callers is None:
        raise ValueError("the entry needs an endpoint for callers; set callers in the settings")
    view = view if view is not None else FleetView()
    stop = stop if stop is not None else anyio.Event()
    async with AsyncExitStack() as stack:
        timeout_s = settings.platform.store_timeout_ms / 1000
        store = await stack.enter_async_context(
            open_store(settings.platform.store_url, timeout_s=timeout_s)
        )
        clock, rng = time.monotonic, random.Random()
        # The instance list identifies a daemon by its instance and role.
        own_id = f"{settings.instance}/entry"
        pool = MinionPool(view, own_id, settings.availability_zone, clock, rng)
        stack.push_async_callback(pool.aclose)
        claims = await stack.enter_async_context(open_claim_writer(store, lambda: pool.entry_count))
        results = ClaimResults()
        dispatcher = Dispatcher(pool, clock)
        runner = RequestRunner(view, own_id, dispatcher, pool, claims, results, clock)
        outcomes = RequestOutcomes()
        api = RequestsApi(view, runner, make_request_ids(settings.instance), clock, outcomes)
        group = await stack.enter_async_context(anyio.create_task_group())
        if run_fleet is not None:
            handler = make_claim_handler(results)
            await group.start(_make_fleet_task(run_fleet, settings, store, view, handler))
        group.start_soon(_refresh_pool, view, pool, dispatcher)
        group.start_soon(_report_load, view, pool, dispatcher)
        group.start_soon(api.watch_callers)
        committer = await stack.enter_async_context(open_group_committer(store, JobShard, JobShard))
        jobs = JobsView()
        group.start_soon(follow_jobs, store, jobs)
        routes = job_routes(committer, jobs, view)
        callers_app = _make_callers_app(view, api, routes)
        extra_routes: Sequence[BaseRoute] = ()
        if operator_routes is not None:
            queue = _make_queue_lengths(dispatcher)
            extra_routes = operator_routes(store, view, queue=queue, outcomes=outcomes)
        operators_app = Starlette(
            routes=[
                *_health_routes(view, api),
                *extra_routes,
            ]
        )
        servers = _Servers(group, settings.shutdown_grace_ms / 1000)
        ports = EntryPorts(
            await servers.start(callers_app, settings.callers),
            await servers.start(operators_app, settings.operators),
        )
        group.start_soon(_stop_on_signal, stop)
        log_event(DAEMON_STARTED, role="entry", callers_port=ports.callers)
        task_status.started(ports)
        await stop.wait()
        await _shut_down(api, servers)
        group.cancel_scope.cancel()
    log_event(DAEMON_STOPPED, role="entry")


class _Servers:
    """HTTP servers of the daemon; they stop one after the other, in the order of their start."""

    def __init__(self, group: TaskGroup, grace_s: float) -> None:
        self._group = group
        self._grace_s = grace_s
        self._running: list[tuple[anyio.Event, anyio.Event]] = []

    async def start(self, app: Starlette, endpoint: Endpoint) -> int:
        stop, done = anyio.Event(), anyio.Event()

        async def serve(*, task_status: TaskStatus[int]) -> None:
            await serve_http(
                app,
                endpoint.host,
                endpoint.port,
                stop,
                grace_s=self._grace_s,
                task_status=task_status,
            )
            done.set()

        self._running.append((stop, done))
        return int(await self._group.start(serve))

    async def stop_all(self) -> None:
        """Stop each server: refuse new connections and wait for the responses in progress."""
        for stop, done in self._running:
            stop.set()
            await done.wait()


async def _shut_down(api: RequestsApi, servers: _Servers) -> None:
    log_event(DAEMON_STOPPING, role="entry", active_count=api.active_count)
    api.is_draining = True
    async with anyio.create_task_group() as group:
        group.start_soon(_log_progress, api)
        await anyio.sleep(READINESS_WITHDRAWAL_S)
        await servers.stop_all()
        group.cancel_scope.cancel()


async def _log_progress(api: RequestsApi) -> None:
    while True:
        await anyio.sleep(PROGRESS_INTERVAL_S)
        log_event(DAEMON_DRAINING, role="entry", active_count=api.active_count)


async def _stop_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()


def _make_fleet_task(
    run_fleet: RunFleet, settings: Settings, store: StoreClient, view: FleetView, handler: Any
) -> Callable[..., Coroutine[Any, Any, None]]:
    async def run(*, task_status: TaskStatus[Any]) -> None:
        await run_fleet(
            settings, "entry", store, view, claim_handler=handler, task_status=task_status
        )

    return run


async def _refresh_pool(view: FleetView, pool: MinionPool, dispatcher: Dispatcher) -> None:
    """Apply each change of the view to the pool and the queue, until cancelled.

    It also runs at an interval, because the end of a minion's ejection does not change the view.
    """
    while True:
        dispatcher.configure(view.configuration.classes.values())
        pool.refresh()
        dispatcher.dispatch()
        await pool.close_removed()
        with anyio.move_on_after(REFRESH_INTERVAL_S):
            await view.changed.wait()


async def _report_load(view: FleetView, pool: MinionPool, dispatcher: Dispatcher) -> None:
    while True:
        queue = dispatcher.queue
        view.own_load = Load(queue.waiting, queue.running, pool.loads())
        await anyio.sleep(LOAD_INTERVAL_S)


def _make_queue_lengths(dispatcher: Dispatcher) -> Callable[[], list[QueueLength]]:
    def lengths() -> list[QueueLength]:
        return [
            QueueLength(work_class, account, count)
            for (account, work_class), count in sorted(dispatcher.queue.lengths().items())
        ]

    return lengths


def _make_callers_app(
    view: FleetView, api: RequestsApi, extra_routes: Sequence[BaseRoute]
) -> Starlette:
    return Starlette(
        routes=[
            Route("/v1/requests/{work_class}", _AsgiEndpoint(api), methods=["POST"]),
            *_health_routes(view, api),
            *extra_routes,
        ]
    )


class _AsgiEndpoint:
    """Endpoint that the router calls as an ASGI application instead of as a request handler."""

    def __init__(self, api: RequestsApi) -> None:
        self._api = api

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        await self._api(scope, receive, send)


def _health_routes(view: FleetView, api: RequestsApi) -> list[BaseRoute]:
    async def is_healthy(_: Request) -> Response:
        return JSONResponse({"status": "healthy"})

    async def is_ready(_: Request) -> Response:
        reason = _not_ready_reason(view, api)
        body = {"status": "not_ready" if reason else "ready", "reason": reason}
        return JSONResponse(body, 503 if reason else 200)

    return [Route("/healthz", is_healthy), Route("/readyz", is_ready)]


def _not_ready_reason(view: FleetView, api: RequestsApi) -> str:
    if api.is_draining:
        return "shutting down"
    if not view.configuration.revision:
        return "no configuration yet"
    if view.is_isolated(time.monotonic()):
        return f"no contact with the store or a peer for {ISOLATION_TIMEOUT_S:g} s"
    return ""

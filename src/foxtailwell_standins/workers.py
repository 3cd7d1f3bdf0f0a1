"""Stand-in for the platform's workers: task leases, fencing, checkpoints, usage and failures.

It belongs to the model of `foxtailwell.core`. All workers of a process share one HTTP application,
and each listens on its own port. Times are readings of the monotonic clock, which all processes of
a machine share, so tests can compare them. Task states that depend on time are updated when a call
reads them. A task whose payload has `is_fatal` restarts its worker as soon as it starts to work,
and the call that started it gets no response.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import msgspec
import uvicorn
from anyio.abc import TaskStatus
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailwell.adapters.workers import (
    CommandRefusal,
    SyncReply,
    SyncRequest,
    TaskReport,
    WorkerCommand,
)
from foxtailwell.core import InstanceRecord, Operation, TaskState

__all__ = [
    "WorkRecord",
    "WorkerFailures",
    "WorkerFleet",
    "WorkerState",
    "make_worker_records",
    "make_workers_app",
    "restart_worker",
    "serve_workers",
]

ENDED_TASKS_KEPT = 500
"""Number of ended tasks that a worker still reports, so that a new scheduler learns outcomes."""

FAIL_AFTER_S = 0.05
"""Run time of a task before it fails on a worker with `fail_tasks`."""


@dataclass(frozen=True, slots=True)
class WorkerFailures:
    """Injected failures of one worker; `POST /control` takes the same fields.

    Attributes:
        fail_tasks: Whether every task fails `FAIL_AFTER_S` after it starts to work.
        refuse_prepare: Whether every PREPARE command is refused.
        ignore_checkpoint: Whether CHECKPOINT commands have no effect.
        lose_responses: Number of coming calls that take effect but get no response.
        unreachable: Whether calls have no effect and get no response until the caller times out.
        delay_s: Delay before a call takes effect, even if the caller has timed out by then.
        usage_lag_s: Time after the start of work from which usage is reported.
    """

    fail_tasks: bool = False
    refuse_prepare: bool = False
    ignore_checkpoint: bool = False
    lose_responses: int = 0
    unreachable: bool = False
    delay_s: float = 0.0
    usage_lag_s: float = 3.0


@dataclass(slots=True)
class WorkRecord:
    """Events of one task on a worker; times are 0 until the event happens."""

    job_id: str
    attempt: int
    member: int
    worker: str
    zone: str
    accelerators: tuple[int, ...]
    prepared_s: float
    started_s: float = 0.0
    first_work_s: float = 0.0
    stopped_s: float = 0.0
    state: TaskState = TaskState.PREPARED


@dataclass(slots=True)
class _Task:
    record: WorkRecord
    command: WorkerCommand
    lease_until_s: float
    run_s: float
    fail_after_s: float | None
    progress_s: float
    is_fatal: bool = False
    speed: float = 1.0
    speed_since_s: float = 0.0
    checkpoint: str = ""
    detail: str = ""

    @property
    def is_live(self) -> bool:
        return self.record.state in (TaskState.PREPARED, TaskState.STARTED, TaskState.RUNNING)

    def progress_at(self, now_s: float) -> float:
        if not self.record.first_work_s:
            return self.progress_s
        return self.progress_s + (now_s - self.speed_since_s) * self.speed

    def end(self, state: TaskState, at_s: float, detail: str = "") -> None:
        self.progress_s = self.progress_at(at_s)
        self.speed_since_s = at_s
        self.record.state = state
        self.record.stopped_s = at_s
        self.detail = detail


@dataclass(slots=True)
class WorkerState:
    """One worker with its tasks.

    Attributes:
        terms: Highest term of a scheduler by zone; calls with older terms are refused.
        attempts: Highest attempt by job; commands for older attempts are refused.
        tasks: Tasks by job, attempt and member.
    """

    record: InstanceRecord
    failures: WorkerFailures = field(default_factory=WorkerFailures)
    terms: dict[str, int] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    tasks: dict[tuple[str, int, int], _Task] = field(default_factory=dict)


@dataclass(slots=True)
class WorkerFleet:
    """All workers of the process.

    Attributes:
        by_port: Worker that listens on a port.
        checkpoints: Progress in seconds by checkpoint and member, shared by all workers.
        log: Every task that was prepared.
        calls: Number of synchronization calls to all workers.
    """

    workers: dict[str, WorkerState] = field(default_factory=dict)
    by_port: dict[int, str] = field(default_factory=dict)
    checkpoints: dict[tuple[str, int], float] = field(default_factory=dict)
    log: list[WorkRecord] = field(default_factory=list)
    calls: int = 0

    def refresh(self) -> None:
        """Update the states of all tasks that depend on time."""
        for worker in self.workers.values():
            _refresh(worker, time.monotonic())


def _refresh(worker: WorkerState, now_s: float) -> None:
    for task in worker.tasks.values():
        if task.is_live:
            _refresh_task(task, worker.failures, now_s)
    ended = [key for key, task in worker.tasks.items() if not task.is_live]
    for key in ended[:-ENDED_TASKS_KEPT]:
        del worker.tasks[key]


def _refresh_task(task: _Task, failures: WorkerFailures, now_s: float) -> None:
    record = task.record
    ends: list[tuple[float, TaskState, str]] = [
        (task.lease_until_s, TaskState.EXPIRED, "task lease expired")
    ]
    if record.state is TaskState.PREPARED:
        valid_until_s = record.prepared_s + task.command.valid_s
        ends.append((valid_until_s, TaskState.EXPIRED, "preparation expired before the start"))
    if record.state is TaskState.RUNNING:
        remaining_s = (task.run_s - task.progress_s) / max(task.speed, 1e-6)
        ends.append((task.speed_since_s + remaining_s, TaskState.DONE, ""))
        fail_after_s = FAIL_AFTER_S if failures.fail_tasks else task.fail_after_s
        if fail_after_s is not None:
            ends.append((record.first_work_s + fail_after_s, TaskState.FAILED, "task failed"))
    at_s, state, detail = min(ends, key=lambda end: end[0])
    if at_s <= now_s:
        task.end(state, at_s, detail)


def _sync(fleet: WorkerFleet, worker: WorkerState, request: SyncRequest) -> SyncReply:
    now_s = time.monotonic()
    _refresh(worker, now_s)
    refused = []
    for command in request.commands:
        reason = _execute_command(fleet, worker, request.zone, command, now_s)
        if reason:
            refused.append(
                CommandRefusal(command.op, command.job_id, command.attempt, command.member, reason)
            )
    lease_until_s = min(request.renew_from_clock_s, now_s) + 30.0
    renewed = set(request.renew)
    for task in worker.tasks.values():
        if task.is_live and task.record.job_id in renewed:
            task.lease_until_s = max(task.lease_until_s, lease_until_s)
    reports = tuple(_report(task, worker.failures, now_s) for task in worker.tasks.values())
    return SyncReply(now_s, reports, tuple(refused))


def _execute_command(
    fleet: WorkerFleet, worker: WorkerState, zone: str, command: WorkerCommand, now_s: float
) -> str:
    if command.attempt < worker.attempts.get(command.job_id, 0):
        return "stale_attempt"
    worker.attempts[command.job_id] = command.attempt
    task = worker.tasks.get((command.job_id, command.attempt, command.member))
    if command.op is Operation.PREPARE:
        return "" if task else _prepare(fleet, worker, zone, command, now_s)
    if command.op is Operation.STOP:
        if task is None:
            _record_stop(worker, zone, command, now_s)
        elif task.is_live:
            task.end(TaskState.STOPPED, now_s)
        return ""
    if task is None or not task.is_live:
        # If the task has ended since, its report is the response to a repeated command.
        return "unknown_task" if task is None else ""
    return _OPERATIONS[command.op](fleet, worker, task, command, now_s)


def _prepare(
    fleet: WorkerFleet, worker: WorkerState, zone: str, command: WorkerCommand, now_s: float
) -> str:
    if worker.failures.refuse_prepare:
        return "refused_by_worker"
    busy = {i for t in worker.tasks.values() if t.is_live for i in t.record.accelerators}
    if busy & set(command.accelerators):
        return "accelerators_busy"
    if not set(command.accelerators) <= set(range(worker.record.accelerators)):
        return "no_such_accelerator"
    task = _new_task(worker, zone, command, now_s)
    task.progress_s = fleet.checkpoints.get((command.checkpoint, command.member), 0.0)
    worker.tasks[command.job_id, command.attempt, command.member] = task
    fleet.log.append(task.record)
    return ""


def _new_task(worker: WorkerState, zone: str, command: WorkerCommand, now_s: float) -> _Task:
    values = msgspec.json.decode(command.payload) if command.payload else {}
    record = WorkRecord(
        command.job_id,
        command.attempt,
        command.member,
        worker.record.id,
        zone,
        command.accelerators,
        now_s,
    )
    fail_after_s = values.get("fail_after_s")
    run_s = float(values.get("run_s", 1.0))
    is_fatal = bool(values.get("is_fatal"))
    return _Task(record, command, now_s + command.lease_s, run_s, fail_after_s, 0.0, is_fatal)


def _record_stop(worker: WorkerState, zone: str, command: WorkerCommand, now_s: float) -> None:
    """Record a STOP that arrived before its PREPARE, so that the PREPARE has no effect."""
    task = _new_task(worker, zone, replace(command, payload=""), now_s)
    task.end(TaskState.STOPPED, now_s)
    worker.tasks[command.job_id, command.attempt, command.member] = task


def _is_late(task: _Task, now_s: float) -> bool:
    return now_s - task.record.prepared_s > task.command.valid_s


def _start(
    fleet: WorkerFleet, worker: WorkerState, task: _Task, command: WorkerCommand, now_s: float
) -> str:
    if task.record.state is TaskState.PREPARED:
        if _is_late(task, now_s):
            task.end(TaskState.EXPIRED, now_s, "start arrived after the preparation expired")
            return "late"
        task.record.state = TaskState.STARTED
        task.record.started_s = now_s
    return ""


def _run(
    fleet: WorkerFleet, worker: WorkerState, task: _Task, command: WorkerCommand, now_s: float
) -> str:
    if task.record.state is TaskState.RUNNING:
        return ""
    if task.record.state is TaskState.PREPARED:
        return "not_started"
    if _is_late(task, now_s):
        task.end(TaskState.EXPIRED, now_s, "run arrived after the preparation expired")
        return "late"
    task.record.state = TaskState.RUNNING
    task.record.first_work_s = now_s
    task.speed_since_s = now_s
    if task.is_fatal:
        restart_worker(worker)
        worker.failures = replace(worker.failures, lose_responses=1)
    return ""


def _checkpoint(
    fleet: WorkerFleet, worker: WorkerState, task: _Task, command: WorkerCommand, now_s: float
) -> str:
    if task.record.state is TaskState.RUNNING and not worker.failures.ignore_checkpoint:
        fleet.checkpoints[command.checkpoint, command.member] = task.progress_at(now_s)
        task.checkpoint = command.checkpoint
    return ""


def _throttle(
    fleet: WorkerFleet, worker: WorkerState, task: _Task, command: WorkerCommand, now_s: float
) -> str:
    task.progress_s = task.progress_at(now_s)
    task.speed_since_s = now_s
    task.speed = command.throttle_share
    return ""


_OPERATIONS: dict[
    Operation, Callable[[WorkerFleet, WorkerState, _Task, WorkerCommand, float], str]
] = {
    Operation.START: _start,
    Operation.RUN: _run,
    Operation.CHECKPOINT: _checkpoint,
    Operation.THROTTLE: _throttle,
}


def _report(task: _Task, failures: WorkerFailures, now_s: float) -> TaskReport:
    record = task.record
    has_usage = record.state is TaskState.RUNNING and (
        now_s - record.first_work_s >= failures.usage_lag_s
    )
    return TaskReport(
        record.job_id,
        record.attempt,
        record.member,
        record.state,
        bool(record.first_work_s),
        task.checkpoint,
        task.speed if has_usage else 0.0,
        task.detail,
    )


def make_workers_app(fleet: WorkerFleet) -> Starlette:
    """Return the HTTP interface of all workers; the port of a call selects the worker.

    `POST /control` changes failures of the worker, or of the one that `worker` names; `restart`
    ends and discards its tasks. `GET /log` returns the tasks of all workers of the process.
    """

    def addressed_worker(request: Request) -> WorkerState:
        return fleet.workers[fleet.by_port[request.scope["server"][1]]]

    async def sync(request: Request) -> Response:
        worker = addressed_worker(request)
        fleet.calls += 1
        body = msgspec.json.decode(await request.body(), type=SyncRequest)
        if worker.failures.unreachable:
            await _wait_for_disconnect(request)
            return Response(status_code=503)
        if worker.failures.delay_s:
            await anyio.sleep(worker.failures.delay_s)
        highest_term = worker.terms.get(body.zone, 0)
        if body.term < highest_term:
            return _json({"term": highest_term}, 409)
        worker.terms[body.zone] = body.term
        reply = _sync(fleet, worker, body)
        if worker.failures.lose_responses > 0:
            remaining_count = worker.failures.lose_responses - 1
            worker.failures = replace(worker.failures, lose_responses=remaining_count)
            await _wait_for_disconnect(request)
        return _json(reply)

    async def control(request: Request) -> Response:
        values = msgspec.json.decode(await request.body())
        worker = fleet.workers.get(values.pop("worker", "")) or addressed_worker(request)
        if values.pop("restart", False):
            restart_worker(worker)
        worker.failures = replace(worker.failures, **values)
        return _json(worker.failures)

    async def log(request: Request) -> Response:
        fleet.refresh()
        return _json(fleet.log)

    return Starlette(
        routes=[
            Route("/v1/sync", sync, methods=["POST"]),
            Route("/control", control, methods=["POST"]),
            Route("/log", log, methods=["GET"]),
        ]
    )


async def _wait_for_disconnect(request: Request) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


def restart_worker(worker: WorkerState) -> None:
    """Stop and discard all tasks of a worker, as a restart of its process does."""
    now_s = time.monotonic()
    _refresh(worker, now_s)
    for task in worker.tasks.values():
        if task.is_live:
            task.end(TaskState.STOPPED, now_s, "worker restarted")
    worker.tasks.clear()
    worker.attempts.clear()


def make_worker_records(
    zones: list[str],
    *,
    per_zone: int,
    per_rack: int = 8,
    region: str = "region",
    accelerators: int = 8,
    cores: int = 128,
    memory_gb: int = 256,
) -> list[InstanceRecord]:
    """Return records of identical workers with an empty address.

    Each zone has `per_zone` workers in racks of `per_rack`.
    """
    return [
        InstanceRecord(
            f"{zone}-w{index}",
            "worker",
            zone,
            "",
            rack=f"{zone}-r{index // per_rack}",
            region=region,
            cores=cores,
            memory_gb=memory_gb,
            accelerators=accelerators,
        )
        for zone in zones
        for index in range(per_zone)
    ]


class _Server(uvicorn.Server):
    """HTTP server that leaves signal handling to the program."""

    def capture_signals(self) -> Any:
        """Return an empty context instead of installing uvicorn's signal handlers."""
        return contextlib.nullcontext()


async def serve_workers(
    fleet: WorkerFleet,
    records: list[InstanceRecord],
    *,
    task_status: TaskStatus[list[InstanceRecord]] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve workers on free ports until cancelled.

    Args:
        fleet: State of the workers.
        records: Records of the workers; their addresses are ignored.
        task_status: Receives the records with the addresses once all ports accept connections.
    """
    sockets = []
    listening = []
    for record in records:
        listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        port = listener.getsockname()[1]
        sockets.append(listener)
        listening.append(replace(record, address=f"127.0.0.1:{port}"))
        fleet.workers[record.id] = WorkerState(listening[-1])
        fleet.by_port[port] = record.id
    config = uvicorn.Config(
        make_workers_app(fleet),
        log_config=None,
        access_log=False,
        lifespan="off",
        ws="none",
        timeout_keep_alive=60,
        timeout_graceful_shutdown=1,
    )
    server = _Server(config)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, sockets)
        while not server.started:
            if server.should_exit:
                raise OSError("the server of the workers did not start; see its error in the log")
            await anyio.sleep(0.005)
        task_status.started(listening)


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status, media_type="application/json")

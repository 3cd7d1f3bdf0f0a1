"""Helpers for the scheduler's tests: a stand-in platform, and schedulers that run against it."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio

from foxtailwell.adapters.documents import decode_document, encode_document
from foxtailwell.adapters.http_client import open_http_client
from foxtailwell.adapters.settings import Endpoint, PlatformSettings, Settings
from foxtailwell.adapters.store import StoreClient, new_write_id, open_store
from foxtailwell.core import (
    ClientAccount,
    Configuration,
    GangSpec,
    InstanceRecord,
    Job,
    JobShard,
    JobState,
    WorkClass,
    ZoneAllocation,
    ZoneOut,
    cancel_jobs,
    job_id,
    job_shard,
    put_job,
)
from foxtailwell.scheduler._daemon import run_scheduler_tasks
from foxtailwell.scheduler._state import SchedulerState
from foxtailwell_standins.instance_list import InstanceListState, make_instance_list_app
from foxtailwell_standins.store import StoreState, make_store_app
from foxtailwell_standins.workers import (
    WorkerFailures,
    WorkerFleet,
    WorkRecord,
    make_worker_records,
    restart_worker,
    serve_workers,
)

CONFIGURATION = Configuration(
    revision=1,
    classes={
        "model": WorkClass("model", "job", 60_000, 0, idempotent=True),
        "survey": WorkClass("survey", "job", 60_000, 0, idempotent=False),
    },
    accounts={"zout": ClientAccount("zout")},
)
SCHEDULER_PROGRAM = "from foxtailwell.cli.scheduler import main; main()"


@dataclass
class Platform:
    """Stand-ins in the test process, and the scheduler processes that were started against them."""

    store_url: str
    instances_url: str
    store: StoreClient
    store_state: StoreState
    instances: InstanceListState
    fleet: WorkerFleet
    tmp_path: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def settings(self, instance: str, zone: str = "a") -> Settings:
        """Return settings of a scheduler; the operating system chooses its ports."""
        any_port = Endpoint("127.0.0.1", 0)
        platform = PlatformSettings(self.store_url, self.instances_url)
        return Settings(instance, "region", zone, platform, any_port, any_port)

    def start_process(self, instance: str, zone: str = "a") -> subprocess.Popen[bytes]:
        """Start a scheduler daemon in a process of its own and list it as an instance."""
        path = self.tmp_path / f"{instance}.json"
        path.write_text(encode_document(self.settings(instance, zone)))
        log = (self.tmp_path / f"{instance}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, "-c", SCHEDULER_PROGRAM, "--settings", str(path)],
            stderr=log,
            env=os.environ,
        )
        self.processes[instance] = process
        self.instances.put(
            InstanceRecord(f"{instance}/scheduler", "scheduler", zone, "127.0.0.1:1")
        )
        return process

    def has_logged(self, instance: str, event: str) -> bool:
        """Return whether a scheduler process has logged an event, given by its number."""
        return event in (self.tmp_path / f"{instance}.log").read_text()

    def signal(self, instance: str, number: signal.Signals) -> None:
        """Send a signal to a scheduler process of `start_process`."""
        self.processes[instance].send_signal(number)

    async def update_document(self, key, kind, change):
        """Change a document by compare-and-swap with retries on conflicts; return the new one."""
        while True:
            current = await self.store.get(key)
            document = decode_document(current.value, kind) if current else kind()
            version = current.version if current else 0
            try:
                changed = change(document)
                await self.store.compare_and_swap(
                    key, version, encode_document(changed), new_write_id()
                )
            except Exception as error:
                if type(error).__name__ != "StoreConflictError":
                    raise
                continue
            return changed

    async def submit(self, key: str, members: int = 2, size: int = 4, **options) -> str:
        """Store a waiting job as an entry does; `options` are arguments of its task."""
        work_class = options.pop("work_class", "model")
        identifier = job_id("zout", key)
        job = Job(
            identifier,
            "zout",
            work_class,
            GangSpec(members, size),
            1.0,
            CONFIGURATION.classes[work_class].idempotent,
            json.dumps({"run_s": 0.5, **options}),
            time.time_ns() // 1_000_000,
            JobState.WAITING,
        )
        await self.update_document(
            f"jobs/{job_shard(identifier)}", JobShard, lambda shard: put_job(shard, job)
        )
        return identifier

    async def cancel(self, identifier: str) -> Job:
        """Cancel a job as an entry does; return the job as confirmed to its caller."""
        shard = await self.update_document(
            f"jobs/{job_shard(identifier)}",
            JobShard,
            lambda shard: cancel_jobs(shard, [identifier], 1)[0],
        )
        return shard.jobs[identifier]

    async def take_zone_out(self, zone: str) -> float:
        """Take a zone out of service; return the monotonic time after the write."""
        out = ZoneOut(zone, 1, "operator", "test")
        await self.update_document(
            "config",
            Configuration,
            lambda c: replace(c, revision=c.revision + 1, zones_out={**c.zones_out, zone: out}),
        )
        return time.monotonic()

    def job(self, identifier: str) -> Job | None:
        """Return a job as stored, or None if it is not stored."""
        entry = self.store_state.entries.get(f"jobs/{job_shard(identifier)}")
        shard = decode_document(entry.value, JobShard) if entry else JobShard()
        return shard.jobs.get(identifier)

    def allocation(self, zone: str = "a") -> ZoneAllocation:
        """Return the stored allocation document of a zone; an empty one if there is none."""
        entry = self.store_state.entries.get(f"alloc/{zone}")
        return decode_document(entry.value, ZoneAllocation) if entry else ZoneAllocation()

    async def wait_until(self, condition: Callable[[], object], limit_s: float = 20.0) -> float:
        """Wait until a condition is true; return the seconds waited, or fail after `limit_s`."""
        started_s = time.monotonic()
        with anyio.move_on_after(limit_s):
            while True:
                if condition():
                    return time.monotonic() - started_s
                await anyio.sleep(0.01)
        raise AssertionError(f"condition not met within {limit_s} s: {self.describe()}")

    async def wait_for_state(
        self, identifier: str, *states: JobState, limit_s: float = 20.0
    ) -> float:
        """Wait until the stored job is in one of the states; return the seconds waited."""

        def reached() -> bool:
            job = self.job(identifier)
            return job is not None and job.state in states

        return await self.wait_until(reached, limit_s)

    def set_failures(self, worker: str, **failures) -> None:
        """Replace the simulated failures of a worker; without arguments it works normally."""
        self.fleet.workers[worker].failures = WorkerFailures(**failures)

    def restart(self, worker: str) -> None:
        """Restart a worker, which loses its tasks."""
        restart_worker(self.fleet.workers[worker])

    async def get_from_operators(self, state: SchedulerState, path: str) -> dict:
        """Return the response of the operators' interface of a scheduler in the test process."""
        async with open_http_client(f"http://127.0.0.1:{state.operators_port}") as http:
            return json.loads((await http.request("GET", path)).body)

    def work_records(self, identifier: str = "") -> list[WorkRecord]:
        """Return the workers' records of all tasks, or of the tasks of one job."""
        self.fleet.refresh()
        return [r for r in self.fleet.log if identifier in ("", r.job_id)]

    def describe(self) -> str:
        """Return the stored jobs, one allocation and the work records for a failure message."""
        jobs = [
            job
            for key, entry in self.store_state.entries.items()
            if key.startswith("jobs/")
            for job in decode_document(entry.value, JobShard).jobs.values()
        ]
        return f"{jobs}\n{self.allocation()}\n{self.work_records()}"

    def check_work(self) -> None:
        """Assert that each gang ran whole or not at all, and that no task started late or twice.

        Attempts of a job must not overlap in time, nor tasks on the same accelerator.
        """
        attempts: dict[tuple[str, int], list[WorkRecord]] = {}
        for record in self.work_records():
            attempts.setdefault((record.job_id, record.attempt), []).append(record)
            if record.first_work_s:
                assert record.first_work_s - record.prepared_s <= 2.0, record
        for (identifier, _), records in attempts.items():
            worked = [r for r in records if r.first_work_s]
            job = self.job(identifier)
            assert job is not None
            assert len(worked) in (0, job.spec.members), (records, job)
        self._check_no_overlap()

    def _check_no_overlap(self) -> None:
        worked = sorted(
            (r for r in self.work_records() if r.first_work_s), key=lambda r: r.first_work_s
        )
        for index, first in enumerate(worked):
            for second in worked[index + 1 :]:
                has_ended = 0 < first.stopped_s <= second.first_work_s
                same_job = first.job_id == second.job_id and first.attempt != second.attempt
                shared = first.worker == second.worker and (
                    set(first.accelerators) & set(second.accelerators)
                )
                assert has_ended or not (same_job or shared), (first, second)


@asynccontextmanager
async def open_platform(
    serving, tmp_path: Path, zones: tuple[str, ...] = ("a",), per_zone: int = 3
) -> AsyncIterator[Platform]:
    """Run the stand-ins, and kill all scheduler processes at the end."""
    store_state, instances, fleet = StoreState(), InstanceListState(), WorkerFleet()
    async with (
        serving(make_store_app(store_state)) as store_url,
        serving(make_instance_list_app(instances)) as instances_url,
        open_store(store_url) as store,
        anyio.create_task_group() as group,
    ):
        records = make_worker_records(list(zones), per_zone=per_zone)
        for record in await group.start(serve_workers, fleet, records):
            instances.put(record)
        await store.compare_and_swap("config", 0, encode_document(CONFIGURATION), new_write_id())
        platform = Platform(
            store_url, instances_url, store, store_state, instances, fleet, tmp_path
        )
        try:
            yield platform
        finally:
            for process in platform.processes.values():
                process.kill()
                process.wait()
            group.cancel_scope.cancel()


@asynccontextmanager
async def running_scheduler(
    platform: Platform, instance: str = "s1", **options
) -> AsyncIterator[SchedulerState]:
    """Run a scheduler in the test process; cancel its tasks at the end, as if it were killed."""
    async with anyio.create_task_group() as group:
        state = await group.start(
            lambda task_status: run_scheduler_tasks(
                platform.settings(instance), anyio.Event(), task_status=task_status, **options
            )
        )
        try:
            yield state
        finally:
            group.cancel_scope.cancel()

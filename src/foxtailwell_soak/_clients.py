"""Clients that submit jobs, read their states and cancel some of them."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from typing import Any

import anyio
import msgspec

from foxtailwell.adapters.http_connection import CallError, CallReply, HttpEndpoint
from foxtailwell.workflows import Resources
from foxtailwell_soak._fleet import BOUNDS, WORKER_CAPACITY, Fleet
from foxtailwell_soak._history import History, JobRecord

__all__ = ["API_KEYS", "PAUSE_S", "Client"]

API_KEYS = ("key-1", "key-2")
"""API keys of the client account; operators revoke the second one temporarily."""

CALL_TIMEOUT_S = 3.0
"""Timeout of a call."""

SUBMIT_ATTEMPTS = 4
"""Attempts to submit a job."""

PAUSE_S = (0.05, 0.5)
"""Range of the pause of a client between two jobs."""

RETRY_DELAY_S = 0.3
"""Delay before the next attempt."""

CANCEL_PROBABILITY = 0.2
"""Probability that a client cancels a job instead of reading its state."""

NAMESAKE_PROBABILITY = 0.4
"""Probability that a client submits a namesake of a job, if it submits any."""

LARGE_JOB_STEPS = (200, 600)
"""Range of the number of steps of a large job."""

LARGE_JOB_WORK_S = 0.05
"""Duration of each task of a large job."""

STATUSES = frozenset({200, 401, 404, 410, 429, 503, 504})
"""Statuses of responses to well-formed requests."""

LONG_WORK_S = 4.0
"""Duration of the tasks of a long job, which outlasts the pause between two waves of crashes."""

HOST = "jobs.example"
URGENT_PREFIX, LATER_PREFIX = "/urgent/", "/later/"


class Client:
    """One client, which sends each call to a random instance over a persistent connection.

    Args:
        fleet: Instances to call; takes the connections, to be closed after the test.
        history: Takes jobs, responses and violations.
        rng: Random source; the order of draws determines what a seed does.
        namesakes_rng: Source of its own for jobs that have the identifier of a job on the other
            queue; None for no such jobs.
        pause_s: Range of the pause between two jobs.
    """

    def __init__(
        self,
        fleet: Fleet,
        history: History,
        rng: random.Random,
        namesakes_rng: random.Random | None = None,
        pause_s: tuple[float, float] = PAUSE_S,
    ) -> None:
        self._pause_s = pause_s
        self._namesakes_rng = namesakes_rng
        self._history = history
        self._rng = rng
        self._fleet = fleet
        self._gangs = fleet.gangs
        self._endpoints = [
            HttpEndpoint(instance.address, host=HOST) for instance in fleet.instances
        ]
        self._jobs: list[tuple[str, JobRecord]] = []
        fleet.clients += self._endpoints

    async def run(self, until_s: float) -> None:
        """Submit jobs until `until_s` on the monotonic clock, and read or cancel some of them."""
        while time.monotonic() < until_s:
            await self._submit_one()
            if self._jobs and self._rng.random() < 0.5:
                await self._read_or_cancel(*self._rng.choice(self._jobs))
            await anyio.sleep(self._rng.uniform(*self._pause_s))

    async def wait_until_ended(self, limit_s: float) -> None:
        """Read all accepted jobs until each has ended, for at most `limit_s`."""
        end_s = time.monotonic() + limit_s
        open_jobs = [j for j in self._jobs if j[1].accepted_s and not j[1].cancel_sent_s]
        while open_jobs and time.monotonic() < end_s:
            for prefix, job in open_jobs:
                await self._read_or_cancel(prefix, job, may_cancel=False)
            open_jobs = [j for j in open_jobs if j[1].last_state not in ("completed", "failed")]
            await anyio.sleep(0.2)

    async def _submit_one(self) -> None:
        rng = self._rng
        accelerators = rng.choice((1, 1, 2, 4))
        count = rng.randint(1, 4)
        is_gang = rng.random() < 0.4
        work_s = rng.uniform(0.2, 1.5)
        if self._fleet.long_jobs_due:
            self._fleet.long_jobs_due -= 1
            work_s = LONG_WORK_S
        job = JobRecord(
            f"{rng.getrandbits(64):016x}",
            f"{work_s:.2f}",
            Resources(accelerators * 1000, 100, accelerators),
            count,
            is_gang,
        )
        is_checkpointing = rng.random() < 0.5
        prefix = rng.choice((URGENT_PREFIX, LATER_PREFIX))
        if self._fleet.fatal_jobs_due:
            self._fleet.fatal_jobs_due -= 1
            self._fleet.fatal_tasks.add(f"{job.job_id}.0.0.0")
            job.is_fatal = True
        self._jobs.append((prefix, job))
        await self._submit(prefix, job, is_checkpointing=is_checkpointing)
        if not job.is_gang and not job.is_fatal:
            await self._submit_namesake(prefix, job)

    async def _submit_namesake(self, prefix: str, first: JobRecord) -> None:
        """Submit a job under the identifier of another one to the other queue, or do nothing."""
        rng = self._namesakes_rng
        if rng is None or rng.random() >= NAMESAKE_PROBABILITY:
            return
        await anyio.sleep(rng.choice((0.0, rng.uniform(0.0, 3.0))))
        # Its format differs from that of the first payload.
        payload = f"{rng.uniform(0.2, 1.5):.3f}"
        count = rng.randint(1, 4)
        job = JobRecord(first.job_id, payload, first.request, count, False, is_namesake=True)
        other = LATER_PREFIX if prefix == URGENT_PREFIX else URGENT_PREFIX
        self._jobs.append((other, job))
        await self._submit(other, job, is_checkpointing=rng.random() < 0.5)

    async def submit_large(self, rng: random.Random) -> None:
        """Submit a job of many small steps, most of which depend on an earlier one.

        Args:
            rng: Random source of its own, so that other draws of a seed stay the same.
        """
        count = rng.randint(*LARGE_JOB_STEPS)
        # Few steps are far from the first one, so that the job ends in time.
        after = [
            [rng.randrange(number // 8)] if number >= 8 and rng.random() < 0.7 else []
            for number in range(count)
        ]
        job_id = f"{rng.getrandbits(64):016x}"
        job = JobRecord(job_id, f"{LARGE_JOB_WORK_S}", Resources(100, 10, 0), count, False)
        self._jobs.append((LATER_PREFIX, job))
        await self._submit(LATER_PREFIX, job, is_checkpointing=False, after=after)

    async def submit_until_accepted(self, count: int, work_s: float, limit_s: float) -> JobRecord:
        """Submit a job whose tasks use one accelerator each, and try again for `limit_s`."""
        end_s = time.monotonic() + limit_s
        job_id = f"{self._rng.getrandbits(64):016x}"
        job = JobRecord(job_id, f"{work_s}", Resources(1000, 100, 1), count, False)
        self._jobs.append((URGENT_PREFIX, job))
        while not job.accepted_s and time.monotonic() < end_s:
            await self._submit(URGENT_PREFIX, job, is_checkpointing=False)
        if not job.accepted_s:
            self._history.add_violation(f"{job_id} was not accepted within {limit_s} s")
        return job

    async def occupy_all_workers(self, accept_s: float, limit_s: float) -> None:
        """Submit more tasks than all workers but one can run, and check that each gets one.

        Args:
            accept_s: Time limit for the acceptance of the job.
            limit_s: Time for the first start on each worker; the job is cancelled afterwards.
        """
        count = (len(self._fleet.workers) - 1) * WORKER_CAPACITY.accelerators + 1
        job = await self.submit_until_accepted(count, 2 * limit_s, accept_s)
        while unused := self._fleet.workers_without(job.job_id):
            if time.monotonic() > job.accepted_s + limit_s:
                for worker in unused:
                    self._history.add_violation(f"{worker} got no task within {limit_s} s")
                break
            await anyio.sleep(0.05)
        await self._cancel(URGENT_PREFIX, job)

    async def _submit(
        self,
        prefix: str,
        job: JobRecord,
        *,
        is_checkpointing: bool,
        after: Sequence[Sequence[int]] = (),
    ) -> None:
        """Submit a job of one step, or with one step of one task for each entry of `after`."""
        rng = self._rng
        phase: dict[str, object] = {
            "count": job.count,
            "cpu": job.request.cpu_millicores,
            "mem_mb": job.request.memory_mb,
            "gpu": job.request.accelerators,
            "estimate_ms": int(float(job.payload) * 1000),
            "gang": job.is_gang,
            "checkpointing": is_checkpointing,
        }
        phases = [phase | {"count": 1, "after": earlier} for earlier in after] or [phase]
        body = msgspec.json.encode({"spec": job.payload, "phases": phases})
        self._history.jobs[job.key] = job
        if job.is_gang:
            self._gangs.sizes[f"{job.job_id}.0.0"] = job.count
        for _ in range(SUBMIT_ATTEMPTS):
            sent_s = time.monotonic()
            key = rng.choice(API_KEYS)
            status, _ = await self._call("POST", prefix + job.job_id, key, body)
            job.statuses.append(status)
            if status == 200:
                self._check_key_revocation(key, sent_s, job)
                job.accepted_s = time.monotonic()
                return
            await anyio.sleep(RETRY_DELAY_S)

    def _check_key_revocation(self, key: str, sent_s: float, job: JobRecord) -> None:
        revoked_s = self._history.revoked_s.get(key)
        if revoked_s is not None and sent_s > revoked_s + BOUNDS.revoke_ms / 1000:
            since_revocation_s = sent_s - revoked_s
            self._history.add_violation(
                f"{job.job_id} was accepted {since_revocation_s:.2f} s after its key was revoked"
            )

    async def _read_or_cancel(
        self, prefix: str, job: JobRecord, *, may_cancel: bool = True
    ) -> None:
        if not job.accepted_s:
            return
        if may_cancel and not job.cancel_sent_s and self._rng.random() < CANCEL_PROBABILITY:
            await self._cancel(prefix, job)
            return
        sent_s = time.monotonic()
        status, body = await self._call("GET", prefix + job.job_id, API_KEYS[0])
        if status == 200:
            self._check_state(job, str(body.get("state", "")))
        elif status == 410 and sent_s > job.accepted_s + BOUNDS.visible_ms / 1000:
            self._history.add_violation(f"{job.job_id} was accepted but reads return 410")

    async def _cancel(self, prefix: str, job: JobRecord) -> None:
        job.cancel_sent_s = time.monotonic()
        status, _ = await self._call("DELETE", prefix + job.job_id, API_KEYS[0])
        if status in (200, 410):
            job.cancelled_s = time.monotonic()

    def _check_state(self, job: JobRecord, state: str) -> None:
        job.is_shown_failed |= state == "failed"
        if job.cancel_sent_s:
            return
        if state == "cancelled":
            self._history.add_violation(
                f"{job.job_id} is reported as cancelled but no client cancelled it"
            )
        if job.last_state == "completed" and state != "completed":
            self._history.add_violation(f"{job.job_id} is reported as {state} after completed")
        job.last_state = state

    async def _call(
        self, method: str, path: str, key: str, body: bytes = b""
    ) -> tuple[int, dict[str, Any]]:
        headers = {"Authorization": f"Token {key}"}
        endpoint = self._rng.choice(self._endpoints)
        try:
            reply = await endpoint.call(
                method, path, body, headers=headers, timeout_s=CALL_TIMEOUT_S
            )
        except CallError:
            # Status 0 records that there was no response; the outcome of the call is unknown.
            return 0, {}
        return reply.status, self._decode(f"{method} {path}", reply)

    def _decode(self, call: str, reply: CallReply) -> dict[str, Any]:
        if reply.status not in STATUSES:
            self._history.add_violation(f"{call} got status {reply.status}: {reply.body[:80]!r}")
        try:
            return msgspec.json.decode(reply.body or b"{}", type=dict[str, Any])
        except msgspec.DecodeError:
            self._history.add_violation(
                f"{call} got a response that is no JSON object, status {reply.status}: "
                f"{reply.body[:80]!r}"
            )
            return {}

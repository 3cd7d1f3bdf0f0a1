"""Clients that hand jobs in, ask for their state and cancel some of them."""

from __future__ import annotations

import random
import time
from typing import Any

import anyio
import msgspec

from foxtailwell.adapters.http_connection import CallError, HttpEndpoint
from foxtailwell.workflows import Resources
from foxtailwell_soak._fleet import BOUNDS, Fleet
from foxtailwell_soak._history import History, JobRecord

__all__ = ["API_KEYS", "Client"]

API_KEYS = ("key-1", "key-2")
"""Keys of the client account; operators take the second one away and give it back."""

CALL_TIMEOUT_S = 3.0
"""Time budget of a call."""

ATTEMPTS = 4
"""Attempts to hand one job in."""

RETRY_S = 0.3
"""Pause before the next attempt."""

CANCEL_SHARE = 0.2
"""Share of jobs that are cancelled."""

HOST = "jobs.example"
URGENT_PREFIX, LATER_PREFIX = "/urgent/", "/later/"


class Client:
    """One client; it keeps a connection to each instance open until the process is gone.

    Args:
        fleet: Instances.
        history: Takes what the client is told.
        rng: Source of choices.
    """

    def __init__(self, fleet: Fleet, history: History, rng: random.Random) -> None:
        self._history = history
        self._rng = rng
        self._gangs = fleet.gangs
        self._endpoints = [
            HttpEndpoint(instance.address, host=HOST) for instance in fleet.instances
        ]
        self._jobs: list[tuple[str, JobRecord]] = []
        fleet.clients += self._endpoints

    async def run(self, until_s: float) -> None:
        """Hand jobs in until the given time, and look at some of them."""
        while time.monotonic() < until_s:
            await self._submit_one()
            if self._jobs and self._rng.random() < 0.5:
                await self._look_at(*self._rng.choice(self._jobs))
            await anyio.sleep(self._rng.uniform(0.05, 0.5))

    async def settle(self, limit_s: float) -> None:
        """Ask for every accepted job until it has ended."""
        end_s = time.monotonic() + limit_s
        open_jobs = [j for j in self._jobs if j[1].accepted_s and not j[1].cancel_sent_s]
        while open_jobs and time.monotonic() < end_s:
            for prefix, job in open_jobs:
                await self._look_at(prefix, job, may_cancel=False)
            open_jobs = [j for j in open_jobs if j[1].last_state not in ("completed", "failed")]
            await anyio.sleep(0.2)

    async def _submit_one(self) -> None:
        rng = self._rng
        accelerators = rng.choice((1, 1, 2, 4))
        count = rng.randint(1, 4)
        is_gang = rng.random() < 0.4
        work_s = rng.uniform(0.2, 1.5)
        job = JobRecord(
            f"{rng.getrandbits(64):016x}",
            f"{work_s:.2f}",
            Resources(accelerators * 1000, 100, accelerators),
            count,
            is_gang,
        )
        phase = {
            "count": count,
            "cpu": accelerators * 1000,
            "mem_mb": 100,
            "gpu": accelerators,
            "estimate_ms": int(work_s * 1000),
            "gang": is_gang,
            "checkpointing": rng.random() < 0.5,
        }
        body = msgspec.json.encode({"spec": job.payload, "phases": [phase]})
        prefix = rng.choice((URGENT_PREFIX, LATER_PREFIX))
        self._history.jobs[job.job_id] = job
        if is_gang:
            self._gangs.sizes[f"{job.job_id}.0.0"] = count
        self._jobs.append((prefix, job))
        for _ in range(ATTEMPTS):
            sent_s = time.monotonic()
            key = rng.choice(API_KEYS)
            status, _ = await self._call("POST", prefix + job.job_id, key, body)
            job.statuses.append(status)
            if status == 200:
                self._check_key(key, sent_s, job)
                job.accepted_s = time.monotonic()
                return
            await anyio.sleep(RETRY_S)

    def _check_key(self, key: str, sent_s: float, job: JobRecord) -> None:
        revoked_s = self._history.revoked_s.get(key)
        if revoked_s is not None and sent_s > revoked_s + BOUNDS.revoke_ms / 1000:
            late_s = sent_s - revoked_s
            self._history.add_violation(
                f"{job.job_id} was accepted {late_s:.2f} s after its key was taken"
            )

    async def _look_at(self, prefix: str, job: JobRecord, *, may_cancel: bool = True) -> None:
        if not job.accepted_s:
            return
        if may_cancel and not job.cancel_sent_s and self._rng.random() < CANCEL_SHARE:
            job.cancel_sent_s = time.monotonic()
            status, _ = await self._call("DELETE", prefix + job.job_id, API_KEYS[0])
            if status in (200, 410):
                job.cancelled_s = time.monotonic()
            return
        sent_s = time.monotonic()
        status, body = await self._call("GET", prefix + job.job_id, API_KEYS[0])
        if status == 200:
            self._check_state(job, str(body.get("state", "")))
        elif status == 410 and sent_s > job.accepted_s + BOUNDS.visible_ms / 1000:
            self._history.add_violation(f"{job.job_id} was accepted and is answered with 410")

    def _check_state(self, job: JobRecord, state: str) -> None:
        if job.cancel_sent_s:
            return
        if state == "cancelled":
            self._history.add_violation(
                f"{job.job_id} is shown as cancelled, and nobody cancelled it"
            )
        if job.last_state == "completed" and state != "completed":
            self._history.add_violation(f"{job.job_id} is shown as {state} after completed")
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
            # No answer is an outcome of its own: the history keeps it as status 0.
            return 0, {}
        return reply.status, msgspec.json.decode(reply.body or b"{}")

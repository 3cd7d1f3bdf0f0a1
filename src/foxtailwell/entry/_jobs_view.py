"""All jobs as the store holds them, followed by one watch."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from foxtailwell.adapters.document_watch import watch_documents
from foxtailwell.adapters.store import StoreClient
from foxtailwell.core import Job, JobShard, job_shard

__all__ = ["JobsView", "follow_jobs", "shard_key"]

JOBS_PREFIX = "jobs/"


def shard_key(job_id: str) -> str:
    """Return the key of the document that holds a job."""
    return f"{JOBS_PREFIX}{job_shard(job_id)}"


@dataclass(slots=True)
class JobsView:
    """Jobs by shard. Only `follow_jobs` writes it."""

    shards: dict[str, JobShard] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)

    def find(self, job_id: str) -> Job | None:
        """Return a job, or None when it is not known here."""
        shard = self.shards.get(shard_key(job_id))
        return shard.jobs.get(job_id) if shard else None

    def all(self) -> list[Job]:
        """Return all jobs, oldest first."""
        jobs = [job for shard in self.shards.values() for job in shard.jobs.values()]
        return sorted(jobs, key=lambda job: (job.submitted_unix_ms, job.id))

    async def wait_until_final(self, job_id: str, wait_s: float) -> Job | None:
        """Wait until a job has ended, at most for a time; return it as it is then."""
        with anyio.move_on_after(wait_s):
            while (job := self.find(job_id)) is None or not job.state.is_final:
                await self.changed.wait()
        return self.find(job_id)


async def follow_jobs(store: StoreClient, view: JobsView) -> None:
    """Keep a view up to date until cancelled."""

    async def put(key: str, shard: JobShard) -> None:
        view.shards[key] = shard
        view.changed.set()
        view.changed = anyio.Event()

    await watch_documents(store, JOBS_PREFIX, JobShard, put)

"""In-memory view of all jobs in the store, kept up to date by a watch.

Jobs are stored in several documents, the shards, by their identifier.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from foxtailwell.adapters.document_watch import watch_documents
from foxtailwell.adapters.store import StoreClient
from foxtailwell.core import Job, JobShard, job_shard

__all__ = ["JobsView", "follow_jobs", "shard_key"]

JOBS_PREFIX = "jobs/"


def shard_key(job_id: str) -> str:
    """Return the key in the store of the shard that contains a job."""
    return f"{JOBS_PREFIX}{job_shard(job_id)}"


@dataclass(slots=True)
class JobsView:
    """Jobs as last read from the store. Only `follow_jobs` changes it.

    Attributes:
        shards: Job documents by their key in the store.
        changed: Set and replaced by a new event whenever a shard changes.
    """

    shards: dict[str, JobShard] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)

    def find(self, job_id: str) -> Job | None:
        """Return a job, or None if the view does not contain it."""
        shard = self.shards.get(shard_key(job_id))
        return shard.jobs.get(job_id) if shard else None

    def all(self) -> list[Job]:
        """Return all jobs, ordered by the time of submission."""
        jobs = [job for shard in self.shards.values() for job in shard.jobs.values()]
        return sorted(jobs, key=lambda job: (job.submitted_unix_ms, job.id))

    async def wait_until_final(self, job_id: str, wait_s: float) -> Job | None:
        """Wait until a job has ended, but not longer than `wait_s`, and return its current state.

        Returns:
            The job, or None if the view does not contain it.
        """
        with anyio.move_on_after(wait_s):
            while (job := self.find(job_id)) is None or not job.state.is_final:
                await self.changed.wait()
        return self.find(job_id)


async def follow_jobs(store: StoreClient, view: JobsView) -> None:
    """Watch the job documents and update a view, until cancelled."""

    async def put(key: str, shard: JobShard) -> None:
        view.shards[key] = shard
        view.changed.set()
        view.changed = anyio.Event()

    await watch_documents(store, JOBS_PREFIX, JobShard, put)

"""Allocation document of one availability zone: which gang holds which accelerators.

The functions return a changed copy of the document. The scheduler that holds the zone writes it;
the fencing token in the document rejects writes of a previous holder.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from foxtailwell.core.errors import AcceleratorsTakenError

ALLOCATION_SCHEMA_VERSION = 1


@dataclass(frozen=True, slots=True)
class Member:
    """Accelerators of one member of a gang, by index on one worker."""

    worker: str
    accelerators: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Gang:
    """A gang with the accelerators that are allocated to it.

    Attributes:
        job_id: Job that the gang runs.
        attempt: Attempt of the job.
        account: Client account of the job.
        members: Workers and accelerators of the members.
        started_unix_ms: When the gang started, 0 when unknown.
    """

    job_id: str
    attempt: int
    account: str
    members: tuple[Member, ...]
    started_unix_ms: int = 0


@dataclass(frozen=True, slots=True)
class ZoneAllocation:
    """Allocations of one zone, as stored in its document.

    Attributes:
        schema_version: Version of the document's schema.
        zone: Availability zone.
        term: Fencing token of the scheduler that holds the zone.
        holder: Scheduler that holds the zone; empty when none does.
        gangs: Gangs with allocated accelerators by job.
        quarantined: End of the quarantine in Unix milliseconds by worker.
    """

    schema_version: int = ALLOCATION_SCHEMA_VERSION
    zone: str = ""
    term: int = 0
    holder: str = ""
    gangs: dict[str, Gang] = field(default_factory=dict)
    quarantined: dict[str, int] = field(default_factory=dict)


def allocated_accelerators(allocation: ZoneAllocation) -> dict[str, set[int]]:
    """Return the indexes of the allocated accelerators by worker."""
    allocated: dict[str, set[int]] = {}
    for gang in allocation.gangs.values():
        for member in gang.members:
            allocated.setdefault(member.worker, set()).update(member.accelerators)
    return allocated


def allocate(allocation: ZoneAllocation, gang: Gang) -> ZoneAllocation:
    """Allocate all accelerators of a gang, or none.

    Args:
        allocation: Document of the zone.
        gang: Gang to add.

    Returns:
        The document with the gang; the same object when the gang holds these accelerators already.
        A gang of an older attempt of the job is replaced: a new attempt begins only after the older
        one has ended, but the release of the older one may have been lost.

    Raises:
        AcceleratorsTakenError: An accelerator is allocated to another gang, or the job already
            holds other accelerators.
    """
    existing = allocation.gangs.get(gang.job_id)
    if existing is not None and existing.attempt < gang.attempt:
        allocation = release(allocation, gang.job_id, existing.attempt)
    elif existing is not None:
        if (existing.attempt, existing.members) == (gang.attempt, gang.members):
            return allocation
        raise AcceleratorsTakenError(gang.job_id, f"attempt {existing.attempt} still holds some")
    allocated = allocated_accelerators(allocation)
    for member in gang.members:
        indexes = allocated.setdefault(member.worker, set())
        for index in member.accelerators:
            if index in indexes:
                raise AcceleratorsTakenError(gang.job_id, f"{member.worker} accelerator {index}")
            indexes.add(index)
    return replace(allocation, gangs={**allocation.gangs, gang.job_id: gang})


def release(allocation: ZoneAllocation, job_id: str, attempt: int) -> ZoneAllocation:
    """Return the document without the gang of an attempt.

    Returns:
        The same object when the attempt holds no accelerators.
    """
    existing = allocation.gangs.get(job_id)
    if existing is None or existing.attempt != attempt:
        return allocation
    gangs = {key: gang for key, gang in allocation.gangs.items() if key != job_id}
    return replace(allocation, gangs=gangs)


def raise_term(allocation: ZoneAllocation, zone: str, holder: str) -> ZoneAllocation:
    """Return the document with the next fencing token for a new holder."""
    return replace(allocation, zone=zone, term=allocation.term + 1, holder=holder)


def quarantine(allocation: ZoneAllocation, worker: str, until_unix_ms: int) -> ZoneAllocation:
    """Return the document with a worker in quarantine.

    The entry stays in the document after its end until `lift_quarantine` is called. In between,
    only a probe job may start on the worker.
    """
    return replace(allocation, quarantined={**allocation.quarantined, worker: until_unix_ms})


def lift_quarantine(allocation: ZoneAllocation, worker: str) -> ZoneAllocation:
    """Return the document without a worker's quarantine; the same object when there is none."""
    if worker not in allocation.quarantined:
        return allocation
    remaining = {name: end for name, end in allocation.quarantined.items() if name != worker}
    return replace(allocation, quarantined=remaining)

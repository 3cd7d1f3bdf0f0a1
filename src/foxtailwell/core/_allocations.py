"""Allocation document of one availability zone."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from foxtailwell.core.errors import AcceleratorsTakenError

ALLOCATION_SCHEMA_VERSION = 1


@dataclass(frozen=True, slots=True)
class Member:
    """Accelerators of one member of a gang on one worker."""

    worker: str
    accelerators: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Gang:
    """A gang that holds its accelerators."""

    job_id: str
    attempt: int
    account: str
    members: tuple[Member, ...]
    started_unix_ms: int = 0


@dataclass(frozen=True, slots=True)
class ZoneAllocation:
    """All gangs of a zone, with the fencing token of the scheduler that wrote it."""

    schema_version: int = ALLOCATION_SCHEMA_VERSION
    zone: str = ""
    term: int = 0
    holder: str = ""
    gangs: dict[str, Gang] = field(default_factory=dict)
    quarantined: dict[str, int] = field(default_factory=dict)


def allocated_accelerators(allocation: ZoneAllocation) -> dict[str, set[int]]:
    """Return the taken accelerators by worker."""
    taken: dict[str, set[int]] = {}
    for gang in allocation.gangs.values():
        for member in gang.members:
            taken.setdefault(member.worker, set()).update(member.accelerators)
    return taken


def allocate(allocation: ZoneAllocation, gang: Gang) -> ZoneAllocation:
    """Take all accelerators of a gang, or none.

    Args:
        allocation: Document of the zone.
        gang: Gang with its members.

    Returns:
        The document with the gang; the same object when the gang holds them already. A gang of an
        older attempt is replaced: a new attempt begins only after the older one has ended, and its
        release may have been lost.

    Raises:
        AcceleratorsTakenError: One of the accelerators is taken, or the job holds others.
    """
    present = allocation.gangs.get(gang.job_id)
    if present is not None and present.attempt < gang.attempt:
        allocation = release(allocation, gang.job_id, present.attempt)
    elif present is not None:
        if (present.attempt, present.members) == (gang.attempt, gang.members):
            return allocation
        raise AcceleratorsTakenError(gang.job_id, f"attempt {present.attempt} still holds some")
    taken = allocated_accelerators(allocation)
    for member in gang.members:
        indexes = taken.setdefault(member.worker, set())
        for index in member.accelerators:
            if index in indexes:
                raise AcceleratorsTakenError(gang.job_id, f"{member.worker} accelerator {index}")
            indexes.add(index)
    return replace(allocation, gangs={**allocation.gangs, gang.job_id: gang})


def release(allocation: ZoneAllocation, job_id: str, attempt: int) -> ZoneAllocation:
    """Return the document without the gang of one attempt.

    Returns:
        The same object when that attempt holds nothing.
    """
    present = allocation.gangs.get(job_id)
    if present is None or present.attempt != attempt:
        return allocation
    gangs = {key: gang for key, gang in allocation.gangs.items() if key != job_id}
    return replace(allocation, gangs=gangs)


def raise_term(allocation: ZoneAllocation, zone: str, holder: str) -> ZoneAllocation:
    """Return the document with the next fencing token for a new holder."""
    return replace(allocation, zone=zone, term=allocation.term + 1, holder=holder)


def quarantine(allocation: ZoneAllocation, worker: str, until_unix_ms: int) -> ZoneAllocation:
    """Return the document with a worker in quarantine.

    The entry stays after its end until `lift_quarantine`, because only a probe may start there.
    """
    return replace(allocation, quarantined={**allocation.quarantined, worker: until_unix_ms})


def lift_quarantine(allocation: ZoneAllocation, worker: str) -> ZoneAllocation:
    """Return the document without a worker's quarantine; the same object when there is none."""
    if worker not in allocation.quarantined:
        return allocation
    left = {name: end for name, end in allocation.quarantined.items() if name != worker}
    return replace(allocation, quarantined=left)

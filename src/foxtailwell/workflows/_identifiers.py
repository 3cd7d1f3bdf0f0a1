"""Identifiers of jobs, and the numbers of their runs.

A client chooses the identifier of its job for one queue. Jobs on several queues with the same
client identifier are namesakes: the first one is known by that identifier alone, each other one by
an identifier that also contains its queue. Workers know tasks by the client identifier, so runs of
namesakes are told apart by their numbers, which namesakes never share.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from hashlib import blake2b

__all__ = [
    "RunNumbers",
    "client_job_id",
    "close_run_numbers",
    "is_namesake_id",
    "namesake_id",
    "with_run",
]

_SEPARATOR = "@"

_QUEUE_DIGEST_BYTES = 8

MAX_RANGES = 200
"""Ranges of run numbers that a job keeps; ends of runs before these are long acknowledged."""


def namesake_id(client_id: str, queue: str) -> str:
    """Return the identifier of a job whose client identifier a job on another queue has.

    It has a fixed length and no characters of the queue's name, as it becomes part of store keys.
    """
    digest = blake2b(queue.encode(), digest_size=_QUEUE_DIGEST_BYTES).hexdigest()
    return f"{client_id}{_SEPARATOR}{digest}"


def client_job_id(job_id: str) -> str:
    """Return the identifier that the client chose for a job."""
    return job_id.partition(_SEPARATOR)[0]


def is_namesake_id(job_id: str) -> bool:
    """Return whether an identifier comes from `namesake_id`."""
    return _SEPARATOR in job_id


@dataclass(frozen=True, slots=True)
class RunNumbers:
    """Numbers of the runs of a job.

    Attributes:
        highest: Highest number; 0 before the first run.
        ranges: First and last numbers of consecutive runs, in ascending order. None as long as the
            job has had no namesake, so that every number of its tasks is its own.
    """

    highest: int = 0
    ranges: tuple[tuple[int, int], ...] | None = None

    def __contains__(self, run: int) -> bool:
        """Return whether a run of this number belongs to the job."""
        return self.ranges is None or any(first <= run <= last for first, last in self.ranges)


def close_run_numbers(numbers: RunNumbers) -> RunNumbers:
    """Return the numbers of a job that has a namesake from now on."""
    if numbers.ranges is not None:
        return numbers
    return replace(numbers, ranges=((1, numbers.highest),) if numbers.highest else ())


def with_run(numbers: RunNumbers, run: int) -> RunNumbers:
    """Return the numbers of a job after it has been given another one, in ascending order."""
    if run <= numbers.highest:
        return numbers
    ranges = numbers.ranges
    if ranges is None:
        return RunNumbers(run)
    if ranges and ranges[-1][1] == run - 1:
        return RunNumbers(run, (*ranges[:-1], (ranges[-1][0], run)))
    return RunNumbers(run, (*ranges, (run, run))[-MAX_RANGES:])

"""Callers' HTTP interface for jobs: submission, status, list and cancellation."""

from __future__ import annotations

import time
import uuid
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

import anyio
from result import Err, Ok
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailwell.adapters.error_responses import with_error_responses
from foxtailwell.adapters.group_commit import GroupCommitter
from foxtailwell.adapters.http_server import json_response
from foxtailwell.adapters.validation import parse_json, structure_document
from foxtailwell.core import (
    Job,
    JobShard,
    JobState,
    Submission,
    accept_submission,
    add_job,
    cancel_jobs,
    job_id,
)
from foxtailwell.core.errors import (
    FoxtailwellError,
    KeyReusedError,
    StoreUnavailableError,
    UnknownJobError,
    ValidationError,
    ValidationIssue,
)
from foxtailwell.entry._jobs_view import JobsView, shard_key
from foxtailwell.fleet import FleetView

__all__ = ["job_routes"]

MAX_BODY_BYTES = 8_000_000
MAX_JOBS_PER_CALL = 5_000
MAX_WAIT_S = 60.0
MAX_LISTED_JOBS = 1_000

_FAILED_OUTCOMES = frozenset({"key_reused", "not_accepted", "outcome_unknown"})


@dataclass(frozen=True, slots=True)
class _Cancellation:
    """Body of a cancellation; `account` without `ids` cancels all jobs of the account."""

    ids: tuple[str, ...] = ()
    account: str = ""


@dataclass(frozen=True, slots=True)
class _JobOutcome:
    """Result of one submission or cancellation, as sent to the caller.

    Attributes:
        id: Identifier of the job.
        outcome: `accepted`, `cancelled`, `cancel_requested`, `unchanged`, `unknown_job`,
            `key_reused`, `not_accepted` or `outcome_unknown`.
        state: State of the job, empty when it is not known.
        message: Error message, empty on success.
    """

    id: str
    outcome: str
    state: str = ""
    message: str = ""


def job_routes(committer: GroupCommitter[JobShard], jobs: JobsView, view: FleetView) -> list[Route]:
    """Return the routes of the jobs interface.

    Args:
        committer: Reads and writes the job documents.
        jobs: In-memory view of all jobs, for lists and status.
        view: Configuration and workers, against which submissions are checked.
    """

    async def submit(request: Request) -> Response:
        accepted = _accept_all(_read_submissions(await request.body()), view)
        outcomes = await _run_concurrently(accepted, lambda job: _submit_one(job, committer))
        return json_response({"jobs": outcomes}, _status_code(outcomes, 201))

    async def cancel(request: Request) -> Response:
        body = parse_json(await request.body(), "cancellation", max_bytes=MAX_BODY_BYTES)
        cancellation = structure_document(body, _Cancellation, "cancellation")
        identifiers = _ids_to_cancel(cancellation, jobs)
        outcomes = await _cancel_all(identifiers, committer)
        return json_response({"jobs": outcomes}, _status_code(outcomes, 200))

    async def list_jobs(request: Request) -> Response:
        account = request.query_params.get("account")
        state = request.query_params.get("state")
        found = [
            _summary(job)
            for job in jobs.all()
            if account in (None, job.account) and state in (None, job.state.value)
        ]
        return json_response({"jobs": found[-MAX_LISTED_JOBS:], "total": len(found)})

    async def status(request: Request) -> Response:
        identifier = request.path_params["id"]
        wait_s = _read_wait(request.query_params.get("wait_s", "0"))
        job = await jobs.wait_until_final(identifier, wait_s)
        if job is None:
            job = (await committer.read(shard_key(identifier))).jobs.get(identifier)
        if job is None:
            raise UnknownJobError(identifier)
        return json_response(job)

    return [
        Route("/v1/jobs", with_error_responses(submit), methods=["POST"]),
        Route("/v1/jobs", with_error_responses(list_jobs), methods=["GET"]),
        Route("/v1/jobs/cancel", with_error_responses(cancel), methods=["POST"]),
        Route("/v1/jobs/{id}", with_error_responses(status), methods=["GET"]),
    ]


def _read_submissions(body: bytes) -> tuple[Submission, ...]:
    value = parse_json(body, "submission", max_bytes=MAX_BODY_BYTES)
    items = value["jobs"] if isinstance(value, dict) and set(value) == {"jobs"} else [value]
    submissions = structure_document(items, tuple[Submission, ...], "submission")
    if not 1 <= len(submissions) <= MAX_JOBS_PER_CALL:
        raise ValidationError(
            "submission",
            (
                ValidationIssue(
                    "$.jobs", f"{len(submissions)} jobs", f"send 1 to {MAX_JOBS_PER_CALL} jobs"
                ),
            ),
        )
    return submissions


def _read_wait(text: str) -> float:
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = -1.0
    if not 0 <= wait_s <= MAX_WAIT_S:
        issue = ValidationIssue("wait_s", repr(text), f"give 0 to {MAX_WAIT_S:g} seconds")
        raise ValidationError("query", (issue,))
    return wait_s


def _accept_all(submissions: tuple[Submission, ...], view: FleetView) -> list[Job]:
    """Return the jobs of a call.

    Raises:
        ValidationError: At least one submission is invalid; none is accepted.
    """
    workers = [r for r in view.instances.values() if r.role == "worker"]
    now_unix_ms = _now_unix_ms()
    results = []
    for index, submission in enumerate(submissions):
        identifier = job_id(submission.account, submission.idempotency_key or uuid.uuid4().hex)
        path = f"$.jobs[{index}]"
        results.append(
            accept_submission(
                submission, identifier, view.configuration, workers, now_unix_ms, path
            )
        )
    issues = [issue for result in results if isinstance(result, Err) for issue in result.err_value]
    if issues:
        raise ValidationError("submission", tuple(issues))
    return [result.ok_value for result in results if isinstance(result, Ok)]


async def _run_concurrently(
    items: Iterable[Any], call: Callable[[Any], Awaitable[_JobOutcome]]
) -> list[_JobOutcome]:
    """Call a function for all items and return the outcomes in the order of the items.

    The calls are concurrent, so that their writes are batched into few commits.
    """
    results: dict[int, _JobOutcome] = {}

    async def run(index: int, item: Any) -> None:
        results[index] = await call(item)

    async with anyio.create_task_group() as group:
        for index, item in enumerate(items):
            group.start_soon(run, index, item)
    return [results[index] for index in sorted(results)]


async def _submit_one(job: Job, committer: GroupCommitter[JobShard]) -> _JobOutcome:
    identifier = job.id
    try:
        stored = await committer.apply(shard_key(identifier), lambda shard: add_job(shard, job))
    except StoreUnavailableError as error:
        return _JobOutcome(identifier, "outcome_unknown", "", str(error))
    except KeyReusedError as error:
        return _JobOutcome(identifier, "key_reused", "", str(error))
    except FoxtailwellError as error:
        return _JobOutcome(identifier, "not_accepted", "", str(error))
    return _JobOutcome(identifier, "accepted", stored.state.value)


async def _cancel_all(
    identifiers: tuple[str, ...], committer: GroupCommitter[JobShard]
) -> list[_JobOutcome]:
    by_shard: dict[str, list[str]] = {}
    for identifier in identifiers:
        by_shard.setdefault(shard_key(identifier), []).append(identifier)
    results: dict[str, _JobOutcome] = {}

    async def cancel_shard(key: str, ids: list[str]) -> None:
        now_unix_ms = _now_unix_ms()
        try:
            cancelled = await committer.apply(
                key, lambda shard: cancel_jobs(shard, ids, now_unix_ms)
            )
        except FoxtailwellError as error:
            is_unknown = isinstance(error, StoreUnavailableError)
            outcome = "outcome_unknown" if is_unknown else "not_accepted"
            results.update({i: _JobOutcome(i, outcome, "", str(error)) for i in ids})
        else:
            results.update({i: _cancel_outcome(i, job) for i, job in cancelled.items()})

    async with anyio.create_task_group() as group:
        for key, ids in by_shard.items():
            group.start_soon(cancel_shard, key, ids)
    return [results[identifier] for identifier in identifiers]


def _cancel_outcome(identifier: str, job: Job | None) -> _JobOutcome:
    if job is None:
        return _JobOutcome(identifier, "unknown_job", "", "check the identifier")
    if job.state is JobState.CANCELLED:
        return _JobOutcome(identifier, "cancelled", job.state.value)
    if job.state.is_final:
        return _JobOutcome(identifier, "unchanged", job.state.value, "the job had ended")
    return _JobOutcome(identifier, "cancel_requested", job.state.value)


def _ids_to_cancel(cancellation: _Cancellation, jobs: JobsView) -> tuple[str, ...]:
    if cancellation.account and not cancellation.ids:
        return tuple(
            job.id
            for job in jobs.all()
            if job.account == cancellation.account and not job.state.is_final
        )
    return tuple(dict.fromkeys(cancellation.ids))


def _status_code(outcomes: list[_JobOutcome], success_status: int) -> int:
    """Return the HTTP status for the outcomes of a call.

    That is `success_status` if no item failed, 207 if some did; if all failed, 409 if each was a
    reused key, otherwise 503.
    """
    failed = {o.outcome for o in outcomes} & _FAILED_OUTCOMES
    if not failed:
        return success_status
    if any(o.outcome not in _FAILED_OUTCOMES for o in outcomes):
        return 207
    return 409 if failed == {"key_reused"} else 503


def _summary(job: Job) -> dict[str, Any]:
    return {
        "id": job.id,
        "account": job.account,
        "work_class": job.work_class,
        "members": job.spec.members,
        "accelerators_per_member": job.spec.accelerators_per_member,
        "state": job.state.value,
        "zone": job.zone,
        "attempt": job.attempt,
        "submitted_unix_ms": job.submitted_unix_ms,
        "reason": job.history[-1].reason if job.history else "",
    }


def _now_unix_ms() -> int:
    return time.time_ns() // 1_000_000

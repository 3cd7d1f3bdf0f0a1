"""Client API of the workflows model: submit, look up and cancel jobs, count pending jobs.

The client API of the other model, jobs that are single gangs, is in `foxtailwell.entry`.
"""

from __future__ import annotations

import math
import re
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec

from foxtailwell.adapters.events import (
    CANCELLATION_STORED,
    REQUEST_REFUSED,
    SUBMISSION_REFUSED,
    SUBMISSION_STORED,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller import CancelOutcome, Intake, IntakeError, SubmitOutcome
from foxtailwell.instance._operators import OperatorWatch
from foxtailwell.workflows import ClusterConfiguration, Route, Submission

__all__ = ["JobsApi", "Reply", "SubmissionDecoder"]

SubmissionDecoder = Callable[[str, str, str, int, bytes], Submission]

UNKNOWN_RECHECK_AGE_S = 0.1
"""Age of the evidence at the arrival of a request with an unknown key or route above which the
store is asked again."""

RETRY_AFTER_S = 1
"""Value of the `Retry-After` header of responses with status 429 or 503."""

MAX_CONFIGURATION_ATTEMPTS = 3
"""Limit of attempts to process a request while the configuration changes."""

MAX_BODY_BYTES = 1_000_000
"""Limit of a request body; a value of the store may have about 1 MB."""

_JOB_ID = re.compile(r"[0-9a-f]{16}")


@dataclass(frozen=True, slots=True)
class Reply:
    """Response to a client: HTTP status and JSON body."""

    status: int
    body: bytes = b"{}"


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    host: str
    key: str
    arrived_s: float


def _refuse(request: _Request, status: int, reason: str) -> Reply:
    log_event(
        REQUEST_REFUSED, method=request.method, path=request.path, status=status, reason=reason
    )
    return Reply(status, msgspec.json.encode({"error": reason}))


class JobsApi:
    """Handles client requests; job state is only in the store, so any instance can serve them.

    Args:
        intake: Access to jobs in the store.
        operators: Source of the confirmed configuration.
        decode: Decodes a submission.
        decode_error: Exception that `decode` raises for an invalid submission.
        now_s: Monotonic clock that includes suspended time.
        now_unix_ms: Time of day in milliseconds since the Unix epoch.
        metrics: Receives the counts and latencies of requests and submissions.
    """

    def __init__(
        self,
        intake: Intake,
        operators: OperatorWatch,
        decode: SubmissionDecoder,
        decode_error: type[Exception],
        now_s: Callable[[], float],
        now_unix_ms: Callable[[], int],
        metrics: WorkMetrics,
    ) -> None:
        self._metrics = metrics
        self._intake = intake
        self._operators = operators
        self._decode = decode
        self._decode_error = decode_error
        self._now_s = now_s
        self._now_unix_ms = now_unix_ms
        self._recheck_lock = anyio.Lock()
        self._in_progress: set[anyio.CancelScope] = set()
        self._deadline_s = math.inf

    def finish_requests_by(self, deadline_s: float) -> None:
        """Limit requests in progress and later ones; status 504 answers those that exceed it.

        Args:
            deadline_s: Time on the clock of the event loop.
        """
        self._deadline_s = deadline_s
        for scope in self._in_progress:
            scope.deadline = deadline_s

    async def handle(
        self, method: str, host: str, path: str, key: str, body: Callable[[], Awaitable[bytes]]
    ) -> Reply:
        """Handle one request.

        Args:
            method: HTTP method.
            host: `Host` header.
            path: Path without a query.
            key: API key of the client account; empty for none.
            body: Reads the request body.
        """
        start_s = self._now_s()
        request = _Request(method, path, host.lower(), key, start_s)
        with anyio.CancelScope(deadline=self._deadline_s) as scope:
            self._in_progress.add(scope)
            try:
                reply = await self._process(request, await body())
            finally:
                self._in_progress.discard(scope)
        if scope.cancelled_caught:
            reply = _refuse(request, 504, "the instance stops, and the store has not answered")
        self._metrics.count("requests", method=method, status=str(reply.status))
        self._metrics.observe_s("request", self._now_s() - start_s)
        return reply

    async def _process(self, request: _Request, content: bytes) -> Reply:
        for _ in range(MAX_CONFIGURATION_ATTEMPTS):
            if self._operators.is_store_unavailable or not await self._wait_for_rechecks():
                # Nothing is sent to the store, so the refusal is certain and immediate.
                return _refuse(request, 503, "the store does not answer")
            if not self._operators.is_confirmed and not await self._recheck():
                return _refuse(
                    request,
                    503,
                    "the configuration cannot be confirmed",
                )
            configuration = self._operators.configuration
            if configuration is None:
                return _refuse(request, 503, "no configuration yet")
            refusal, route = await self._authorize(request, configuration)
            if route is None:
                if refusal is None:
                    continue
                return refusal
            reply = await self._dispatch(request, route, content)
            if reply is not None:
                return reply
            await self._recheck()
        return _refuse(request, 503, "the configuration changes too often")

    async def _recheck(self) -> bool:
        """Confirm the configuration again, and return whether the store answered."""
        newer_than_s = self._now_s()
        async with self._recheck_lock:
            # The recheck of an earlier request may have failed meanwhile.
            return not self._operators.is_store_unavailable and await self._operators.confirm(
                newer_than_s
            )

    async def _wait_for_rechecks(self) -> bool:
        """Wait for the rechecks of earlier requests, and return whether the store answered.

        The earlier requests may be answered on a newer configuration, and no later request may be
        answered on an older one.
        """
        if self._recheck_lock.locked():
            async with self._recheck_lock:
                return not self._operators.is_store_unavailable
        return True

    async def _authorize(
        self, request: _Request, configuration: ClusterConfiguration
    ) -> tuple[Reply | None, Route | None]:
        """Check route and key against the configuration.

        An unknown route or key is refused only on evidence that is hardly older than the request;
        otherwise it may be new.

        Returns:
            A refusal or the route; neither if the configuration was confirmed again and the check
            has to be repeated.
        """
        route = configuration.find_route(request.host, request.path)
        is_known = route is not None and (
            route.is_open or request.key in configuration.accounts_by_key
        )
        if is_known:
            return None, route
        waited_s = self._now_s() - request.arrived_s
        if self._operators.evidence_age_s > waited_s + UNKNOWN_RECHECK_AGE_S:
            if not await self._recheck():
                return _refuse(
                    request,
                    503,
                    "the configuration cannot be confirmed",
                ), None
            return None, None
        if route is None:
            return _refuse(request, 404, "no such queue"), None
        return _refuse(request, 401, "unknown key"), None

    async def _dispatch(self, request: _Request, route: Route, content: bytes) -> Reply | None:
        suffix = request.path[len(route.prefix) :]
        try:
            if not suffix and request.method == "GET":
                pending = await self._intake.pending_count(route.queue.name)
                return Reply(200, msgspec.json.encode({"pending": pending}))
            if not _JOB_ID.fullmatch(suffix):
                return _refuse(request, 404, "no such job")
            if request.method == "POST":
                return await self._submit(request, route, suffix, content)
            if request.method == "DELETE":
                return await self._cancel(request, route, suffix)
            if request.method == "GET":
                account = self._account_to_match(request, route)
                state = await self._intake.state(suffix, route.queue.name, account)
                if state is None:
                    return Reply(410)
                return Reply(200, msgspec.json.encode({"state": state.value}))
        except IntakeError as error:
            self._operators.report_store_failure()
            return _refuse(request, 504, str(error))
        return _refuse(request, 405, "no such method")

    async def _submit(
        self, request: _Request, route: Route, job_id: str, content: bytes
    ) -> Reply | None:
        start_s = time.monotonic()
        if len(content) > MAX_BODY_BYTES:
            return _refuse(request, 413, f"the body exceeds {MAX_BODY_BYTES} bytes")
        try:
            submission = self._decode(
                job_id,
                route.queue.name,
                self._account(request),
                self._now_unix_ms(),
                content,
            )
        except self._decode_error as error:
            return _refuse(request, 400, str(error))
        account = self._account_to_match(request, route)
        outcome = await self._intake.submit(submission, self._operators.guards(), account)
        self._metrics.count(
            "submissions",
            queue=route.queue.name,
            account=submission.account,
            outcome=outcome.value,
        )
        fields = {
            "job": job_id,
            "queue": route.queue.name,
            "account": submission.account,
            "outcome": outcome.value,
            "took_ms": round((time.monotonic() - start_s) * 1000, 1),
            "evidence_age_s": round(self._operators.evidence_age_s, 2),
        }
        match outcome:
            case SubmitOutcome.STORED | SubmitOutcome.DUPLICATE:
                log_event(SUBMISSION_STORED, **fields)
                return Reply(200)
            case SubmitOutcome.CONFLICTING:
                log_event(SUBMISSION_REFUSED, **fields)
                return _refuse(
                    request, 409, "another job has this ID on this queue; choose another ID"
                )
            case SubmitOutcome.TOO_LARGE:
                log_event(SUBMISSION_REFUSED, **fields)
                limit_bytes = self._intake.max_value_bytes
                return _refuse(
                    request,
                    413,
                    f"the job does not fit into {limit_bytes} bytes; use fewer or simpler steps",
                )
            case SubmitOutcome.REFUSED:
                log_event(SUBMISSION_REFUSED, **fields)
                return Reply(503)
            case SubmitOutcome.UNKNOWN:
                self._operators.report_store_failure()
                log_event(SUBMISSION_REFUSED, **fields)
                return Reply(504)
        return None

    def _account(self, request: _Request) -> str:
        """Return the client account of a request's key; empty for none."""
        configuration = self._operators.configuration
        account = configuration.accounts_by_key.get(request.key) if configuration else None
        return account.name if account else ""

    def _account_to_match(self, request: _Request, route: Route) -> str:
        """Return the account that the job of a request must have; empty for any."""
        return "" if route.is_open else self._account(request)

    async def _cancel(self, request: _Request, route: Route, job_id: str) -> Reply:
        account = self._account_to_match(request, route)
        outcome = await self._intake.cancel(job_id, route.queue.name, account)
        log_event(CANCELLATION_STORED, job=job_id, queue=route.queue.name, outcome=outcome.value)
        return Reply(410 if outcome is CancelOutcome.ABSENT else 200)


async def read_body(receive: Callable[[], Awaitable[dict[str, Any]]]) -> bytes:
    """Read the body of an ASGI request; a disconnect or `MAX_BODY_BYTES` ends it early."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return bytes(body)
        body += message.get("body", b"")
        if not message.get("more_body", False) or len(body) > MAX_BODY_BYTES:
            return bytes(body)

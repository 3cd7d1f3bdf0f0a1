"""Client interface for workflow jobs: submit, state, cancel, pending jobs of a queue."""

from __future__ import annotations

import re
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

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

UNKNOWN_CHECK_PAUSE_S = 0.1
"""Least age of the evidence at which an unknown key or route is looked up again."""

RETRY_AFTER_S = 1
"""Time after which a refused client is told to come back."""

CONFIGURATION_TRIES = 3
"""Checks of one submission against a configuration that changes meanwhile."""

_JOB_ID = re.compile(r"[0-9a-f]{16}")


@dataclass(frozen=True, slots=True)
class Reply:
    """A response to a client."""

    status: int
    body: bytes = b"{}"


@dataclass(frozen=True, slots=True)
class _Call:
    method: str
    path: str
    host: str
    key: str


def _refusal(call: _Call, status: int, reason: str) -> Reply:
    log_event(REQUEST_REFUSED, method=call.method, path=call.path, status=status, reason=reason)
    return Reply(status, msgspec.json.encode({"error": reason}))


class JobsApi:
    """Answers client requests from the store.

    Args:
        intake: Access to jobs in the store.
        operators: Configuration with evidence.
        decode: Decodes a submission.
        decode_error: What `decode` raises for a bad one.
        now_s: Local clock that counts suspended time.
        now_unix_ms: Time of day.
        metrics: Counts responses and their latency.
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

    async def handle(
        self, method: str, host: str, path: str, key: str, body: Callable[[], Awaitable[bytes]]
    ) -> Reply:
        """Answer one request.

        Args:
            method: HTTP method.
            host: `Host` header.
            path: Path without a query.
            key: Key of the client account; empty for none.
            body: Reads the request body.
        """
        began_s = self._now_s()
        reply = await self._answer(_Call(method, path, host.lower(), key), await body())
        self._metrics.count("requests", method=method, status=str(reply.status))
        self._metrics.observe_s("request", self._now_s() - began_s)
        return reply

    async def _answer(self, call: _Call, content: bytes) -> Reply:
        if self._operators.is_store_away:
            # Nothing is sent, so that the refusal is true and comes at once.
            return _refusal(call, 503, "the store does not answer")
        for _ in range(CONFIGURATION_TRIES):
            if not self._operators.is_proven and not await self._operators.confirm(self._now_s()):
                return _refusal(call, 503, "the configuration cannot be confirmed")
            configuration = self._operators.configuration
            if configuration is None:
                return _refusal(call, 503, "no configuration yet")
            refusal, route = await self._authorize(call, configuration)
            if route is None:
                if refusal is None:
                    continue
                return refusal
            reply = await self._dispatch(call, route, content)
            if reply is not None:
                return reply
            await self._operators.confirm(self._now_s())
        return _refusal(call, 503, "the configuration changes too often")

    async def _authorize(
        self, call: _Call, configuration: ClusterConfiguration
    ) -> tuple[Reply | None, Route | None]:
        """Check route and key; a refusal needs a configuration read after the request came."""
        route = configuration.find_route(call.host, call.path)
        is_known = route is not None and (
            route.is_open or call.key in configuration.accounts_by_key
        )
        if is_known:
            return None, route
        if self._operators.evidence_age_s > UNKNOWN_CHECK_PAUSE_S:
            if not await self._operators.confirm(self._now_s()):
                return _refusal(call, 503, "the configuration cannot be confirmed"), None
            return None, None
        if route is None:
            return _refusal(call, 404, "no such queue"), None
        return _refusal(call, 401, "unknown key"), None

    async def _dispatch(self, call: _Call, route: Route, content: bytes) -> Reply | None:
        rest = call.path[len(route.prefix) :]
        try:
            if not rest and call.method == "GET":
                pending = await self._intake.pending_count(route.queue.name)
                return Reply(200, msgspec.json.encode({"pending": pending}))
            if not _JOB_ID.fullmatch(rest):
                return _refusal(call, 404, "no such job")
            if call.method == "POST":
                return await self._submit(call, route, rest, content)
            if call.method == "DELETE":
                return await self._cancel(call, rest)
            if call.method == "GET":
                state = await self._intake.state(rest)
                if state is None:
                    return Reply(410)
                return Reply(200, msgspec.json.encode({"state": state[0].value}))
        except IntakeError as failure:
            self._operators.suspect_store()
            return _refusal(call, 504, str(failure))
        return _refusal(call, 405, "no such method")

    async def _submit(self, call: _Call, route: Route, job_id: str, content: bytes) -> Reply | None:
        configuration = self._operators.configuration
        account = configuration.accounts_by_key.get(call.key) if configuration else None
        began_s = time.monotonic()
        try:
            submission = self._decode(
                job_id,
                route.queue.name,
                account.name if account else "",
                self._now_unix_ms(),
                content,
            )
        except self._decode_error as error:
            return _refusal(call, 400, str(error))
        outcome = await self._intake.submit(submission, self._operators.guards())
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
            "took_ms": round((time.monotonic() - began_s) * 1000, 1),
            "evidence_age_s": round(self._operators.evidence_age_s, 2),
        }
        match outcome:
            case SubmitOutcome.STORED | SubmitOutcome.DUPLICATE:
                log_event(SUBMISSION_STORED, **fields)
                return Reply(200)
            case SubmitOutcome.REFUSED:
                log_event(SUBMISSION_REFUSED, **fields)
                return Reply(503)
            case SubmitOutcome.UNKNOWN:
                self._operators.suspect_store()
                log_event(SUBMISSION_REFUSED, **fields)
                return Reply(504)
        return None

    async def _cancel(self, call: _Call, job_id: str) -> Reply:
        outcome = await self._intake.cancel(job_id)
        log_event(CANCELLATION_STORED, job=job_id, outcome=outcome.value)
        return Reply(410 if outcome is CancelOutcome.ABSENT else 200)


async def read_body(receive: Callable[[], Awaitable[dict[str, Any]]]) -> bytes:
    """Read the body of an ASGI request."""
    chunks: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return b"".join(chunks)
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)

"""Callers' HTTP interface for requests.

The handler implements ASGI directly, because request and response objects would reduce the request
rate of an entry by a third.
"""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from foxtailwell.adapters.minions import MinionCallError, MinionResponse
from foxtailwell.core import WorkClass
from foxtailwell.core.errors import (
    FoxtailwellError,
    KeyReusedError,
    NotRunError,
    OutcomeUnknownError,
    UnavailableError,
)
from foxtailwell.entry._request_outcomes import RequestOutcomes
from foxtailwell.entry._requests import Request, RequestRunner
from foxtailwell.fleet import FleetView

__all__ = ["RequestsApi"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_BUFFERED_BODY_BYTES = 256 * 1024 * 1024
"""Maximum total size of request bodies in memory, so that the instance does not run out of it; a
request that would exceed it is refused."""

DEFAULT_DEADLINE_TARGETS = 10
MIN_DEFAULT_DEADLINE_S = 60.0
"""A request without a deadline may run for ten times its target, but for at least one minute."""

WATCH_DELAY_S = 0.1
"""Age of a request from which its caller is watched for a disconnect; most requests end earlier."""

_FORWARDED_HEADERS = frozenset(
    (b"content-type", b"accept", b"accept-encoding", b"content-encoding")
)


class CallerError(FoxtailwellError):
    """The request of a caller is invalid and did not run.

    The attribute `status` is the HTTP status of the response.
    """

    def __init__(self, status: int, code: str, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.status = status
        self.code = code


class CallerDisconnectedError(Exception):
    """The caller disconnected before the body of its request was complete."""


@dataclass(slots=True)
class _Headers:
    account: str = ""
    key: str = ""
    deadline_ms: bytes = b""
    length: int = 0
    forwarded: list[tuple[bytes, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class _ActiveRequest:
    request: Request
    receive: Receive
    is_watched: bool = False


class RequestsApi:
    """ASGI application for `POST /v1/requests/{work_class}`.

    While the attribute `is_draining` is set, responses ask callers to close their connections.

    Args:
        view: Configuration in force.
        runner: Runs the requests.
        ids: Numbers and identifiers of new requests, see `make_request_ids`.
        clock: Monotonic clock in seconds.
        outcomes: Records how the requests ended.
    """

    def __init__(
        self,
        view: FleetView,
        runner: RequestRunner,
        ids: Iterator[tuple[int, str]],
        clock: Callable[[], float] = time.monotonic,
        outcomes: RequestOutcomes | None = None,
    ) -> None:
        self._outcomes = outcomes if outcomes is not None else RequestOutcomes()
        self._view = view
        self._runner = runner
        self._ids = ids
        self._clock = clock
        self._active: dict[int, _ActiveRequest] = {}
        self._buffered_body_bytes = 0
        self.is_draining = False

    @property
    def active_count(self) -> int:
        """Number of requests whose response is not complete."""
        return len(self._active)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request; an error becomes a response with its code and remedy."""
        number, request_id = next(self._ids)
        try:
            await self._handle(scope, receive, send, number, request_id)
        except FoxtailwellError as error:
            await self._send_error(send, request_id, error)
        except (CallerDisconnectedError, MinionCallError):
            # The server closes the connection when this returns without a complete response.
            return

    async def watch_callers(self) -> None:
        """Cancel the requests whose callers have disconnected; runs until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(WATCH_DELAY_S)
                self._start_watches(group)

    def _start_watches(self, group: TaskGroup) -> None:
        latest_arrival_s = self._clock() - WATCH_DELAY_S
        for active in self._active.values():
            if not active.is_watched and active.request.arrived_s <= latest_arrival_s:
                active.is_watched = True
                group.start_soon(_watch_caller, active)

    async def _handle(
        self, scope: Scope, receive: Receive, send: Send, number: int, request_id: str
    ) -> None:
        arrived_s = self._clock()
        headers = _read_headers(scope["headers"])
        work_class = self._find_class(scope["path_params"]["work_class"])
        self._check_headers(headers, work_class)
        deadline_s = arrived_s + _relative_deadline_s(headers.deadline_ms, work_class)
        body = await self._read_body(receive, headers.length)
        request = Request(
            id=request_id,
            number=number,
            account=headers.account,
            work_class=work_class,
            idempotency_key=headers.key,
            headers=_minion_headers(headers),
            body=body,
            arrived_s=arrived_s,
            deadline_s=deadline_s,
        )
        self._active[number] = _ActiveRequest(request, receive)
        self._buffered_body_bytes += len(body)
        try:
            await self._run_request(request, send)
        except (FoxtailwellError, MinionCallError) as error:
            is_unknown = isinstance(error, OutcomeUnknownError | MinionCallError)
            self._record_outcome(
                request, "outcome_unknown" if is_unknown else "not_run", str(error)
            )
            if not request.has_response_begun:
                raise
            # The server closes the connection, because the response is not complete.
        else:
            self._record_outcome(request, "answer")
        finally:
            self._buffered_body_bytes -= len(body)
            del self._active[number]

    def _record_outcome(self, request: Request, outcome: str, detail: str = "") -> None:
        elapsed_s = self._clock() - request.arrived_s
        self._outcomes.record(
            request.id, request.account, request.work_class, elapsed_s, outcome, detail
        )

    async def _run_request(self, request: Request, send: Send) -> None:
        async def respond(response: MinionResponse) -> None:
            request.has_response_begun = True
            # The response has arrived or is being streamed, so the deadline no longer applies.
            cancel_scope.deadline = float("inf")
            await self._send_response(send, request.id, response)

        cancel_scope = request.cancel_scope
        cancel_scope.deadline = anyio.current_time() + max(0.0, request.deadline_s - self._clock())
        with cancel_scope:
            await self._runner.run(request, respond)
        if cancel_scope.cancelled_caught and not request.has_response_begun:
            raise _deadline_error(request)

    def _find_class(self, name: str) -> WorkClass:
        work_class = self._view.configuration.classes.get(name)
        if work_class is None or work_class.kind != "request":
            raise CallerError(
                404, "unknown_class", f'no class of requests "{name}"', "name a configured class"
            )
        return work_class

    def _check_headers(self, headers: _Headers, work_class: WorkClass) -> None:
        if headers.account not in self._view.configuration.accounts:
            raise CallerError(
                403,
                "unknown_account",
                f'no client account "{headers.account}"',
                "set Foxtailwell-Account to a configured account",
            )
        if not work_class.idempotent and not headers.key:
            raise CallerError(
                400,
                "key_required",
                f'class "{work_class.name}" may not be repeated',
                "send an Idempotency-Key that is unique to the request",
            )
        if headers.length > MAX_BODY_BYTES:
            raise _body_too_large_error()
        if self._buffered_body_bytes + headers.length > MAX_BUFFERED_BODY_BYTES:
            raise NotRunError("too many large bodies are in progress", "send it again later")

    async def _read_body(self, receive: Receive, length: int) -> bytes:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        if not message.get("more_body", False):
            return bytes(message.get("body", b""))
        parts = [message.get("body", b"")]
        size = len(parts[0])
        while message.get("more_body", False):
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > MAX_BODY_BYTES:
                raise _body_too_large_error()
        return b"".join(parts)

    async def _send_response(self, send: Send, request_id: str, response: MinionResponse) -> None:
        headers = [
            *response.headers,
            (b"foxtailwell-outcome", b"answer"),
            (b"foxtailwell-request-id", request_id.encode()),
        ]
        await self._send_start(send, response.status, headers)
        if response.body is not None:
            await send({"type": "http.response.body", "body": response.body})
            return
        async for chunk in response.chunks():
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    async def _send_error(self, send: Send, request_id: str, error: FoxtailwellError) -> None:
        outcome = b"outcome_unknown" if isinstance(error, OutcomeUnknownError) else b"not_run"
        body = msgspec.json.encode(
            {
                "code": error.code,
                "message": error.message,
                "remedy": error.remedy,
                "request_id": request_id,
            }
        )
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            (b"foxtailwell-outcome", outcome),
            (b"foxtailwell-request-id", request_id.encode()),
        ]
        if isinstance(error, NotRunError) and error.retry_after_s is not None:
            headers.append((b"retry-after", b"%d" % math.ceil(error.retry_after_s)))
        await self._send_start(send, _status_code(error), headers)
        await send({"type": "http.response.body", "body": body})

    async def _send_start(
        self, send: Send, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        if self.is_draining:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": status, "headers": headers})


async def _watch_caller(active: _ActiveRequest) -> None:
    message = await active.receive()
    while message["type"] != "http.disconnect":
        message = await active.receive()
    if active.request.may_cancel():
        active.request.cancel_scope.cancel()


def _read_headers(pairs: list[tuple[bytes, bytes]]) -> _Headers:
    headers = _Headers()
    for name, value in pairs:
        if name in _FORWARDED_HEADERS:
            headers.forwarded.append((name, value))
        elif name == b"foxtailwell-account":
            headers.account = value.decode("latin-1")
        elif name == b"idempotency-key":
            headers.key = value.decode("latin-1")
        elif name == b"foxtailwell-deadline-ms":
            headers.deadline_ms = value
        elif name == b"content-length" and value.isdigit():
            headers.length = int(value)
    return headers


def _minion_headers(headers: _Headers) -> tuple[tuple[bytes, bytes], ...]:
    key = headers.key.encode("latin-1")
    account = (b"foxtailwell-account", headers.account.encode("latin-1"))
    extra = ((b"idempotency-key", key), account) if key else (account,)
    return (*headers.forwarded, *extra)


def _relative_deadline_s(text: bytes, work_class: WorkClass) -> float:
    if not text:
        patience_s, target_s = work_class.patience_ms / 1000, work_class.target_ms / 1000
        return patience_s + max(MIN_DEFAULT_DEADLINE_S, DEFAULT_DEADLINE_TARGETS * target_s)
    if not text.isdigit() or len(text) > 9:
        raise CallerError(
            400,
            "bad_deadline",
            "Foxtailwell-Deadline-Ms is not a whole number of at most 9 digits",
            "send the milliseconds that remain for the request",
        )
    return int(text) / 1000


def _deadline_error(request: Request) -> FoxtailwellError:
    if request.may_have_run or request.is_duplicate:
        return OutcomeUnknownError(
            "the deadline passed before a response arrived",
            "repeat the request if running it twice does no harm",
        )
    return NotRunError("the deadline passed before the request was sent", "send it again")


def _body_too_large_error() -> CallerError:
    return CallerError(
        413, "body_too_large", f"the body exceeds {MAX_BODY_BYTES} bytes", "send a smaller body"
    )


def _status_code(error: FoxtailwellError) -> int:
    if isinstance(error, CallerError):
        return error.status
    if isinstance(error, KeyReusedError):
        return 409
    if isinstance(error, OutcomeUnknownError):
        return 504
    if isinstance(error, NotRunError | UnavailableError):
        return 503
    return 500

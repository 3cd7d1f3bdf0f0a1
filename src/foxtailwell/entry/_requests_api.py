"""Callers' HTTP interface for requests.

The handler speaks ASGI directly: request and response objects would cost a third of the rate that
one entry reaches.
"""

from __future__ import annotations

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

BODY_LIMIT_BYTES = 64 * 1024 * 1024
BUFFERED_BODIES_LIMIT_BYTES = 256 * 1024 * 1024
"""Request bodies held at once; more would put the instance's memory at risk."""

DEFAULT_DEADLINE_TARGETS = 10
DEFAULT_DEADLINE_MINIMUM_S = 60.0
"""Without a deadline a request may run for ten targets, and for a minute at least."""

WATCH_AFTER_S = 0.1
"""Age from which a request's caller is watched; most requests end before."""

_FORWARDED = frozenset((b"content-type", b"accept", b"accept-encoding", b"content-encoding"))


class CallerError(FoxtailwellError):
    """The caller's request is not acceptable; nothing ran."""

    def __init__(self, status: int, code: str, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.status = status
        self.code = code


class CallerGoneError(Exception):
    """The caller disconnected before its request was complete."""


@dataclass(slots=True)
class _Headers:
    account: str = ""
    key: str = ""
    deadline_ms: bytes = b""
    length: int = 0
    forwarded: list[tuple[bytes, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class _Active:
    request: Request
    receive: Receive
    is_watched: bool = False


class RequestsApi:
    """ASGI endpoint of `POST /v1/requests/{class}`."""

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
        self._active: dict[int, _Active] = {}
        self._buffered_bytes = 0
        self.is_draining = False

    @property
    def active_count(self) -> int:
        """Number of requests that have no response yet."""
        return len(self._active)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request of a caller."""
        number, request_id = next(self._ids)
        try:
            await self._handle(scope, receive, send, number, request_id)
        except FoxtailwellError as error:
            await self._send_error(send, request_id, error)
        except (CallerGoneError, MinionCallError):
            # Returning without a complete response makes the server close the connection.
            return

    async def watch_callers(self) -> None:
        """Give up the requests of callers that have disconnected, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(WATCH_AFTER_S)
                self._start_watches(group)

    def _start_watches(self, group: TaskGroup) -> None:
        limit_s = self._clock() - WATCH_AFTER_S
        for active in self._active.values():
            if not active.is_watched and active.request.arrived_s <= limit_s:
                active.is_watched = True
                group.start_soon(_watch_caller, active)

    async def _handle(
        self, scope: Scope, receive: Receive, send: Send, number: int, request_id: str
    ) -> None:
        arrived_s = self._clock()
        headers = _read_headers(scope["headers"])
        work_class = self._find_class(scope["path_params"]["work_class"])
        self._check(headers, work_class)
        deadline_s = arrived_s + _deadline_s(headers.deadline_ms, work_class)
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
        self._active[number] = _Active(request, receive)
        self._buffered_bytes += len(body)
        try:
            await self._run(request, send)
        except (FoxtailwellError, MinionCallError) as error:
            is_unknown = isinstance(error, OutcomeUnknownError | MinionCallError)
            self._record(request, "outcome_unknown" if is_unknown else "not_run", str(error))
            raise
        else:
            self._record(request, "answer")
        finally:
            self._buffered_bytes -= len(body)
            del self._active[number]

    def _record(self, request: Request, outcome: str, detail: str = "") -> None:
        elapsed_s = self._clock() - request.arrived_s
        self._outcomes.record(
            request.id, request.account, request.work_class, elapsed_s, outcome, detail
        )

    async def _run(self, request: Request, send: Send) -> None:
        async def respond(answer: MinionResponse) -> None:
            request.has_response_begun = True
            # The whole response has arrived or is on its way, so the deadline is met.
            scope.deadline = float("inf")
            await self._send_answer(send, request.id, answer)

        scope = request.cancel_scope
        scope.deadline = anyio.current_time() + max(0.0, request.deadline_s - self._clock())
        with scope:
            await self._runner.run(request, respond)
        if scope.cancelled_caught and not request.has_response_begun:
            raise _deadline_error(request)

    def _find_class(self, name: str) -> WorkClass:
        work_class = self._view.configuration.classes.get(name)
        if work_class is None or work_class.kind != "request":
            raise CallerError(
                404, "unknown_class", f'no class of requests "{name}"', "name a configured class"
            )
        return work_class

    def _check(self, headers: _Headers, work_class: WorkClass) -> None:
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
        if headers.length > BODY_LIMIT_BYTES:
            raise _too_large()
        if self._buffered_bytes + headers.length > BUFFERED_BODIES_LIMIT_BYTES:
            raise NotRunError("too many large bodies are in progress", "send it again later")

    async def _read_body(self, receive: Receive, length: int) -> bytes:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        if not message.get("more_body", False):
            return bytes(message.get("body", b""))
        parts = [message.get("body", b"")]
        size = len(parts[0])
        while message.get("more_body", False):
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > BODY_LIMIT_BYTES:
                raise _too_large()
        return b"".join(parts)

    async def _send_answer(self, send: Send, request_id: str, answer: MinionResponse) -> None:
        headers = [
            *answer.headers,
            (b"foxtailwell-outcome", b"answer"),
            (b"foxtailwell-request-id", request_id.encode()),
        ]
        await self._start(send, answer.status, headers)
        if answer.body is not None:
            await send({"type": "http.response.body", "body": answer.body})
            return
        async for chunk in answer.chunks():
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
        await self._start(send, _status_of(error), headers)
        await send({"type": "http.response.body", "body": body})

    async def _start(self, send: Send, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if self.is_draining:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": status, "headers": headers})


async def _watch_caller(active: _Active) -> None:
    message = await active.receive()
    while message["type"] != "http.disconnect":
        message = await active.receive()
    if active.request.may_cancel():
        active.request.cancel_scope.cancel()


def _read_headers(pairs: list[tuple[bytes, bytes]]) -> _Headers:
    found = _Headers()
    for name, value in pairs:
        if name in _FORWARDED:
            found.forwarded.append((name, value))
        elif name == b"foxtailwell-account":
            found.account = value.decode("latin-1")
        elif name == b"idempotency-key":
            found.key = value.decode("latin-1")
        elif name == b"foxtailwell-deadline-ms":
            found.deadline_ms = value
        elif name == b"content-length" and value.isdigit():
            found.length = int(value)
    return found


def _minion_headers(headers: _Headers) -> tuple[tuple[bytes, bytes], ...]:
    key = headers.key.encode("latin-1")
    account = (b"foxtailwell-account", headers.account.encode("latin-1"))
    extra = ((b"idempotency-key", key), account) if key else (account,)
    return (*headers.forwarded, *extra)


def _deadline_s(text: bytes, work_class: WorkClass) -> float:
    if not text:
        patience_s, target_s = work_class.patience_ms / 1000, work_class.target_ms / 1000
        return patience_s + max(DEFAULT_DEADLINE_MINIMUM_S, DEFAULT_DEADLINE_TARGETS * target_s)
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


def _too_large() -> CallerError:
    return CallerError(
        413, "body_too_large", f"the body exceeds {BODY_LIMIT_BYTES} bytes", "send a smaller body"
    )


def _status_of(error: FoxtailwellError) -> int:
    if isinstance(error, CallerError):
        return error.status
    if isinstance(error, KeyReusedError):
        return 409
    if isinstance(error, OutcomeUnknownError):
        return 504
    if isinstance(error, NotRunError | UnavailableError):
        return 503
    return 500

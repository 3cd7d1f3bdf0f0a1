"""Stand-in for minions, with limited slots and connections and with injectable failures.

It implements HTTP on an asyncio protocol, because an HTTP server library cannot produce some of the
failures: a closed connection, a body shorter than its length, the response to another request.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Literal, cast

import anyio
import httptools
import msgspec
from anyio.abc import TaskStatus

__all__ = ["MinionFailures", "MinionState", "serve_minion"]

Mode = Literal[
    "", "crossed", "short", "late", "error", "busy", "leaving", "cut_before", "cut_during", "extra"
]
EXECUTED_LIMIT = 100_000


@dataclass(frozen=True, slots=True)
class MinionFailures:
    """Injected failures, run times and response sizes; `POST /control` takes the same fields.

    Attributes:
        mode: Failure of the coming requests. `crossed` responds with another request's identifier,
            `short` sends half of the body, `late` responds `late_ms` after the run, `error` fails
            without a run, `busy` and `leaving` refuse, `cut_before` closes the connection before
            the run, `cut_during` closes it after the run, `extra` sends an unsolicited second
            response.
        count: Number of requests that fail; -1 for no limit.
        late_ms: Delay of a response in mode `late`.
        run_ms: Run time of a request.
        run_ms_by_class: Run time by work class; overrides `run_ms`.
        answer_bytes: Size of a response body; 0 returns the body of the request.
        fatal_body: Request body that crashes the minion: all its connections break.
    """

    mode: Mode = ""
    count: int = -1
    late_ms: float = 1000.0
    run_ms: float = 0.0
    run_ms_by_class: dict[str, float] = field(default_factory=dict)
    answer_bytes: int = 0
    fatal_body: str = ""


@dataclass(slots=True)
class MinionState:
    """One minion with its load and the requests that it ran.

    Attributes:
        slots: Requests that run at once; more are refused.
        connections: Open connections; more are aborted.
        executed: Request identifier, idempotency key and work class of each run.
        transports: Open connections.
    """

    slots: int = 8
    connections: int = 64
    failures: MinionFailures = field(default_factory=MinionFailures)
    in_flight: int = 0
    open_connections: int = 0
    peak_in_flight: int = 0
    refused: int = 0
    failed: int = 0
    executed: deque[tuple[str, str, str]] = field(
        default_factory=lambda: deque(maxlen=EXECUTED_LIMIT)
    )
    transports: set[asyncio.Transport] = field(default_factory=set)

    def crash(self) -> None:
        """Break all connections; the minion accepts new ones at once."""
        for transport in list(self.transports):
            transport.abort()

    def next_mode(self) -> Mode:
        """Return the failure of the next request and decrement `count`."""
        failures = self.failures
        if not failures.mode or failures.count == 0:
            return ""
        if failures.count > 0:
            self.failures = replace(failures, count=failures.count - 1)
        return failures.mode


class _MinionProtocol(asyncio.Protocol):
    """HTTP connection of a caller; the httptools parser calls the `on_` methods."""

    def __init__(self, state: MinionState) -> None:
        self._state = state
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._reset()

    def _reset(self) -> None:
        self._path = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop transports implement asyncio.Transport without inheriting from it.
        self._transport = cast("asyncio.Transport", transport)
        self._state.transports.add(self._transport)
        self._state.open_connections += 1
        if self._state.open_connections > self._state.connections:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._state.open_connections -= 1
        if self._transport is not None:
            self._state.transports.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._close()

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        path, headers, body = self._path.decode(), self._headers, bytes(self._body)
        method = self._parser.get_method()
        self._reset()
        if path == "/control":
            self._control(method, body)
        elif path.startswith("/v1/run/"):
            self._start_run(path.removeprefix("/v1/run/"), headers, body)
        else:
            self._send(404, b"", b"")

    def _control(self, method: bytes, body: bytes) -> None:
        state = self._state
        if method == b"POST":
            values = msgspec.json.decode(body)
            state.failures = replace(state.failures, **values)
        report = {
            "failures": state.failures,
            "in_flight": state.in_flight,
            "peak_in_flight": state.peak_in_flight,
            "open_connections": state.open_connections,
            "refused": state.refused,
            "failed": state.failed,
            "executed": list(state.executed),
        }
        self._send(200, b"", msgspec.json.encode(report))

    def _start_run(self, work_class: str, headers: dict[bytes, bytes], body: bytes) -> None:
        state = self._state
        request_id = headers.get(b"x-request-id", b"")
        mode = state.next_mode()
        if mode == "cut_before":
            self._close()
            return
        if mode == "error":
            state.failed += 1
            self._send(500, request_id, b"")
            return
        if mode in ("busy", "leaving") or state.in_flight >= state.slots:
            state.refused += 1
            reason = b"leaving" if mode == "leaving" else b"busy"
            self._send(503, request_id, b"", b"x-refused: " + reason + b"\r\n")
            return
        key = headers.get(b"idempotency-key", b"").decode()
        state.in_flight += 1
        state.peak_in_flight = max(state.peak_in_flight, state.in_flight)
        state.executed.append((request_id.decode(), key, work_class))
        failures = state.failures
        if failures.fatal_body and body == failures.fatal_body.encode():
            state.in_flight -= 1
            state.crash()
            return
        run_ms = failures.run_ms_by_class.get(work_class, failures.run_ms)
        if mode == "late":
            run_ms += failures.late_ms
        if run_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(run_ms / 1000, self._finish_run, mode, request_id, body)
        else:
            self._finish_run(mode, request_id, body)

    def _finish_run(self, mode: Mode, request_id: bytes, body: bytes) -> None:
        size = self._state.failures.answer_bytes
        response = (body * (size // max(1, len(body)) + 1))[:size] if size else body
        if mode == "cut_during":
            self._close()
        elif mode == "crossed":
            self._send(200, b"other-" + request_id, response)
        elif mode == "short":
            self._send(200, request_id, response, length=len(response) * 2 + 2)
            self._close()
        else:
            self._send(200, request_id, response)
        if mode == "extra":
            self._send(200, b"unasked", response)
        self._state.in_flight -= 1

    def _send(
        self,
        status: int,
        request_id: bytes,
        body: bytes,
        extra: bytes = b"",
        *,
        length: int | None = None,
    ) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        head = (
            b"HTTP/1.1 %d X\r\nx-request-id: %s\r\nx-in-flight: %d\r\ncontent-length: %d\r\n%s\r\n"
            % (
                status,
                request_id,
                max(0, self._state.in_flight - 1),
                len(body) if length is None else length,
                extra,
            )
        )
        transport.write(head + body)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()


async def serve_minion(
    state: MinionState, port: int = 0, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Serve one minion on 127.0.0.1 until cancelled.

    Args:
        state: Load, limits and failures of the minion.
        port: Port; 0 for a free one.
        task_status: Receives the port once it accepts connections.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _MinionProtocol(state), "127.0.0.1", port)
    async with server:
        task_status.started(server.sockets[0].getsockname()[1])
        await anyio.sleep_forever()

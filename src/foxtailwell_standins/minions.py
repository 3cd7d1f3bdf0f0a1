"""Stand-in of minions: slots, connections, reported load and failures set by a control call.

It speaks HTTP on bare protocols, because its failures (a cut connection, a body shorter than its
length, the response to another request) cannot be produced through an HTTP server library.
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
    """Failures and behaviour that the stand-in brings about.

    Attributes:
        mode: Failure of the coming requests. `crossed` answers with another request's identifier,
            `short` sends half of the body, `late` answers `late_ms` after the run, `error` fails at
            once, `busy` and `leaving` refuse, `cut_before` closes before the request runs,
            `cut_during` closes after it ran, `extra` sends a second response nobody asked for.
        count: Number of requests that fail; -1 is without limit.
        late_ms: Delay of a late response.
        run_ms: Run time of every request.
        run_ms_by_class: Run time by class, before `run_ms`.
        answer_bytes: Size of the response; 0 returns the request's body.
    """

    mode: Mode = ""
    count: int = -1
    late_ms: float = 1000.0
    run_ms: float = 0.0
    run_ms_by_class: dict[str, float] = field(default_factory=dict)
    answer_bytes: int = 0


@dataclass(slots=True)
class MinionState:
    """One minion with its load and the log of what it ran."""

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

    def take_mode(self) -> Mode:
        """Return the failure of the next request and count it."""
        failures = self.failures
        if not failures.mode or failures.count == 0:
            return ""
        if failures.count > 0:
            self.failures = replace(failures, count=failures.count - 1)
        return failures.mode


class _MinionProtocol(asyncio.Protocol):
    """One connection; httptools calls the `on_` methods."""

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
        # The transports of uvloop have the methods but not the base class.
        self._transport = cast("asyncio.Transport", transport)
        self._state.open_connections += 1
        if self._state.open_connections > self._state.connections:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._state.open_connections -= 1

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
            self._run(path.removeprefix("/v1/run/"), headers, body)
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

    def _run(self, work_class: str, headers: dict[bytes, bytes], body: bytes) -> None:
        state = self._state
        request_id = headers.get(b"x-request-id", b"")
        mode = state.take_mode()
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
        run_ms = failures.run_ms_by_class.get(work_class, failures.run_ms)
        if mode == "late":
            run_ms += failures.late_ms
        if run_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(run_ms / 1000, self._finish, mode, request_id, body)
        else:
            self._finish(mode, request_id, body)

    def _finish(self, mode: Mode, request_id: bytes, body: bytes) -> None:
        size = self._state.failures.answer_bytes
        answer = (body * (size // max(1, len(body)) + 1))[:size] if size else body
        if mode == "cut_during":
            self._close()
        elif mode == "crossed":
            self._send(200, b"other-" + request_id, answer)
        elif mode == "short":
            self._send(200, request_id, answer, length=len(answer) * 2 + 2)
            self._close()
        else:
            self._send(200, request_id, answer)
        if mode == "extra":
            self._send(200, b"unasked", answer)
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
    """Serve one minion until cancelled.

    Args:
        state: State of the minion.
        port: Port on 127.0.0.1; 0 takes a free one.
        task_status: Reports the port.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _MinionProtocol(state), "127.0.0.1", port)
    async with server:
        task_status.started(server.sockets[0].getsockname()[1])
        await anyio.sleep_forever()

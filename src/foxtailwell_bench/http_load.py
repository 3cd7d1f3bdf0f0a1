"""Closed-loop HTTP load on bare protocols, light enough not to limit what is measured."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

__all__ = ["LoadResult", "run_closed_loop"]

RUN_LIMIT_S = 20.0
"""Longest run; a longer one means that requests are stuck."""


@dataclass(slots=True)
class LoadResult:
    """What a run measured."""

    elapsed_s: float = 0.0
    latencies_ms: list[float] = field(default_factory=list)
    statuses: dict[int, int] = field(default_factory=dict)

    @property
    def requests_per_s(self) -> float:
        """Rate of completed requests."""
        return len(self.latencies_ms) / self.elapsed_s

    def percentile_ms(self, share: float) -> float:
        """Return a latency percentile."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class _Connection(asyncio.Protocol):
    """One connection that sends the next request when a response is complete."""

    def __init__(self, make_request: Callable[[], bytes | None], result: LoadResult) -> None:
        self._make_request = make_request
        self._result = result
        self._parser = httptools.HttpResponseParser(self)
        self._sent_at_s = 0.0
        self._transport: asyncio.Transport | None = None
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop have the methods but not the base class.
        self._transport = cast("asyncio.Transport", transport)
        self._send()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_exception(ConnectionError("connection closed before the last response"))

    def on_message_complete(self) -> None:
        self._result.latencies_ms.append((time.perf_counter() - self._sent_at_s) * 1000)
        status = self._parser.get_status_code()
        self._result.statuses[status] = self._result.statuses.get(status, 0) + 1
        self._parser = httptools.HttpResponseParser(self)
        self._send()

    def _send(self) -> None:
        assert self._transport is not None
        request = self._make_request()
        if request is None:
            if not self.done.done():
                self.done.set_result(None)
            self._transport.close()
            return
        self._sent_at_s = time.perf_counter()
        self._transport.write(request)


async def run_closed_loop(
    port: int, make_request: Callable[[], bytes | None], connections: int
) -> LoadResult:
    """Send requests over several connections, each waiting for its response.

    Args:
        port: Port on 127.0.0.1.
        make_request: Returns the next request, or None at the end.
        connections: Number of connections.
    """
    result = LoadResult()
    started_s = time.perf_counter()
    protocols = [await _connect(port, make_request, result) for _ in range(connections)]
    async with asyncio.timeout(RUN_LIMIT_S):
        await asyncio.gather(*(p.done for p in protocols))
    result.elapsed_s = time.perf_counter() - started_s
    return result


async def _connect(
    port: int, make_request: Callable[[], bytes | None], result: LoadResult
) -> _Connection:
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(
        lambda: _Connection(make_request, result), "127.0.0.1", port
    )
    return protocol

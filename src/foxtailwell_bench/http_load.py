"""Closed-loop HTTP load generator.

It uses bare asyncio protocols, whose overhead is low enough not to limit the measured server.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

__all__ = ["LoadResult", "run_closed_loop"]

RUN_TIMEOUT_S = 20.0
"""Timeout of a run; a longer run means that requests are stuck."""


@dataclass(slots=True)
class LoadResult:
    """Measurements of a run: duration, latency of each request, and responses by status code."""

    elapsed_s: float = 0.0
    latencies_ms: list[float] = field(default_factory=list)
    statuses: dict[int, int] = field(default_factory=dict)

    @property
    def requests_per_s(self) -> float:
        """Completed requests per second over the whole run."""
        return len(self.latencies_ms) / self.elapsed_s

    def percentile_ms(self, share: float) -> float:
        """Return the latency quantile `share`, from 0 to 1."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class _Connection(asyncio.Protocol):
    """Connection that sends the next request when the response to the last one is complete."""

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
    """Send requests over several connections, with one request in flight on each.

    Args:
        port: Port on 127.0.0.1.
        make_request: Returns the bytes of the next request, or None when there are no more.
        connections: Number of connections.

    Raises:
        TimeoutError: The run took longer than `RUN_TIMEOUT_S`.
        ConnectionError: The server closed a connection before the last response.
    """
    result = LoadResult()
    started_s = time.perf_counter()
    protocols = [await _connect(port, make_request, result) for _ in range(connections)]
    async with asyncio.timeout(RUN_TIMEOUT_S):
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

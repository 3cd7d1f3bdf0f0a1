"""HTTP client for minions, based on httpcore.

A connection handles one request at a time, and each response is checked against its request.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Literal, cast

import anyio
import httpcore
from httpcore import AnyIOBackend, AsyncHTTPConnection, AsyncNetworkBackend, AsyncNetworkStream

__all__ = [
    "MAX_BUFFERED_BYTES",
    "MinionResponse",
    "MinionCall",
    "MinionClient",
    "MinionCallError",
    "MinionRefusedError",
]

MAX_BUFFERED_BYTES = 256 * 1024
"""Responses up to this size are read completely before any of it is forwarded."""

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_S = 30.0

Headers = tuple[tuple[bytes, bytes], ...]
HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"x-in-flight", b"x-request-id", b"date")
)


@dataclass(frozen=True, slots=True)
class MinionCall:
    """One attempt to send a request to a minion.

    Attributes:
        path: Path on the minion.
        request_id: Identifier of this attempt, which the response must echo.
        headers: Additional headers.
        body: Request body.
        timeout_s: Timeout of each write and each read, and an upper bound for the connect timeout.
    """

    path: str
    request_id: str
    headers: Headers
    body: bytes
    timeout_s: float


class MinionRefusedError(Exception):
    """The minion refused the request without running it."""

    def __init__(self, reason: Literal["busy", "leaving"], reported_load: int | None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.reported_load = reported_load


class MinionCallError(Exception):
    """A call got no usable response.

    Attributes:
        cause: Cause of the failure.
        may_have_run: Whether any byte of the request may have been sent.
        is_connection_lost: Whether the connection broke after that, before the whole response.
    """

    def __init__(self, cause: str, may_have_run: bool, *, is_connection_lost: bool = False) -> None:
        super().__init__(cause)
        self.cause = cause
        self.may_have_run = may_have_run
        self.is_connection_lost = is_connection_lost


class MinionResponse:
    """A verified response: short ones are complete in `body`, long ones are read by `chunks`."""

    __slots__ = (
        "_chunks",
        "_recorded",
        "body",
        "headers",
        "length_bytes",
        "reported_load",
        "status",
    )

    def __init__(
        self, status: int, headers: Headers, length_bytes: int, reported_load: int | None
    ) -> None:
        self.status = status
        self.headers = headers
        self.length_bytes = length_bytes
        self.reported_load = reported_load
        self.body: bytes | None = None
        self._chunks: AsyncIterator[bytes] | None = None
        self._recorded: list[bytes] | None = None

    def record_body(self) -> None:
        """Start to record the chunks that `chunks` yields."""
        self._recorded = []

    def recorded_body(self) -> bytes | None:
        """Return the recorded body, or None if it was not read completely."""
        body = b"".join(self._recorded or ())
        return body if len(body) == self.length_bytes else None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body of a long response; yields nothing for a short one.

        Raises:
            MinionCallError: The connection failed or timed out before the end of the body.
        """
        if self._chunks is None:
            return
        try:
            async for chunk in self._chunks:
                if self._recorded is not None:
                    self._recorded.append(chunk)
                yield chunk
        except _TRANSPORT_ERRORS as error:
            raise MinionCallError(type(error).__name__, may_have_run=True) from error


_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)


def _transport_failure(error: Exception, cause: str, *, may_have_run: bool) -> MinionCallError:
    """Return the failure of a call; after a time-out the connection may still be whole."""
    is_lost = may_have_run and not isinstance(error, httpcore.TimeoutException)
    return MinionCallError(cause, may_have_run, is_connection_lost=is_lost)


class _SendTrackingStream(AsyncNetworkStream):
    """A network stream that records whether anything was written to it."""

    def __init__(self, stream: AsyncNetworkStream) -> None:
        self._stream = stream
        self.has_sent = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        # Set before the write, because a failed or cancelled write may have sent some bytes.
        self.has_sent = True
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)


class _TrackingBackend(AsyncNetworkBackend):
    """Network backend that wraps the stream of its connection."""

    def __init__(self) -> None:
        self.stream: _SendTrackingStream | None = None

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> AsyncNetworkStream:
        stream = await _ANYIO_BACKEND.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        self.stream = _SendTrackingStream(stream)
        return self.stream


_ANYIO_BACKEND = AnyIOBackend()


class _Connection:
    """A connection to a minion that handles one request at a time."""

    __slots__ = ("_backend", "http")

    def __init__(self, origin: httpcore.Origin) -> None:
        self._backend = _TrackingBackend()
        self.http = AsyncHTTPConnection(
            origin, keepalive_expiry=IDLE_LIMIT_S, network_backend=self._backend
        )

    def reset(self) -> None:
        """Reset `has_sent` before a new request."""
        if self._backend.stream is not None:
            self._backend.stream.has_sent = False

    def has_sent(self) -> bool:
        """Return whether any byte of the current request may have been sent."""
        return self._backend.stream is not None and self._backend.stream.has_sent


class MinionClient:
    """Sends requests to one minion over persistent connections.

    Args:
        address: `host:port`.
        max_connections: Maximum number of open connections.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._host = address.encode()
        self._idle: list[_Connection] = []
        self._max_connections = max_connections
        self.open_connections = 0

    def can_connect(self) -> bool:
        """Return whether a connection is idle or a new one may be opened."""
        return bool(self._idle) or self.open_connections < self._max_connections

    def call(self, call: MinionCall) -> _Exchange:
        """Return a context manager that sends a request and yields the verified response.

        Entering it raises `MinionRefusedError` if the minion refused the request, and
        `MinionCallError` if no usable response arrived.
        """
        return _Exchange(self, call)

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._discard(self._idle.pop())

    async def _acquire(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            # A readable idle connection has expired: it received unexpected data or was closed.
            if connection.http.is_idle() and not connection.http.has_expired():
                return connection
            await self._discard(connection)
        self.open_connections += 1
        return _Connection(self._origin)

    async def _release(self, connection: _Connection) -> None:
        if connection.http.is_idle() and not connection.http.has_expired():
            self._idle.append(connection)
        else:
            await self._discard(connection)

    async def _discard(self, connection: _Connection) -> None:
        self.open_connections -= 1
        with anyio.CancelScope(shield=True):
            await connection.http.aclose()

    def _request(self, call: MinionCall) -> httpcore.Request:
        headers = [
            (b"host", self._host),
            (b"x-request-id", call.request_id.encode()),
            (b"content-length", b"%d" % len(call.body)),
            *call.headers,
        ]
        timeout = {
            "connect": min(CONNECT_TIMEOUT_S, call.timeout_s),
            "write": call.timeout_s,
            "read": call.timeout_s,
        }
        url = httpcore.URL(
            scheme=b"http",
            host=self._origin.host,
            port=self._origin.port,
            target=call.path.encode(),
        )
        return httpcore.Request(
            b"POST", url, headers=headers, content=call.body, extensions={"timeout": timeout}
        )


class _Exchange:
    """Context manager for one request and its response.

    Attributes:
        has_sent: After exit, whether any byte of the request may have been sent.
    """

    __slots__ = ("_call", "_client", "_connection", "_is_complete", "_response", "has_sent")

    def __init__(self, client: MinionClient, call: MinionCall) -> None:
        self._client = client
        self._call = call
        self._connection: _Connection | None = None
        self._response: httpcore.Response | None = None
        self._is_complete = False
        self.has_sent = False

    async def __aenter__(self) -> MinionResponse:
        try:
            return await self._open()
        except BaseException:
            await self._close()
            raise

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._close()

    async def _open(self) -> MinionResponse:
        connection = self._connection = await self._client._acquire()
        connection.reset()
        try:
            response = await connection.http.handle_async_request(self._client._request(self._call))
        except _TRANSPORT_ERRORS as error:
            raise _transport_failure(
                error, type(error).__name__, may_have_run=connection.has_sent()
            ) from error
        self._response = response
        stream = cast("AsyncIterator[bytes]", response.stream)
        try:
            result = self._verify(response)
        except MinionRefusedError:
            await self._read_body(stream)
            raise
        if result.length_bytes > MAX_BUFFERED_BYTES:
            result._chunks = self._stream_body(stream)
            return result
        result.body = await self._read_body(stream)
        return result

    async def _read_body(self, stream: AsyncIterator[bytes]) -> bytes:
        try:
            body = b"".join([chunk async for chunk in stream])
        except _TRANSPORT_ERRORS as error:
            cause = f"short response: {type(error).__name__}"
            raise _transport_failure(error, cause, may_have_run=True) from error
        self._is_complete = True
        return body

    async def _stream_body(self, stream: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        async for chunk in stream:
            yield chunk
        self._is_complete = True

    def _verify(self, response: httpcore.Response) -> MinionResponse:
        """Verify the identifier and length of a response and detect refusals.

        Raises:
            MinionCallError: The response belongs to another request or has no length.
            MinionRefusedError: The minion refused the request.
        """
        headers = {name.lower(): value for name, value in response.headers}
        if headers.get(b"x-request-id", b"").decode("latin-1") != self._call.request_id:
            raise MinionCallError("mismatched response", may_have_run=True)
        length, load = headers.get(b"content-length", b""), headers.get(b"x-in-flight", b"")
        if not length.isdigit():
            raise MinionCallError("response without a length", may_have_run=True)
        reported = int(load) if load.isdigit() else None
        refused = headers.get(b"x-refused", b"").decode("latin-1")
        if response.status == 503 and refused in ("busy", "leaving"):
            raise MinionRefusedError(cast('Literal["busy", "leaving"]', refused), reported)
        forwarded_headers = tuple(
            (name.lower(), value)
            for name, value in response.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        return MinionResponse(response.status, forwarded_headers, int(length), reported)

    async def _close(self) -> None:
        """Reuse the connection if the response was read completely, otherwise close it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        self.has_sent = connection.has_sent()
        if not self._is_complete or self._response is None:
            await self._client._discard(connection)
            return
        await cast("Any", self._response.stream).aclose()
        await self._client._release(connection)

"""Client of minions on httpcore: one request per connection at a time, checked responses."""

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
"""Responses up to this size are read in full before the first byte is forwarded."""

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_S = 30.0

Headers = tuple[tuple[bytes, bytes], ...]
HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"x-in-flight", b"x-request-id", b"date")
)


@dataclass(frozen=True, slots=True)
class MinionCall:
    """One attempt of a request.

    Attributes:
        path: Path on the minion.
        request_id: Identifier of this attempt; the response must carry it.
        headers: Further headers.
        body: Body of the request.
        timeout_s: Longest wait for each part of the response.
    """

    path: str
    request_id: str
    headers: Headers
    body: bytes
    timeout_s: float


class MinionRefusedError(Exception):
    """The minion refused the request and ran nothing."""

    def __init__(self, reason: Literal["busy", "leaving"], reported_load: int | None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.reported_load = reported_load


class MinionCallError(Exception):
    """No usable response arrived.

    Attributes:
        cause: What happened.
        may_have_run: Whether any byte of the request was sent.
    """

    def __init__(self, cause: str, may_have_run: bool) -> None:
        super().__init__(cause)
        self.cause = cause
        self.may_have_run = may_have_run


class MinionResponse:
    """A checked response: either complete in `body`, or read from `chunks`."""

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
        """Keep a copy of the chunks that are read."""
        self._recorded = []

    def recorded_body(self) -> bytes | None:
        """Return the whole body of a kept response once all of it was read."""
        body = b"".join(self._recorded or ())
        return body if len(body) == self.length_bytes else None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Read the body of a long response.

        Raises:
            MinionCallError: The body ended early or stopped.
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


class _CountingStream(AsyncNetworkStream):
    """A stream that remembers whether it was ever asked to send."""

    def __init__(self, stream: AsyncNetworkStream) -> None:
        self._stream = stream
        self.has_sent = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        # Set before the call: a failed or cancelled write may have sent a part.
        self.has_sent = True
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)


class _Backend(AsyncNetworkBackend):
    """Opens one counting stream."""

    def __init__(self) -> None:
        self.stream: _CountingStream | None = None

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> AsyncNetworkStream:
        stream = await _ANYIO.connect_tcp(host, port, timeout, local_address, socket_options)
        self.stream = _CountingStream(stream)
        return self.stream


_ANYIO = AnyIOBackend()


class _Connection:
    """One connection to a minion; used by one request at a time."""

    __slots__ = ("_backend", "http")

    def __init__(self, origin: httpcore.Origin) -> None:
        self._backend = _Backend()
        self.http = AsyncHTTPConnection(
            origin, keepalive_expiry=IDLE_LIMIT_S, network_backend=self._backend
        )

    def begin(self) -> None:
        """Forget what earlier requests sent."""
        if self._backend.stream is not None:
            self._backend.stream.has_sent = False

    def has_sent(self) -> bool:
        """Return whether a byte of the current request may have left."""
        return self._backend.stream is not None and self._backend.stream.has_sent


class MinionClient:
    """Connections to one minion.

    Args:
        address: `host:port`.
        max_connections: Connections that this client may hold open.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._host = address.encode()
        self._idle: list[_Connection] = []
        self._max_connections = max_connections
        self.open_connections = 0

    def can_connect(self) -> bool:
        """Return whether a request would find a connection."""
        return bool(self._idle) or self.open_connections < self._max_connections

    def call(self, call: MinionCall) -> _Exchange:
        """Return a context manager that sends a request and yields its checked response.

        Entering raises `MinionRefusedError` when the minion ran nothing and `MinionCallError` when
        no usable response arrived.
        """
        return _Exchange(self, call)

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._discard(self._idle.pop())

    async def _take(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            # A readable idle connection holds bytes that nobody asked for, or its end.
            if connection.http.is_idle() and not connection.http.has_expired():
                return connection
            await self._discard(connection)
        self.open_connections += 1
        return _Connection(self._origin)

    async def _give_back(self, connection: _Connection) -> None:
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
    """One request and its response on one connection.

    Attributes:
        has_sent: After the exchange, whether a byte of the request may have left.
    """

    __slots__ = ("_call", "_client", "_connection", "_is_whole", "_response", "has_sent")

    def __init__(self, client: MinionClient, call: MinionCall) -> None:
        self._client = client
        self._call = call
        self._connection: _Connection | None = None
        self._response: httpcore.Response | None = None
        self._is_whole = False
        self.has_sent = False

    async def __aenter__(self) -> MinionResponse:
        try:
            return await self._open()
        except BaseException:
            await self._finish()
            raise

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._finish()

    async def _open(self) -> MinionResponse:
        connection = self._connection = await self._client._take()
        connection.begin()
        try:
            response = await connection.http.handle_async_request(self._client._request(self._call))
        except _TRANSPORT_ERRORS as error:
            raise MinionCallError(type(error).__name__, connection.has_sent()) from error
        self._response = response
        stream = cast("AsyncIterator[bytes]", response.stream)
        try:
            answer = self._check(response)
        except MinionRefusedError:
            await self._read_all(stream)
            raise
        if answer.length_bytes > MAX_BUFFERED_BYTES:
            answer._chunks = self._read_on(stream)
            return answer
        answer.body = await self._read_all(stream)
        return answer

    async def _read_all(self, stream: AsyncIterator[bytes]) -> bytes:
        try:
            body = b"".join([chunk async for chunk in stream])
        except _TRANSPORT_ERRORS as error:
            raise MinionCallError(f"short response: {type(error).__name__}", True) from error
        self._is_whole = True
        return body

    async def _read_on(self, stream: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        async for chunk in stream:
            yield chunk
        self._is_whole = True

    def _check(self, response: httpcore.Response) -> MinionResponse:
        """Check identifier and length of a response before anything of it is used."""
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
        kept = tuple(
            (name.lower(), value)
            for name, value in response.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        return MinionResponse(response.status, kept, int(length), reported)

    async def _finish(self) -> None:
        """Keep the connection if the response was read in full, close it otherwise."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        self.has_sent = connection.has_sent()
        if not self._is_whole or self._response is None:
            await self._client._discard(connection)
            return
        await cast("Any", self._response.stream).aclose()
        await self._client._give_back(connection)

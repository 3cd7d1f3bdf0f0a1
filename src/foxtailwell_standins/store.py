"""Stand-in for the configuration store: compare-and-swap, leases, watches and failures."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

__all__ = ["StoreFailures", "StoreState", "make_store_app"]

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class StoreFailures:
    """Injected failures and limits; `POST /control` takes the same fields.

    Attributes:
        outage: Whether every call fails with status 503.
        latency_ms: Delay before each response.
        lose_responses: Number of coming writes that take effect but get status 503.
        writes_per_s: Rate limit of writes and lease calls; further ones get status 429.
        reads_per_s: Rate limit of reads and watches; further ones get status 429.
    """

    outage: bool = False
    latency_ms: float = 0.0
    lose_responses: int = 0
    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0


@dataclass(slots=True)
class _Entry:
    version: int
    value: str
    write_id: str
    revision: int


@dataclass(slots=True)
class _Lease:
    holder: str
    term: int
    expires_at_s: float


@dataclass(slots=True)
class _TokenBucket:
    tokens: float = 0.0
    at_s: float = 0.0

    def take(self, rate_per_s: float) -> bool:
        now_s = time.monotonic()
        self.tokens = min(rate_per_s, self.tokens + (now_s - self.at_s) * rate_per_s)
        self.at_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class StoreState:
    """Contents, leases, failures and call counts of the store."""

    failures: StoreFailures = field(default_factory=StoreFailures)
    revision: int = 1
    entries: dict[str, _Entry] = field(default_factory=dict)
    leases: dict[str, _Lease] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)
    reads: _TokenBucket = field(default_factory=_TokenBucket)
    writes: _TokenBucket = field(default_factory=_TokenBucket)
    counts: dict[str, int] = field(default_factory=lambda: {"reads": 0, "writes": 0, "refused": 0})

    def notify(self) -> None:
        """Make all waiting watches check for changes."""
        self.changed.set()
        self.changed = anyio.Event()


def make_store_app(state: StoreState) -> Starlette:
    """Return the HTTP interface of the store.

    `GET /control` returns failures and call counts; `POST /control` also changes the failures that
    the body names.
    """

    async def get_key(request: Request) -> Response:
        key = request.path_params["key"]
        entry = state.entries.get(key)
        if entry is None:
            return _json({}, 404)
        return _json(_encode_entry(key, entry))

    async def put_key(request: Request) -> Response:
        key = request.path_params["key"]
        body = msgspec.json.decode(await request.body())
        if len(body["value"]) > MAX_VALUE_BYTES:
            return _json({"version": 0, "error": "value over 1 MB"}, 413)
        entry = state.entries.get(key)
        version = entry.version if entry else 0
        if body["expected_version"] != version:
            return _json({"version": version}, 409)
        state.revision += 1
        state.entries[key] = _Entry(version + 1, body["value"], body["write_id"], state.revision)
        state.notify()
        if state.failures.lose_responses > 0:
            state.failures = replace(
                state.failures, lose_responses=state.failures.lose_responses - 1
            )
            return _json({}, 503)
        return _json({"version": version + 1})

    async def watch(request: Request) -> Response:
        prefix = request.query_params["prefix"]
        after = int(request.query_params["after"])
        with anyio.move_on_after(float(request.query_params["wait_s"])):
            while not (changes := _changes_after(state, prefix, after)) and after > 0:
                await state.changed.wait()
        if state.failures.outage:
            return _json({}, 503)
        return _json({"revision": state.revision, "changes": changes})

    async def lease(request: Request) -> Response:
        body = msgspec.json.decode(await request.body())
        return _json(_lease_call(state, request.path_params["key"], body))

    async def control(request: Request) -> Response:
        if request.method == "POST":
            values = msgspec.json.decode(await request.body())
            state.failures = replace(state.failures, **values)
            state.notify()
        return _json(
            {"failures": state.failures, "counts": state.counts, "revision": state.revision}
        )

    guard = _make_guard(state)
    return Starlette(
        routes=[
            Route("/v1/kv/{key:path}", guard("reads", get_key), methods=["GET"]),
            Route("/v1/kv/{key:path}", guard("writes", put_key), methods=["PUT"]),
            Route("/v1/watch", guard("reads", watch), methods=["GET"]),
            Route("/v1/leases/{key:path}", guard("writes", lease), methods=["POST"]),
            Route("/control", control, methods=["GET", "POST"]),
        ]
    )


Handler = Callable[[Request], Awaitable[Response]]


def _make_guard(state: StoreState) -> Callable[[str, Handler], Handler]:
    """Return a decorator that applies outage, latency and rate limits to a handler.

    Its first argument is the kind of the calls, `reads` or `writes`.
    """

    def guard(kind: str, handler: Handler) -> Handler:
        async def guarded(request: Request) -> Response:
            failures = state.failures
            state.counts[kind] += 1
            if failures.outage:
                return _json({}, 503)
            bucket = state.writes if kind == "writes" else state.reads
            rate_per_s = failures.writes_per_s if kind == "writes" else failures.reads_per_s
            if not bucket.take(rate_per_s):
                state.counts["refused"] += 1
                return _json({}, 429)
            response = await handler(request)
            if failures.latency_ms:
                await anyio.sleep(failures.latency_ms / 1000)
            return response

        return guarded

    return guard


def _changes_after(state: StoreState, prefix: str, after: int) -> list[dict[str, object]]:
    return [
        _encode_entry(key, entry)
        for key, entry in state.entries.items()
        if key.startswith(prefix) and entry.revision > after
    ]


def _encode_entry(key: str, entry: _Entry) -> dict[str, object]:
    return {
        "key": key,
        "version": entry.version,
        "value": entry.value,
        "write_id": entry.write_id,
    }


def _lease_call(state: StoreState, key: str, body: dict[str, object]) -> dict[str, object]:
    now_s = time.monotonic()
    holder, ttl_s = str(body["holder"]), float(str(body["ttl_s"]))
    current = state.leases.get(key)
    is_live = current is not None and current.expires_at_s > now_s
    is_own = current is not None and is_live and current.holder == holder
    if body["action"] == "release" and is_own and current is not None:
        current.expires_at_s = now_s
        state.notify()
    elif body["action"] == "renew" and is_own and current is not None:
        current.expires_at_s = now_s + ttl_s
    elif body["action"] == "acquire" and (not is_live or is_own):
        term = current.term if current else 0
        current = _Lease(holder, term if is_own else term + 1, now_s + ttl_s)
        state.leases[key] = current
    is_held = current is not None and current.holder == holder and current.expires_at_s > now_s
    return {
        "held": is_held,
        "holder": current.holder if current else "",
        "term": current.term if current else 0,
        "remaining_s": max(0.0, current.expires_at_s - now_s) if current else 0.0,
    }


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status, media_type="application/json")

"""Client of the platform's key-value store.

Values are base64 text in the messages and bytes elsewhere.
"""

from __future__ import annotations

import math
import re
import time
from base64 import b64decode, b64encode
from collections.abc import Mapping, Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec

from foxtailwell.adapters.events import VALUE_UNREADABLE
from foxtailwell.adapters.http_connection import CallError, CallReply, HttpEndpoint
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.malformed import MALFORMED, decode_rows
from foxtailwell.adapters.ranges import NaturalNumber
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.workflows import (
    Change,
    Committed,
    Conflict,
    HistoryLostError,
    Item,
    KeyValueStore,
    Put,
    StoreCallError,
)

T = TypeVar("T")

__all__ = ["open_store"]

CALL_TIMEOUT_S = 1.2
"""Longest time without progress of a response, which may be lost; a slow store takes 0.3 s."""

_CALL_NAME_PATTERN = re.compile(r"/-/kv-([a-z-]+)")

OVERTAKEN_AFTER_S = 0.35
"""Head start of a call over an answered one from which its own answer counts as lost.

All calls of a slow store take about equally long, 0.3 s.
"""

WATCH_MARGIN_S = 0.5
"""Added to the wait of a watch to get the timeout of its call."""


class _WireItem(msgspec.Struct):
    key: str
    value: str = ""
    revision: NaturalNumber = 0


class _WireChange(msgspec.Struct):
    key: str
    revision: NaturalNumber = 0
    value: str = ""
    deleted: bool = False


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    at_rev: NaturalNumber
    has_more: bool = False


class _Events(msgspec.Struct):
    at_rev: NaturalNumber
    events: list[msgspec.Raw] = []


class _ConflictItems(msgspec.Struct):
    items: list[_WireItem | None] = []


class _Revision(msgspec.Struct):
    revision: NaturalNumber


class _Lease(msgspec.Struct):
    lease_id: NaturalNumber


def open_store(address: str, metrics: WorkMetrics) -> KeyValueStore:
    """Return a client of the store at `IP:PORT` that counts and times its calls in `metrics`."""
    return _StoreClient(HttpEndpoint(address), metrics)


class _StoreClient:
    def __init__(self, endpoint: HttpEndpoint, metrics: WorkMetrics) -> None:
        self._endpoint = endpoint
        self._metrics = metrics

    async def get(self, key: str) -> Item | None:
        reply = await self._read(f"/-/kv-key?key={quote(key, safe='')}", (200, 404))
        return None if reply.status == 404 else _item(_decode(reply, _WireItem))

    async def list_items(self, prefix: str) -> tuple[list[Item], int]:
        items: list[Item] = []
        path = f"/-/kv-range?prefix={quote(prefix, safe='')}"
        page = _decode(await self._read(path, (200,)), _Page)
        # The pages are not a consistent snapshot. The watch starts at the revision of the first
        # page, so it may repeat later changes but misses none.
        revision = page.at_rev
        found = _items(page)
        while page.has_more:
            if not found:
                raise StoreCallError("no readable item in a page", is_outcome_unknown=True)
            items += found
            after = quote(found[-1].key, safe="")
            page = _decode(await self._read(f"{path}&after={after}", (200,)), _Page)
            found = _items(page)
        return items + found, revision

    async def watch(self, prefix: str, after: int, wait_ms: int) -> tuple[list[Change], int]:
        path = f"/-/kv-watch?prefix={quote(prefix, safe='')}&after={after}&wait_ms={wait_ms}"
        timeout_s = wait_ms / 1000 + WATCH_MARGIN_S
        # A watch waits for changes, so that later calls are answered before it.
        reply = await self._call(
            "GET", path, (200, 410), timeout_s=timeout_s, overtaken_after_s=math.inf
        )
        if reply.status == 410:
            raise HistoryLostError(prefix)
        events = _decode(reply, _Events)
        changes = decode_rows(events.events, _WireChange, "changes")
        return [_change(change) for change in changes], events.at_rev

    async def transact(
        self,
        conditions: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> Committed | Conflict:
        body = {
            "precondition": [{"key": k, "revision": r} for k, r in conditions.items()],
            "puts": [_wire_put(put) for put in puts],
            "deletes": list(deletes),
        }
        reply = await self._call("POST", "/-/kv-txn", (200, 412, 404), msgspec.json.encode(body))
        if reply.status == 200:
            return Committed(_decode(reply, _Revision).revision)
        if reply.status == 404:
            raise StoreCallError("the lease has ended", is_outcome_unknown=False)
        items = [i for i in _decode(reply, _ConflictItems).items if i is not None and i.revision]
        return Conflict({item.key: _item(item) for item in items})

    async def grant_lease(self, ttl_ms: int) -> int:
        body = msgspec.json.encode({"ttl_ms": ttl_ms})
        return _decode(await self._call("POST", "/-/kv-lease", (200,), body), _Lease).lease_id

    async def renew_lease(self, lease_id: int) -> bool:
        reply = await self._call("POST", f"/-/kv-keep/{lease_id}", (200, 404), b"{}")
        return reply.status == 200

    async def revoke_lease(self, lease_id: int) -> None:
        await self._call("DELETE", f"/-/kv-lease-end/{lease_id}", (200, 204, 404))

    async def _read(self, path: str, expected: tuple[int, ...]) -> CallReply:
        return await self._call("GET", path, expected)

    async def _call(
        self,
        method: str,
        path: str,
        expected: tuple[int, ...],
        body: bytes = b"",
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        overtaken_after_s: float = OVERTAKEN_AFTER_S,
    ) -> CallReply:
        name = _CALL_NAME_PATTERN.match(path)
        call = name[1] if name else path
        start_s = time.monotonic()
        try:
            reply = await self._endpoint.call(
                method, path, body, timeout_s=timeout_s, overtaken_after_s=overtaken_after_s
            )
        except CallError as error:
            self._metrics.count("store_calls", call=call, outcome="no response")
            raise StoreCallError(
                error.reason, is_outcome_unknown=error.may_have_been_sent
            ) from error
        self._metrics.count("store_calls", call=call, outcome=str(reply.status))
        self._metrics.observe_s("store_call", time.monotonic() - start_s, call=call)
        if reply.status not in expected:
            # A call that is refused with any status, such as 429 or 503, had no effect.
            raise StoreCallError(f"status {reply.status}", is_outcome_unknown=False)
        return reply


def _decode(reply: CallReply, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except MALFORMED as error:
        raise StoreCallError(f"unreadable answer: {error}", is_outcome_unknown=True) from error


def _value(key: str, text: str) -> bytes:
    """Decode a value; an unreadable one counts as empty, so that only its own key is affected."""
    try:
        return b64decode(text)
    except ValueError as error:
        log_event(VALUE_UNREADABLE, key=key, reason=str(error))
        return b""


def _items(page: _Page) -> list[Item]:
    return [_item(item) for item in decode_rows(page.items, _WireItem, "items")]


def _item(item: _WireItem) -> Item:
    return Item(item.key, _value(item.key, item.value), item.revision)


def _change(event: _WireChange) -> Change:
    value = None if event.deleted else _value(event.key, event.value)
    return Change(event.key, value, event.revision)


def _wire_put(put: Put) -> dict[str, object]:
    wire: dict[str, object] = {"key": put.key, "value": b64encode(put.value).decode()}
    if put.lease_id:
        wire["lease_id"] = put.lease_id
    return wire

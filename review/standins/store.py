"""Stand-in of the platform's key-value store."""

from __future__ import annotations

import asyncio
import time
from base64 import b64decode, b64encode
from collections import deque
from dataclasses import dataclass
from itertools import count

from standins.http import Handler, Request

__all__ = ["Store"]

ANSWER_S = 0.004
PAGE_ITEMS = 500
ENTRY_LIMIT = 32
RETENTION_S = 20.0
MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 1_048_576
OPERATOR_PREFIXES = ("op/", "servers/")


@dataclass(frozen=True, slots=True)
class _Item:
    key: str
    value: bytes
    revision: int
    lease_id: int = 0

    def encode(self) -> dict:
        return {
            "key": self.key,
            "value": b64encode(self.value).decode(),
            "revision": self.revision,
            "created_rev": self.revision,
            "lease_id": self.lease_id,
        }


class Store:
    """Linearizable items with leases, watches and conditional transactions.

    Attributes:
        last_writer: Name of the caller whose conditional transaction wrote last.
        late_s: Time after which the writes of a caller are done, by caller; these get no answer.
        oversized: Number of transactions that were refused for having too many entries.
        writes: Number of writing transactions, and of those that got no answer.
    """

    def __init__(self) -> None:
        self._revision = 1
        self._items: dict[str, _Item] = {}
        self._events: deque[tuple[int, str, dict, float]] = deque()
        self._dropped_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = count(1000)
        self._changed = asyncio.Event()
        self.last_writer = ""
        self.late_s: dict[str, float] = {}
        self.oversized = 0
        self.writes = [0, 0]

    def put(self, key: str, value: bytes) -> int:
        """Write a key as the operator or a minion does, and return the revision."""
        self._revision += 1
        self._write(key, value, 0)
        self._notify()
        return self._revision

    def delete(self, key: str) -> None:
        """Delete a key as the operator or a minion does."""
        if key in self._items:
            self._revision += 1
            self._remove(key)
            self._notify()

    def handler(self, caller: str) -> Handler:
        """Return the HTTP interface for one caller."""

        async def handle(request: Request) -> tuple[int, dict]:
            await asyncio.sleep(ANSWER_S)
            self._expire()
            if request.path == "/-/kv-txn" and (request.body["puts"] or request.body["deletes"]):
                self.writes[0] += 1
                if caller in self.late_s:
                    self.writes[1] += 1
                    await asyncio.sleep(self.late_s[caller])
                    self._expire()
                    self._transact(caller, request.body)
                    raise ConnectionAbortedError("the answer is lost")
            return await self._handle(caller, request)

        return handle

    def _write(self, key: str, value: bytes, lease_id: int) -> None:
        item = _Item(key, value, self._revision, lease_id)
        self._items[key] = item
        self._append_event(key, item.encode())

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._append_event(key, event)

    def _append_event(self, key: str, event: dict) -> None:
        now_s = time.monotonic()
        self._events.append((self._revision, key, event, now_s))
        while self._events[0][3] < now_s - RETENTION_S:
            self._dropped_revision = self._events.popleft()[0]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease_id in [i for i, (until_s, _) in self._leases.items() if until_s <= now_s]:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        if self._leases.pop(lease_id, None) is None:
            return
        keys = [item.key for item in self._items.values() if item.lease_id == lease_id]
        if keys:
            self._revision += 1
            for key in keys:
                self._remove(key)
            self._notify()

    async def _handle(self, caller: str, request: Request) -> tuple[int, dict]:
        name, _, identifier = request.path.removeprefix("/-/").partition("/")
        match name:
            case "kv-key":
                item = self._items.get(request.query["key"])
                return (200, item.encode() | {"at_rev": self._revision}) if item else (404, {})
            case "kv-range":
                return self._list(request.query["prefix"], request.query.get("after", ""))
            case "kv-watch":
                return await self._watch(request)
            case "kv-txn":
                return self._transact(caller, request.body)
            case "kv-lease":
                lease_id, ttl_ms = next(self._lease_ids), request.body["ttl_ms"]
                self._leases[lease_id] = (time.monotonic() + ttl_ms / 1000, ttl_ms / 1000)
                return 200, {"lease_id": lease_id, "ttl_ms": ttl_ms}
            case "kv-keep":
                lease = self._leases.get(int(identifier))
                if lease is None:
                    return 404, {}
                self._leases[int(identifier)] = (time.monotonic() + lease[1], lease[1])
                return 200, {"ttl_ms": int(lease[1] * 1000)}
            case "kv-lease-end":
                self._end_lease(int(identifier))
                return 200, {}
        return 404, {}

    def _list(self, prefix: str, after: str) -> tuple[int, dict]:
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [self._items[key].encode() for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "at_rev": self._revision, "has_more": has_more}

    async def _watch(self, request: Request) -> tuple[int, dict]:
        prefix, after = request.query["prefix"], int(request.query["after"])
        until_s = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            self._expire()
            if after < self._dropped_revision:
                return 410, {}
            events = [e for r, key, e, _ in self._events if r > after and key.startswith(prefix)]
            remaining_s = until_s - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "at_rev": self._revision}
            try:
                async with asyncio.timeout(min(remaining_s, 0.05)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, caller: str, body: dict) -> tuple[int, dict]:
        conditions, puts = body.get("precondition", []), body.get("puts", [])
        deletes = body.get("deletes", [])
        if len(conditions) + len(puts) + len(deletes) > ENTRY_LIMIT:
            self.oversized += 1
            return 400, {"error": "too many entries"}
        values = [(p["key"], b64decode(p["value"]), p.get("lease_id", 0)) for p in puts]
        written = [key for key, _, _ in values] + deletes
        if any(key.startswith(OPERATOR_PREFIXES) for key in written):
            return 403, {}
        if any(len(k.encode()) > MAX_KEY_BYTES or len(v) > MAX_VALUE_BYTES for k, v, _ in values):
            return 400, {"error": "key or value too long"}
        if any(lease and lease not in self._leases for _, _, lease in values):
            return 404, {}
        current = {c["key"]: self._items.get(c["key"]) for c in conditions}
        found = {key: item.revision if item else 0 for key, item in current.items()}
        if any(found[c["key"]] != c["revision"] for c in conditions):
            return 412, {"items": [item.encode() for item in current.values() if item]}
        if written:
            self._revision += 1
            for key, value, lease in values:
                self._write(key, value, lease)
            for key in deletes:
                self._remove(key)
            self._notify()
            if conditions:
                self.last_writer = caller
        return 200, {"revision": self._revision}

"""Following a store prefix across failed calls and discarded history."""

from __future__ import annotations

import json

import anyio
import anyio.lowlevel
import pytest

from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller import follow_prefix
from foxtailwell.platform.store import open_store
from foxtailwell.workflows import Change, HistoryLostError, Item, StoreCallError
from foxtailwell_standins.platform_store import MemoryStore

pytestmark = pytest.mark.anyio


class CountingStore:
    """Store that counts calls and whose watches always raise the given error."""

    def __init__(self, error):
        self.error = error
        self.calls = 0

    async def list_items(self, prefix):
        """Count the call and return no items."""
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        return [], 1

    async def watch(self, prefix, after, wait_ms):
        """Count the call and raise the error."""
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        raise self.error


async def _ignore(batch):
    pass


@pytest.mark.parametrize(
    "error", [HistoryLostError("p/"), StoreCallError("down", is_outcome_unknown=True)]
)
async def test_failing_watch_does_not_flood_the_store(error):
    """Guards against thousands of calls per second while every watch fails."""
    store = CountingStore(error)
    with anyio.move_on_after(0.5):
        await follow_prefix(store, "p/", None, 100, 0.0, _ignore)
    assert store.calls <= 8


async def test_keys_deleted_during_lost_history_are_missing_from_the_snapshot():
    """Guards against missing a deletion because its history was discarded."""
    store = MemoryStore()
    store.write("p/a", b"1")
    seen = []

    async def deliver(batch):
        seen.append((batch.is_snapshot, [change.key for change in batch.changes]))

    async with anyio.create_task_group() as group:
        group.start_soon(follow_prefix, store.client(), "p/", None, 100, 0.0, deliver)
        await anyio.sleep(0.05)
        store.delete("p/a")
        store.write("p/b", b"2")
        store.drop_history()
        await anyio.sleep(0.6)
        group.cancel_scope.cancel()
    assert seen[0] == (True, ["p/a"])
    assert (True, ["p/b"]) in seen


GOOD = {"key": "p/a", "value": "eA==", "revision": 3}
ODD = ({"key": "p/b", "revision": "x"}, {"key": "p/b", "revision": 10**400}, None, {"value": "x"})


@pytest.mark.parametrize("odd", ODD)
async def test_item_that_cannot_be_read_hides_no_other_item(anyio_server, odd):
    """Guards against a watch that fails again and again because of one item among many."""
    unreadable = {"key": "p/u", "value": "x", "revision": 4}
    bodies = [
        {"items": [GOOD, odd], "at_rev": 9, "has_more": True},
        {"items": [odd, unreadable], "at_rev": 9},
        {"events": [odd, GOOD, unreadable], "at_rev": 10},
    ]

    async def handle(stream):
        async with stream:
            for body in map(json.dumps, bodies):
                await stream.receive()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                await stream.send((head + body).encode())

    async with anyio.create_task_group() as group:
        store = open_store(await anyio_server(group, handle), WorkMetrics())
        items = [Item("p/a", b"x", 3), Item("p/u", b"", 4)]
        assert await store.list_items("p/") == (items, 9)
        changes, _ = await store.watch("p/", 9, 100)
        assert changes == [Change(item.key, item.value, item.revision) for item in items]
        group.cancel_scope.cancel()

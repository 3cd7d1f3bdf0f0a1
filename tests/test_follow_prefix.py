"""Following a prefix through lost history and failures of the store."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest

from foxtailwell.controller import follow_prefix
from foxtailwell.workflows import HistoryLostError, StoreCallError
from foxtailwell_standins.platform_store import MemoryStore

pytestmark = pytest.mark.anyio


class CountingStore:
    """A store whose watches always fail in the given way."""

    def __init__(self, error):
        self.error = error
        self.calls = 0

    async def list_items(self, prefix):
        """Count and return an empty prefix."""
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        return [], 1

    async def watch(self, prefix, after, wait_ms):
        """Count and fail."""
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        raise self.error


async def _ignore(batch):
    pass


@pytest.mark.parametrize(
    "error", [HistoryLostError("p/"), StoreCallError("down", is_outcome_unknown=True)]
)
async def test_failing_watch_does_not_flood_the_store(error):
    """Guards against thousands of calls a second while the store drops its history."""
    store = CountingStore(error)
    with anyio.move_on_after(0.5):
        await follow_prefix(store, "p/", None, 100, 0.0, _ignore)
    assert store.calls <= 8


async def test_keys_that_went_during_the_gap_are_reported_by_a_complete_list():
    """Guards against a key that was deleted while its history was dropped."""
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

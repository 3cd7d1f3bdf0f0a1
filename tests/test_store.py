"""Tests of the store client against the stand-in store."""

from __future__ import annotations

import anyio
import pytest

from foxtailwell.adapters.store import new_write_id
from foxtailwell.core.errors import (
    StoreConflictError,
    StoreOverloadedError,
    StoreRefusedError,
    StoreUnavailableError,
)
from foxtailwell_standins.store import StoreFailures

pytestmark = pytest.mark.anyio


async def test_compare_and_swap_has_one_winner(store):
    """Guards against reporting success to two writers with the same expected version."""
    await store.compare_and_swap("config", 0, "a", new_write_id())
    with pytest.raises(StoreConflictError) as caught:
        await store.compare_and_swap("config", 0, "b", new_write_id())
    assert caught.value.current_version == 1
    assert (await store.get("config")).value == "a"


async def test_write_with_lost_response_takes_effect_once(store, store_state):
    """Guards against a write that takes effect twice after a lost response."""
    store_state.failures = StoreFailures(lose_responses=1)
    version = await store.write_with_readback("jobs/1", 0, "a", new_write_id())
    assert version == 1
    assert store_state.entries["jobs/1"].version == 1


async def test_outage_leaves_the_outcome_unknown(store, store_state):
    """Guards against an outage that is reported as a rejected write."""
    store_state.failures = StoreFailures(outage=True)
    with pytest.raises(StoreUnavailableError):
        await store.write_with_readback("jobs/1", 0, "a", new_write_id())


async def test_rate_limit_raises_overloaded_error(store, store_state):
    """Guards against a rate limit that is handled as an outage."""
    store_state.failures = StoreFailures(reads_per_s=0.5)
    with pytest.raises(StoreOverloadedError):
        await store.get("config")


async def test_watch_resumes_after_a_revision(store):
    """Guards against changes that are missed between two watch requests."""
    first = await store.watch("jobs/", 0, 1.0)
    await store.compare_and_swap("jobs/1", 0, "a", new_write_id())
    await store.compare_and_swap("other", 0, "x", new_write_id())
    second = await store.watch("jobs/", first.revision, 1.0)
    assert [c.key for c in second.changes] == ["jobs/1"]


async def test_watch_returns_when_a_key_changes(store):
    """Guards against a watch that returns only after its timeout, despite a change."""
    start = await store.watch("config", 0, 0.1)
    async with anyio.create_task_group() as group:

        async def write_later() -> None:
            await anyio.sleep(0.05)
            await store.compare_and_swap("config", 0, "a", new_write_id())

        group.start_soon(write_later)
        with anyio.fail_after(5):
            result = await store.watch("config", start.revision, 30)
    assert [c.value for c in result.changes] == ["a"]


async def test_lease_has_one_holder_and_its_term_increases(store):
    """Guards against two simultaneous lease holders and against a reused term."""
    first = await store.lease_acquire("lease/z", "a", 0.2)
    assert (first.held, first.term) == (True, 1)
    assert not (await store.lease_acquire("lease/z", "b", 0.2)).held
    await anyio.sleep(0.25)
    second = await store.lease_acquire("lease/z", "b", 5)
    assert (second.held, second.term) == (True, 2)
    assert not (await store.lease_renew("lease/z", "a", 5)).held
    await store.lease_release("lease/z", "b")
    assert (await store.lease_acquire("lease/z", "a", 5)).term == 3


async def test_value_above_size_limit_is_rejected(store, store_state):
    """Guards against a rejected write that is reported as successful."""
    with pytest.raises(StoreRefusedError):
        await store.compare_and_swap("jobs/1", 0, "x" * 1_000_001, new_write_id())
    assert store_state.entries == {}

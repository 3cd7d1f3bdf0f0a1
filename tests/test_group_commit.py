"""Tests of group commit: batching, conflicts and store failures."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import anyio
import pytest

from foxtailwell.adapters.documents import decode_document
from foxtailwell.adapters.group_commit import open_group_committer
from foxtailwell.core.errors import FoxtailwellError, StoreUnavailableError, UnavailableError
from foxtailwell_standins.store import StoreFailures

pytestmark = pytest.mark.anyio


@dataclass(frozen=True)
class Names:
    """Sample document."""

    schema_version: int = 1
    names: tuple[str, ...] = field(default_factory=tuple)


def _add(name):
    def mutate(document):
        if name == "refused":
            raise FoxtailwellError("refused", "use another name")
        if name in document.names:
            return document, "present"
        return replace(document, names=(*document.names, name)), "added"

    return mutate


async def _add_all(committer, names):
    results = {}

    async def add(name):
        try:
            results[name] = await committer.apply("names", _add(name))
        except FoxtailwellError as error:
            results[name] = error

    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(add, name)
    return results


async def test_concurrent_changes_share_one_write(store, store_state):
    """Guards against one store write per change in a burst of changes."""
    async with open_group_committer(store, Names, Names) as committer:
        results = await _add_all(committer, [f"n{i}" for i in range(100)])
    assert set(results.values()) == {"added"}
    assert store_state.entries["names"].version <= 3


async def test_concurrent_committers_lose_no_change(store, store_state):
    """Guards against lost updates when two committers write the same document."""
    async with (
        open_group_committer(store, Names, Names) as first,
        open_group_committer(store, Names, Names) as second,
        anyio.create_task_group() as group,
    ):
        for i in range(20):
            group.start_soon(_add_all, first if i % 2 else second, [f"a{i}"])
    stored = decode_document(store_state.entries["names"].value, Names)
    assert sorted(stored.names) == sorted(f"a{i}" for i in range(20))


async def test_lost_response_applies_a_change_once(store, store_state):
    """Guards against duplicated or lost changes when the store's response is lost."""
    store_state.failures = StoreFailures(lose_responses=1)
    async with open_group_committer(store, Names, Names) as committer:
        results = await _add_all(committer, ["a", "b"])
    assert set(results.values()) == {"added"}
    assert decode_document(store_state.entries["names"].value, Names).names == ("a", "b")


async def test_failing_mutation_does_not_fail_the_others(store):
    """Guards against one failing mutation that fails its whole batch."""
    async with open_group_committer(store, Names, Names) as committer:
        results = await _add_all(committer, ["a", "refused"])
    assert results["a"] == "added"
    assert isinstance(results["refused"], FoxtailwellError)


async def test_outage_is_reported_to_every_pending_change(store, store_state):
    """Guards against calls that hang or report success during a store outage."""
    store_state.failures = StoreFailures(outage=True)
    async with open_group_committer(store, Names, Names) as committer:
        results = await _add_all(committer, ["a", "b"])
    assert all(isinstance(r, UnavailableError) for r in results.values())


async def test_outage_after_a_read_leaves_the_outcome_unknown(store, store_state):
    """Guards against reporting that a change was not made when its write may have been sent."""
    async with open_group_committer(store, Names, Names) as committer:
        await _add_all(committer, ["a"])
        store_state.failures = StoreFailures(outage=True)
        results = await _add_all(committer, ["b"])
    assert isinstance(results["b"], StoreUnavailableError)


async def test_mutation_error_is_not_based_on_stale_cache(store):
    """Guards against a mutation that keeps failing because its cached document is stale."""

    def find(document):
        if "late" not in document.names:
            raise FoxtailwellError("not there", "add it")
        return document, "found"

    async with (
        open_group_committer(store, Names, Names) as reader,
        open_group_committer(store, Names, Names) as writer,
    ):
        await reader.apply("names", _add("early"))
        await writer.apply("names", _add("late"))
        assert await reader.apply("names", find) == "found"

"""Claims whose write gets no response and reaches the store late."""

from __future__ import annotations

import anyio
import pytest

from foxtailwell.adapters.documents import decode_document, encode_document
from foxtailwell.core import Claim, ClaimRequest, ClaimShard, claim_document_key, claim_key
from foxtailwell.core import claim_shard_of as shard_of
from foxtailwell.core.errors import (
    StoreConflictError,
    StoreUnavailableError,
    UnavailableError,
)
from foxtailwell.entry._claim_writer import open_claim_writer

pytestmark = pytest.mark.anyio

KEY = claim_key("acme", "k")
DOCUMENT = claim_document_key(shard_of(KEY))


class _DelayingStore:
    """Delays the first write until `deliver`, without a response; passes on all other calls."""

    def __init__(self, store):
        self._store = store
        self.delayed_write = None

    async def get(self, key):
        return await self._store.get(key)

    async def write_with_readback(self, *write):
        if self.delayed_write is None:
            self.delayed_write = write
            raise StoreUnavailableError("no answer", "read the key back")
        return await self._store.write_with_readback(*write)

    async def deliver(self):
        await self._store.compare_and_swap(*self.delayed_write)


@pytest.mark.parametrize("is_first_write", [True, False])
async def test_claim_that_arrives_after_its_release_has_no_effect(store, is_first_write):
    """Guards against a key that stays claimed although its caller got `not_run`.

    The claim reaches the store only after its release was written.
    """
    if not is_first_write:
        other = Claim("other", "i2", "digest", 2**52)
        text = encode_document(ClaimShard(claims={"ff": other}))
        await store.compare_and_swap(DOCUMENT, 0, text, "w")
    delaying_store = _DelayingStore(store)
    async with open_claim_writer(delaying_store, lambda: 1) as writer:
        with pytest.raises(UnavailableError):
            await writer.claim(ClaimRequest(KEY, Claim("r1", "i1", "digest", 2**52)))
        with anyio.fail_after(20):
            while writer._pending_releases:  # noqa: ASYNC110 - the writer has no event for it
                await anyio.sleep(0.02)
        with pytest.raises(StoreConflictError):
            await delaying_store.deliver()
        current = await store.get(DOCUMENT)
        assert KEY not in decode_document(current.value, ClaimShard).claims
        outcome = await writer.claim(ClaimRequest(KEY, Claim("r2", "i1", "digest", 2**52)))
        assert outcome.kind == "claimed"


def test_claim_keeps_account_and_key_apart():
    """Guards against a request that is refused, or answered, as one of another account."""
    assert claim_key("a", "b:c") != claim_key("a:b", "c")
    assert claim_key("a", "bk") != claim_key("ab", "k")
    assert claim_key("a", "k") == claim_key("a", "k")

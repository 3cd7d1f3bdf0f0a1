"""Results of claimed requests, kept in memory so that duplicates get the response of the first run.

Duplicates that arrive at another entry get the result by a claim query from peer to peer.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Literal

from foxtailwell.adapters.peers import ClaimQuery, ClaimReply

__all__ = ["MAX_STORED_RESPONSE_BYTES", "ClaimResults", "make_claim_handler"]

RETENTION_S = 600.0
MAX_TOTAL_BYTES = 16 * 1024 * 1024

MAX_STORED_RESPONSE_BYTES = 1_900_000
"""Maximum size of a response body that is kept; a larger one would not fit in a peer message, which
is limited to 2 MB."""

_OVERHEAD_BYTES = 512

State = Literal["running", "answer", "not_run", "unknown"]


@dataclass(slots=True)
class _Result:
    request_id: str
    digest: str
    reply: ClaimReply
    size_bytes: int
    recorded_at_s: float


class ClaimResults:
    """Results by claim key, oldest first, bounded by age and by total size."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._results: OrderedDict[str, _Result] = OrderedDict()
        self._size_bytes = 0

    def begin(self, key: str, request_id: str, digest: str) -> bool:
        """Record that a request is about to claim a key, with the state `running`.

        Returns:
            False if another request of this entry has the key, unless that one did not run.
        """
        current = self._results.get(key)
        if current is not None and current.reply.state != "not_run":
            return False
        self._put(key, request_id, digest, ClaimReply("running"))
        return True

    def finish(self, key: str, request_id: str, reply: ClaimReply) -> None:
        """Record the result of a request for which `begin` returned True.

        A response that is too large to keep is recorded as `unknown`.
        """
        current = self._results.get(key)
        if current is None or current.request_id != request_id:
            return
        if len(reply.body) > MAX_STORED_RESPONSE_BYTES:
            reply = ClaimReply("unknown")
        self._put(key, request_id, current.digest, reply)
        self._evict()

    def find(self, key: str, digest: str) -> ClaimReply:
        """Return the result recorded for a key, `unknown` if there is none with this digest."""
        result = self._results.get(key)
        if result is None or result.digest != digest:
            return ClaimReply("unknown")
        return result.reply

    def digest_of(self, key: str) -> str:
        """Return the digest of the request that has a key here, or an empty string."""
        result = self._results.get(key)
        return result.digest if result is not None else ""

    def _put(self, key: str, request_id: str, digest: str, reply: ClaimReply) -> None:
        self._remove(key)
        size = len(reply.body) + _OVERHEAD_BYTES
        self._results[key] = _Result(request_id, digest, reply, size, self._clock())
        self._size_bytes += size

    def _remove(self, key: str) -> None:
        result = self._results.pop(key, None)
        if result is not None:
            self._size_bytes -= result.size_bytes

    def _evict(self) -> None:
        cutoff_s = self._clock() - RETENTION_S
        while self._results:
            key, oldest = next(iter(self._results.items()))
            if oldest.recorded_at_s > cutoff_s and self._size_bytes <= MAX_TOTAL_BYTES:
                return
            if oldest.reply.state == "running":
                # The request has no result yet, so it is not evicted but moved to the end.
                self._put(key, oldest.request_id, oldest.digest, oldest.reply)
                return
            self._remove(key)


def make_claim_handler(results: ClaimResults) -> Callable[[ClaimQuery], Awaitable[ClaimReply]]:
    """Return a handler for claim queries from peers."""

    async def handle(query: ClaimQuery) -> ClaimReply:
        return results.find(query.key, query.digest)

    return handle

"""Responses to claimed requests, kept for duplicates of the same request."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Literal

from foxtailwell.adapters.peers import ClaimQuery, ClaimReply

__all__ = ["MAX_STORED_RESPONSE_BYTES", "ClaimResults", "make_claim_handler"]

KEEP_S = 600.0
KEEP_BYTES = 16 * 1024 * 1024

MAX_STORED_RESPONSE_BYTES = 1_900_000
"""Larger responses do not fit a peer message of 2 MB and are not kept."""

_OVERHEAD_BYTES = 512

State = Literal["running", "answer", "not_run", "unknown"]


@dataclass(slots=True)
class _Result:
    request_id: str
    digest: str
    answer: ClaimReply
    size_bytes: int
    at_s: float


class ClaimResults:
    """Results by claim key, oldest first."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._results: OrderedDict[str, _Result] = OrderedDict()
        self._size_bytes = 0

    def begin(self, key: str, request_id: str, digest: str) -> bool:
        """Record that a request claims its key and runs.

        Returns:
            False when another request of this entry holds the key.
        """
        current = self._results.get(key)
        if current is not None and current.answer.state != "not_run":
            return False
        self._put(key, request_id, digest, ClaimReply("running"))
        return True

    def finish(self, key: str, request_id: str, answer: ClaimReply) -> None:
        """Record the result of a claimed request."""
        current = self._results.get(key)
        if current is None or current.request_id != request_id:
            return
        if len(answer.body) > MAX_STORED_RESPONSE_BYTES:
            answer = ClaimReply("unknown")
        self._put(key, request_id, current.digest, answer)
        self._evict()

    def find(self, key: str, digest: str) -> ClaimReply:
        """Return what is known of a claimed request."""
        result = self._results.get(key)
        if result is None or result.digest != digest:
            return ClaimReply("unknown")
        return result.answer

    def digest_of(self, key: str) -> str:
        """Return the digest that this entry bound to a key, or an empty text."""
        result = self._results.get(key)
        return result.digest if result is not None else ""

    def _put(self, key: str, request_id: str, digest: str, answer: ClaimReply) -> None:
        self._drop(key)
        size = len(answer.body) + _OVERHEAD_BYTES
        self._results[key] = _Result(request_id, digest, answer, size, self._clock())
        self._size_bytes += size

    def _drop(self, key: str) -> None:
        result = self._results.pop(key, None)
        if result is not None:
            self._size_bytes -= result.size_bytes

    def _evict(self) -> None:
        limit_s = self._clock() - KEEP_S
        while self._results:
            key, oldest = next(iter(self._results.items()))
            if oldest.at_s > limit_s and self._size_bytes <= KEEP_BYTES:
                return
            if oldest.answer.state == "running":
                # Its end is still to come, so it moves behind the others.
                self._put(key, oldest.request_id, oldest.digest, oldest.answer)
                return
            self._drop(key)


def make_claim_handler(results: ClaimResults) -> Callable[[ClaimQuery], Awaitable[ClaimReply]]:
    """Return the function that answers claim queries of peers."""

    async def handle(query: ClaimQuery) -> ClaimReply:
        return results.find(query.key, query.digest)

    return handle

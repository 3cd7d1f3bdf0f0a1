"""Client of the platform's service that says which workers a step may run on."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from foxtailwell.adapters.http_connection import CallError, HttpEndpoint
from foxtailwell.workflows import AdviceCallError, Advisor

__all__ = ["open_advisor"]

ADVICE_TIMEOUT_S = 6.0
"""Longest wait for an answer: it takes a time for each worker, and calls wait in turn."""


class _Advice(msgspec.Struct):
    # Rows of a worker's identifier and its ticket; workers that are left out are not allowed.
    allowed: list[tuple[str, str]]


def open_advisor(address: str) -> Advisor:
    """Return a client of the service at `IP:PORT`."""
    return _Advisor(HttpEndpoint(address))


class _Advisor:
    def __init__(self, endpoint: HttpEndpoint) -> None:
        self._endpoint = endpoint

    async def advise(self, step: str, workers: Sequence[str]) -> Mapping[str, str]:
        body = msgspec.json.encode({"step_id": step, "workers": list(workers)})
        try:
            reply = await self._endpoint.call("POST", "/-/advise", body, timeout_s=ADVICE_TIMEOUT_S)
        except CallError as error:
            raise AdviceCallError(error.reason) from error
        if reply.status != 200:
            raise AdviceCallError(f"status {reply.status}")
        try:
            return dict(msgspec.json.decode(reply.body, type=_Advice).allowed)
        except msgspec.DecodeError as error:
            raise AdviceCallError(f"unreadable answer: {error}") from error

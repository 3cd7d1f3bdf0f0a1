"""Client of the placement advisor, which decides on which workers a step may run."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from foxtailwell.adapters.http_connection import CallError, HttpEndpoint
from foxtailwell.adapters.malformed import MALFORMED, decode_rows
from foxtailwell.workflows import AdviceCallError, Advisor

__all__ = ["open_advisor"]

ADVICE_TIMEOUT_S = 6.0
"""Long, because the advisor needs time for each worker and handles calls one after another."""


class _Advice(msgspec.Struct):
    # Pairs of worker identifier and ticket; workers that are not listed are not allowed.
    allowed: list[msgspec.Raw]


def open_advisor(address: str) -> Advisor:
    """Return a client of the placement advisor at `IP:PORT`."""
    return _AdvisorClient(HttpEndpoint(address))


class _AdvisorClient:
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
            rows = msgspec.json.decode(reply.body, type=_Advice).allowed
        except MALFORMED as error:
            raise AdviceCallError(f"response cannot be decoded: {error}") from error
        return dict(decode_rows(rows, tuple[str, str], "advice"))

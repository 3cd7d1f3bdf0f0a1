"""Stand-in for the instance list of the platform, which can serve old records and fail."""

from __future__ import annotations

import hashlib
import time
from collections import deque
from dataclasses import dataclass, field, replace

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailwell.core import InstanceRecord

__all__ = ["InstanceListState", "make_instance_list_app"]

Records = dict[str, InstanceRecord]


@dataclass(slots=True)
class InstanceListState:
    """Records of the instance list and its faults.

    Attributes:
        records: Current records by instance identifier.
        lag_s: Age of the records that readers get.
        outage: Whether every read fails with status 503.
        history: Records that readers may still get, each with the time of its change.
    """

    records: Records = field(default_factory=dict)
    lag_s: float = 0.0
    outage: bool = False
    history: deque[tuple[float, Records]] = field(default_factory=deque)

    def put(self, record: InstanceRecord) -> None:
        """Add a record, or replace the one with the same identifier."""
        self._replace_records({**self.records, record.id: record})

    def remove(self, instance: str) -> None:
        """Remove a record; an unknown identifier is ignored."""
        self._replace_records({k: v for k, v in self.records.items() if k != instance})

    def _replace_records(self, records: Records) -> None:
        self.records = records
        self.history.append((time.monotonic(), records))

    def visible_records(self) -> Records:
        """Return the records that were current `lag_s` ago; empty if there were none yet."""
        limit_s = time.monotonic() - self.lag_s
        while len(self.history) > 1 and self.history[1][0] <= limit_s:
            self.history.popleft()
        has_records = bool(self.history) and self.history[0][0] <= limit_s
        return self.history[0][1] if has_records else {}


def make_instance_list_app(state: InstanceListState) -> Starlette:
    """Return the HTTP interface of the instance list.

    `PUT /v1/instances` adds records, `PATCH /v1/instances/{id}` changes fields of one, and
    `DELETE /v1/instances/{id}` removes one. `POST /control` sets `lag_s` and `outage`.
    """

    async def read(request: Request) -> Response:
        if state.outage:
            return Response(status_code=503)
        body = msgspec.json.encode(list(state.visible_records().values()))
        etag = hashlib.sha256(body).hexdigest()[:16]
        if request.headers.get("if-none-match") == etag:
            return Response(status_code=304)
        return Response(body, media_type="application/json", headers={"etag": etag})

    async def put(request: Request) -> Response:
        for record in msgspec.json.decode(await request.body(), type=list[InstanceRecord]):
            state.put(record)
        return Response(status_code=204)

    async def patch(request: Request) -> Response:
        values = msgspec.json.decode(await request.body())
        state.put(replace(state.records[request.path_params["id"]], **values))
        return Response(status_code=204)

    async def delete(request: Request) -> Response:
        state.remove(request.path_params["id"])
        return Response(status_code=204)

    async def control(request: Request) -> Response:
        values = msgspec.json.decode(await request.body())
        state.lag_s = float(values.get("lag_s", state.lag_s))
        state.outage = bool(values.get("outage", state.outage))
        return Response(status_code=204)

    return Starlette(
        routes=[
            Route("/v1/instances", read, methods=["GET"]),
            Route("/v1/instances", put, methods=["PUT"]),
            Route("/v1/instances/{id}", patch, methods=["PATCH"]),
            Route("/v1/instances/{id}", delete, methods=["DELETE"]),
            Route("/control", control, methods=["POST"]),
        ]
    )

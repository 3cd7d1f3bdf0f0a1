"""HTTP interface of the in-memory store and workers, for tests with instances as processes."""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailwell.adapters.http_server import json_response, serve_http
from foxtailwell.workflows import (
    Change,
    CommandOutcome,
    Committed,
    HistoryLostError,
    Item,
    KeyValueStore,
    Put,
    StartCommand,
    StoreCallError,
    TaskId,
    WorkerCallError,
    WorkerEntry,
)
from foxtailwell_standins.platform_worker import MemoryWorker

__all__ = ["encode_entry", "serve_on_loopback", "store_app", "worker_app"]

NO_RESPONSE_S = 20.0
"""Time for which a call without a response stays open; it exceeds all timeouts of callers."""

MAX_PAGE_ITEMS = 500
"""Items in a page of a listing."""

_REASONS = {
    CommandOutcome.FENCED: "fence",
    CommandOutcome.STALE_RUN: "old",
    CommandOutcome.DEADLINE_PASSED: "late",
    CommandOutcome.NO_CAPACITY: "room",
    CommandOutcome.NO_TICKET: "ticket",
}


async def serve_on_loopback(group: TaskGroup, app: Starlette) -> str:
    """Serve an application on a free port until the task group ends; returns `host:port`."""
    port = await group.start(serve_http, app, "127.0.0.1", 0, anyio.Event())
    return f"127.0.0.1:{port}"


def store_app(store: KeyValueStore) -> Starlette:
    """Return the HTTP interface of the store for one caller.

    A call whose outcome is unknown gets no response for `NO_RESPONSE_S`, so the caller times out.
    """

    async def handle(request: Request) -> Response:
        call = request.path_params["call"]
        query = request.query_params
        body = await request.body()
        try:
            return await _store_call(store, call, query, msgspec.json.decode(body or b"{}"))
        except HistoryLostError:
            return json_response({}, 410)
        except StoreCallError as failure:
            if failure.is_outcome_unknown:
                await anyio.sleep(NO_RESPONSE_S)
            return json_response({}, 503)

    return Starlette(routes=[Route("/-/{call:path}", handle, methods=["GET", "POST", "DELETE"])])


async def _store_call(store: KeyValueStore, call: str, query: Any, body: Any) -> Response:
    name, _, identifier = call.partition("/")
    match name:
        case "kv-key":
            item = await store.get(query["key"])
            return json_response(_encode_item(item)) if item else json_response({}, 404)
        case "kv-range":
            items, revision = await store.list_items(query["prefix"])
            remaining = [item for item in items if item.key > query.get("after", "")]
            return json_response(
                {
                    "items": [_encode_item(i) for i in remaining[:MAX_PAGE_ITEMS]],
                    "has_more": len(remaining) > MAX_PAGE_ITEMS,
                    "at_rev": revision,
                }
            )
        case "kv-watch":
            changes, revision = await store.watch(
                query["prefix"], int(query["after"]), int(query["wait_ms"])
            )
            return json_response(
                {"events": [_encode_change(c) for c in changes], "at_rev": revision}
            )
        case "kv-txn":
            result = await store.transact(
                {row["key"]: row["revision"] for row in body["precondition"]},
                [Put(p["key"], b64decode(p["value"]), p.get("lease_id", 0)) for p in body["puts"]],
                body["deletes"],
            )
            if isinstance(result, Committed):
                return json_response({"revision": result.revision})
            return json_response({"items": [_encode_item(i) for i in result.items.values()]}, 412)
        case "kv-lease":
            lease_id = await store.grant_lease(body["ttl_ms"])
            return json_response({"lease_id": lease_id, "ttl_ms": body["ttl_ms"]})
        case "kv-keep":
            is_renewed = await store.renew_lease(int(identifier))
            return json_response({}, 200 if is_renewed else 404)
        case "kv-lease-end":
            await store.revoke_lease(int(identifier))
            return json_response({})
    return json_response({}, 404)


def _encode_item(item: Item) -> dict[str, object]:
    value = b64encode(item.value).decode()
    return {"key": item.key, "value": value, "revision": item.revision}


def _encode_change(change: Change) -> dict[str, object]:
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "deleted": True}
    return _encode_item(Item(change.key, change.value, change.revision))


def encode_entry(entry: WorkerEntry) -> bytes:
    """Return the JSON document that the platform stores for a worker."""
    value = {
        "service": entry.pool,
        "address": entry.address,
        "zone": entry.zone,
        "state": "ready" if entry.is_ready else "draining",
        "born": entry.boot_unix_ms,
        "clock_ms": entry.clock_ms,
        "labels": ["a", entry.rack],
        "capacity": {
            "cpu": entry.capacity.cpu_millicores,
            "mem_mb": entry.capacity.memory_mb,
            "gpu": entry.capacity.accelerators,
        },
    }
    if entry.remaining_ms is not None:
        value["remaining_ms"] = entry.remaining_ms
    return msgspec.json.encode(value)


def worker_app(worker: MemoryWorker) -> Starlette:
    """Return the HTTP interface of one worker.

    A call that the worker leaves without a response stays open for `NO_RESPONSE_S`.
    """

    async def handle(request: Request) -> Response:
        if request.headers.get("x-expect-instance", worker.id) != worker.id:
            return json_response({}, 421)
        body = msgspec.json.decode(await request.body())
        try:
            return await _worker_call(worker, request.path_params["call"], body)
        except WorkerCallError:
            await anyio.sleep(NO_RESPONSE_S)
            return json_response({}, 503)

    return Starlette(routes=[Route("/-/{call}", handle, methods=["POST"])])


async def _worker_call(worker: MemoryWorker, call: str, body: Any) -> Response:
    token = body.get("fencing_token", 0)
    match call:
        case "run-start":
            command = StartCommand(
                _task_id(body["task"]), body["run"], body["spec"], body.get("checkpoint", "")
            )
            outcome, _ = await worker.start(command, body["deadline_ms"], token)
            return _command_response(worker, outcome)
        case "run-stop":
            outcome = await worker.stop(_task_id(body["task"]), body["run"], token)
            return _command_response(worker, outcome)
        case "hold":
            listing = await worker.renew_lease(
                body.get("deadline_ms"), token, body["acked"], body.get("wait_ms", 0)
            )
            if isinstance(listing, CommandOutcome):
                return _command_response(worker, listing)
            return json_response(
                {
                    "clock_ms": listing.clock_ms,
                    "born": listing.boot_unix_ms,
                    "running": [
                        [r.task, r.run, r.checkpoint, r.percent, 0] for r in listing.running
                    ],
                    "ended": [
                        [e.number, e.task, e.run, e.kind.value, e.checkpoint] for e in listing.ended
                    ],
                }
            )
    return json_response({}, 404)


def _task_id(text: str) -> TaskId:
    job_id, occurrence, step, index = text.split(".")
    return TaskId(job_id, int(occurrence), int(step), int(index))


def _command_response(worker: MemoryWorker, outcome: CommandOutcome) -> Response:
    clock_ms = worker.clock_ms()
    if outcome is CommandOutcome.DONE:
        return json_response({"clock_ms": clock_ms, "born": worker.boot_unix_ms})
    if outcome is CommandOutcome.UNHEALTHY:
        return json_response({}, 503)
    return json_response({"clock_ms": clock_ms, "reason": _REASONS[outcome]}, 409)

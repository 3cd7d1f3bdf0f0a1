"""Operators' HTTP interface: configuration, audit trail, status and metrics."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailwell.adapters import events
from foxtailwell.adapters.error_responses import with_error_responses
from foxtailwell.adapters.http_server import json_response
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.metrics import (
    QueueLength,
    TargetCounts,
    metrics_route,
    process_samples,
    queue_samples,
)
from foxtailwell.adapters.store import StoreClient
from foxtailwell.core import Configuration, InstanceRecord
from foxtailwell.core.errors import (
    FoxtailwellError,
    UnavailableError,
    ValidationError,
    ValidationIssue,
)
from foxtailwell.entry._change_bodies import read_change
from foxtailwell.entry._change_writer import (
    CheckGuarantees,
    packing_problems,
    read_audit,
    read_configuration,
    write_change,
)
from foxtailwell.entry._request_outcomes import RequestOutcomes
from foxtailwell.fleet import FleetView, make_fleet_samples

__all__ = ["operator_routes"]

MAX_AUDIT_LIMIT = 500

QueueLengths = Callable[[], Iterable[QueueLength]]


def operator_routes(
    store: StoreClient,
    view: FleetView,
    *,
    check_guarantees: CheckGuarantees = packing_problems,
    queue: QueueLengths = tuple,
    outcomes: RequestOutcomes | None = None,
) -> list[Route]:
    """Return the routes of the operators' interface.

    Args:
        store: Client of the store.
        view: Configuration in force, instance list and peers.
        check_guarantees: Packing check of the guaranteed shapes on the listed workers.
        queue: Returns the number of waiting requests by class and account.
        outcomes: Ended requests, for explanations and the counts of met targets.
    """
    request_outcomes = outcomes if outcomes is not None else RequestOutcomes()

    async def show_configuration(_: Request) -> Response:
        return json_response(await _configuration_body(store, view))

    async def change(request: Request) -> Response:
        try:
            requested = read_change(await request.body())
            instances = view.instances.values()
            record = await write_change(store, requested, instances, check_guarantees)
        except FoxtailwellError as error:
            log_event(events.CHANGE_REFUSED, code=error.code, cause=error.message)
            raise
        return json_response({"revision": record.revision, "change": record})

    async def audit(request: Request) -> Response:
        limit = _query_number(request, "limit", 50, MAX_AUDIT_LIMIT)
        before = _query_number(request, "before", 0, 2**53)
        return json_response({"changes": await read_audit(store, before or None, limit)})

    async def status(_: Request) -> Response:
        return json_response(
            _status_body(view, store, queue, request_outcomes.targets, time.monotonic())
        )

    async def explain(request: Request) -> Response:
        found = request_outcomes.find(request.path_params["id"])
        if found is not None:
            return json_response(found)
        return json_response(
            {
                "code": "unknown_request",
                "message": f"no ended request {request.path_params['id']} on this entry",
                "remedy": "ask the entry named at the start of the identifier, soon after the end",
            },
            404,
        )

    return [
        Route("/v1/config", with_error_responses(show_configuration), methods=["GET"]),
        Route("/v1/config/changes", with_error_responses(change), methods=["POST"]),
        Route("/v1/audit", with_error_responses(audit), methods=["GET"]),
        Route("/v1/status", with_error_responses(status), methods=["GET"]),
        Route("/v1/requests/{id}/explain", explain, methods=["GET"]),
        metrics_route(
            process_samples,
            make_fleet_samples(view, store),
            request_outcomes.targets.samples,
            lambda: queue_samples(queue()),
        ),
    ]


async def _configuration_body(store: StoreClient, view: FleetView) -> dict[str, Any]:
    """Return the stored configuration, or the one in force while the store does not respond."""
    try:
        _, configuration = await read_configuration(store)
        source = "store"
    except UnavailableError:
        configuration, source = view.configuration, "daemon"
    return {
        "source": source,
        "revision": configuration.revision,
        "revision_in_force": view.configuration.revision,
        "configuration": replace(configuration, changes=()),
    }


def _query_number(request: Request, name: str, default: int, maximum: int) -> int:
    text = request.query_params.get(name, str(default))
    if text.isascii() and text.isdigit() and len(text) < 17 and int(text) <= maximum:
        return int(text)
    issue = ValidationIssue(f"query {name}", f'"{text[:40]}"', f"use 0 to {maximum}")
    raise ValidationError("request", (issue,))


def _status_body(
    view: FleetView,
    store: StoreClient,
    queue: QueueLengths,
    targets: TargetCounts,
    now_s: float,
) -> dict[str, Any]:
    evidence = view.evidence
    return {
        "daemon": view.own_id,
        "revision": view.configuration.revision,
        "evidence_age_s": now_s - evidence.at_monotonic_s if evidence else None,
        "store_is_available": view.is_store_available,
        "store_calls": store.calls,
        "instances": _instance_counts(view.instances.values()),
        "peers": [
            {
                "id": name,
                "zone": peer.record.zone,
                "revision": peer.revision,
                "reply_age_s": now_s - peer.last_reply_monotonic_s,
                "queue_length": peer.load.queue_length,
                "in_flight": peer.load.in_flight,
            }
            for name, peer in sorted(view.peers.items())
        ],
        "zones": _zone_summaries(view.configuration, view.instances.values()),
        "queue": list(queue()),
        "targets": [
            {"class": name, "met": met, "missed": missed}
            for name, (met, missed) in targets.totals().items()
        ],
    }


def _instance_counts(records: Iterable[InstanceRecord]) -> list[dict[str, Any]]:
    counts = Counter((r.role, r.state) for r in records)
    return [
        {"role": role, "state": state, "count": count}
        for (role, state), count in sorted(counts.items())
    ]


def _zone_summaries(
    configuration: Configuration, records: Iterable[InstanceRecord]
) -> list[dict[str, Any]]:
    by_zone: dict[str, list[InstanceRecord]] = {zone: [] for zone in configuration.zones_out}
    for record in records:
        by_zone.setdefault(record.zone, []).append(record)
    return [
        {
            "zone": zone,
            "out": configuration.zones_out.get(zone),
            "workers": sum(r.role == "worker" for r in found),
            "accelerators": sum(r.accelerators for r in found),
            "minions": sum(r.role == "minion" for r in found),
            "slots": sum(r.slots for r in found),
        }
        for zone, found in sorted(by_zone.items())
    ]

"""Route of the operators' interface that reports how fragmented the free accelerators are."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailwell.adapters.http_server import json_response
from foxtailwell.core import fragmentation, free_capacity
from foxtailwell.core._placement import largest_gang
from foxtailwell.scheduler._planning import cluster_view
from foxtailwell.scheduler._state import SchedulerState

__all__ = ["fragmentation_route"]


def fragmentation_route(state: SchedulerState) -> Route:
    """Return the route `GET /v1/fragmentation`.

    It reports the fragmentation of the cluster, from 0 to 1, and for each zone the number of free
    accelerators and the largest gang that could start in one rack.
    """

    async def show(_: Request) -> Response:
        capacity = free_capacity(cluster_view(state))
        zones = [
            {
                "zone": zone,
                "free_accelerators": sum(rack.free_count for rack in racks),
                "largest_gang": largest_gang(racks),
            }
            for zone, racks in sorted(capacity.zones.items())
        ]
        return json_response({"fragmentation": fragmentation(capacity), "zones": zones})

    return Route("/v1/fragmentation", show, methods=["GET"])

"""What both daemons share: configuration in force, freshness evidence, peers, instance list."""

from foxtailwell.fleet._run import run_fleet
from foxtailwell.fleet._samples import make_fleet_samples
from foxtailwell.fleet._state import listed_peers
from foxtailwell.fleet._view import ISOLATION_TIMEOUT_S, FleetView, PeerState

__all__ = [
    "ISOLATION_TIMEOUT_S",
    "FleetView",
    "PeerState",
    "listed_peers",
    "make_fleet_samples",
    "run_fleet",
]

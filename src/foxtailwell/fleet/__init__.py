"""What both daemons share: configuration in force, freshness evidence, peers, instance list."""

from foxtailwell.fleet._run import run_fleet
from foxtailwell.fleet._samples import make_fleet_samples
from foxtailwell.fleet._state import own_daemons
from foxtailwell.fleet._view import ISOLATION_LIMIT_S, FleetView, PeerState

__all__ = [
    "ISOLATION_LIMIT_S",
    "FleetView",
    "PeerState",
    "make_fleet_samples",
    "own_daemons",
    "run_fleet",
]

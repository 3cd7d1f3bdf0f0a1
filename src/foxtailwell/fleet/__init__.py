"""What both daemons share: configuration in force, freshness evidence, peers, instance list."""

from foxtailwell.fleet._run import run_fleet
from foxtailwell.fleet._state import own_daemons
from foxtailwell.fleet._view import FleetView, PeerState

__all__ = ["FleetView", "PeerState", "own_daemons", "run_fleet"]

"""What both daemons share: configuration in force, freshness evidence, peers, instance list."""

from foxtailwell.fleet._view import FleetView, PeerState

__all__ = ["FleetView", "PeerState"]

"""Background tasks that entries and schedulers share, and the view of the fleet they maintain.

The tasks follow the configuration in the store, relay it between peers, record how fresh it is and
poll the instance list. A peer is another entry or scheduler daemon.

This package belongs to the model of `core`, `entry` and `scheduler`, in which a job is one gang.
"""

from foxtailwell.fleet._metrics import make_fleet_samples
from foxtailwell.fleet._run import run_fleet
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

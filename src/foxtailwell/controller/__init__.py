"""The instance that places tasks: election, durable decisions, orders to workers."""

from foxtailwell.controller._controller import FleetAccess, OperatorView
from foxtailwell.controller._intake import CancelOutcome, Intake, IntakeError, SubmitOutcome
from foxtailwell.controller._leadership import Leadership, LeadershipSettings
from foxtailwell.controller._upkeep import UpkeepAccess
from foxtailwell.controller._watch import Snapshot, follow_prefix

__all__ = [
    "CancelOutcome",
    "FleetAccess",
    "Intake",
    "IntakeError",
    "Leadership",
    "LeadershipSettings",
    "OperatorView",
    "Snapshot",
    "SubmitOutcome",
    "UpkeepAccess",
    "follow_prefix",
]

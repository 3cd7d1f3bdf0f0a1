"""The instance that places tasks: election, durable decisions, orders to workers."""

from foxtailwell.controller._controller import FleetAccess, OperatorView
from foxtailwell.controller._intake import CancelOutcome, Intake, IntakeError, SubmitOutcome
from foxtailwell.controller._leadership import Leadership, LeadershipSettings
from foxtailwell.controller._maintenance import MaintenanceAccess
from foxtailwell.controller._watch import ChangeBatch, follow_prefix

__all__ = [
    "CancelOutcome",
    "FleetAccess",
    "Intake",
    "IntakeError",
    "Leadership",
    "LeadershipSettings",
    "OperatorView",
    "ChangeBatch",
    "SubmitOutcome",
    "MaintenanceAccess",
    "follow_prefix",
]

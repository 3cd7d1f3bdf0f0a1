"""Elected controller of the workflows model.

It places the tasks of jobs, stores each decision before it acts on it, and sends commands to
workers. Other instances use the package to store submissions and cancellations.
"""

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

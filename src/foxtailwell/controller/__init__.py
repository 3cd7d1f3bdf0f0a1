"""The instance that places tasks: election, durable decisions, orders to workers."""

from foxtailwell.controller._controller import (
    Controller,
    ControllerLostError,
    FleetAccess,
    OperatorView,
)
from foxtailwell.controller._election import Election, Term
from foxtailwell.controller._intake import CancelOutcome, Intake, IntakeError, SubmitOutcome
from foxtailwell.controller._watch import Snapshot, follow_prefix

__all__ = [
    "CancelOutcome",
    "Controller",
    "ControllerLostError",
    "Election",
    "FleetAccess",
    "Intake",
    "IntakeError",
    "OperatorView",
    "Snapshot",
    "SubmitOutcome",
    "Term",
    "follow_prefix",
]

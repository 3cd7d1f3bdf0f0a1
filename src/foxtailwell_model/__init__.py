"""Specifications of the scheduling protocols for the explicit-state model checker minicheck."""

from foxtailwell_model._specification import Outcome, Specification, check
from foxtailwell_model._specifications import SPECIFICATIONS

__all__ = ["SPECIFICATIONS", "Outcome", "Specification", "check"]

"""Specifications of the core protocol for the explicit-state checker minicheck."""

from foxtailwell_model._specification import Outcome, Specification, check
from foxtailwell_model._specifications import SPECIFICATIONS

__all__ = ["SPECIFICATIONS", "Outcome", "Specification", "check"]

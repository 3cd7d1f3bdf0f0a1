"""All specifications."""

from foxtailwell_model._claims import CLAIMS
from foxtailwell_model._failover import FAILOVER
from foxtailwell_model._freshness import FRESHNESS
from foxtailwell_model._specification import Specification

__all__ = ["SPECIFICATIONS"]

SPECIFICATIONS: tuple[Specification, ...] = (FRESHNESS, CLAIMS, FAILOVER)

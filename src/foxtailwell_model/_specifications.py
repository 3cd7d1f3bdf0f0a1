"""Registry of the specifications that `python -m foxtailwell_model` checks."""

from foxtailwell_model._claims import CLAIMS
from foxtailwell_model._crashes import CRASHES
from foxtailwell_model._failover import FAILOVER
from foxtailwell_model._freshness import FRESHNESS
from foxtailwell_model._gangs import GANG_OF_THREE, GANG_OF_TWO
from foxtailwell_model._namesakes import NAMESAKES
from foxtailwell_model._specification import Specification
from foxtailwell_model._task_lease import TASK_LEASE
from foxtailwell_model._worker_reports import WORKER_REPORTS
from foxtailwell_model._workflow_commands import WORKFLOW_COMMANDS

__all__ = ["SPECIFICATIONS"]

SPECIFICATIONS: tuple[Specification, ...] = (
    FRESHNESS,
    CLAIMS,
    GANG_OF_THREE,
    GANG_OF_TWO,
    TASK_LEASE,
    FAILOVER,
    WORKFLOW_COMMANDS,
    WORKER_REPORTS,
    NAMESAKES,
    CRASHES,
)

"""Decisions and protocol rules without input or output."""

from foxtailwell.core._allocations import Gang, Member, ZoneAllocation
from foxtailwell.core._configuration import (
    ChangeRecord,
    ClientAccount,
    Configuration,
    Shape,
    WorkClass,
    ZoneOut,
)
from foxtailwell.core._first_fit import plan_first_fit
from foxtailwell.core._freshness import (
    EVIDENCE_LIMIT_S,
    PREPARATION_LIMIT_S,
    Evidence,
    evidence_from_peer,
    evidence_from_store,
    may_start,
    newer_evidence,
)
from foxtailwell.core._inventory import InstanceRecord, Role
from foxtailwell.core._jobs import (
    JOB_SHARD_COUNT,
    GangSpec,
    Job,
    JobShard,
    JobState,
    Transition,
)
from foxtailwell.core._placement import Capacity, fragmentation, place_best_fit
from foxtailwell.core._plan import (
    ClusterView,
    Decision,
    FailJob,
    Plan,
    QuarantineWorker,
    StartGang,
    StopGang,
    StopReason,
    WaitReason,
)
from foxtailwell.core._planner import free_capacity, plan

__all__ = [
    "EVIDENCE_LIMIT_S",
    "JOB_SHARD_COUNT",
    "PREPARATION_LIMIT_S",
    "Capacity",
    "ChangeRecord",
    "ClientAccount",
    "ClusterView",
    "Configuration",
    "Decision",
    "Evidence",
    "FailJob",
    "Gang",
    "GangSpec",
    "InstanceRecord",
    "Job",
    "JobShard",
    "JobState",
    "Member",
    "Plan",
    "QuarantineWorker",
    "Role",
    "Shape",
    "StartGang",
    "StopGang",
    "StopReason",
    "Transition",
    "WaitReason",
    "WorkClass",
    "ZoneAllocation",
    "ZoneOut",
    "evidence_from_peer",
    "evidence_from_store",
    "fragmentation",
    "free_capacity",
    "may_start",
    "newer_evidence",
    "place_best_fit",
    "plan",
    "plan_first_fit",
]

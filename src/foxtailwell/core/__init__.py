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
from foxtailwell.core._explain import Explanation, Holder, explain_job, explanation_text
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
from foxtailwell.core._guarantees import (
    GuaranteedSlot,
    GuaranteePacking,
    Holding,
    MissingShape,
    Reclaim,
    check_guarantees,
    choose_borrowers,
    pack_guarantees,
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
    WorkerFailures,
)
from foxtailwell.core._planner import PlannerRules, is_reclaimable, plan, prove_reclaimable
from foxtailwell.core._quarantine import WorkerHealth, is_hopeless, quarantine_until_ms
from foxtailwell.core._runtimes import RunTimes
from foxtailwell.core._situation import free_capacity

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
    "Explanation",
    "FailJob",
    "Gang",
    "GangSpec",
    "GuaranteePacking",
    "GuaranteedSlot",
    "Holder",
    "Holding",
    "InstanceRecord",
    "Job",
    "JobShard",
    "JobState",
    "Member",
    "MissingShape",
    "Plan",
    "PlannerRules",
    "QuarantineWorker",
    "Reclaim",
    "Role",
    "RunTimes",
    "Shape",
    "StartGang",
    "StopGang",
    "StopReason",
    "Transition",
    "WaitReason",
    "WorkClass",
    "WorkerFailures",
    "WorkerHealth",
    "ZoneAllocation",
    "ZoneOut",
    "check_guarantees",
    "choose_borrowers",
    "evidence_from_peer",
    "evidence_from_store",
    "explain_job",
    "explanation_text",
    "fragmentation",
    "free_capacity",
    "is_hopeless",
    "is_reclaimable",
    "may_start",
    "newer_evidence",
    "pack_guarantees",
    "place_best_fit",
    "plan",
    "plan_first_fit",
    "prove_reclaimable",
    "quarantine_until_ms",
]

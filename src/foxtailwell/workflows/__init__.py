"""Scheduling model of jobs made of steps and tasks, without I/O.

The package holds job and task states, the placement planner, and the interfaces to the platform
that the elected controller uses. Deployments of single-gang jobs use `foxtailwell.core` instead.
"""

from foxtailwell.workflows._cluster import (
    ClientAccount,
    ClusterConfiguration,
    Route,
    WorkerEntry,
)
from foxtailwell.workflows._draining import runs_to_stop
from foxtailwell.workflows._fleet_view import (
    FleetView,
    Placement,
    Plan,
    Reservation,
    RunningTask,
    WorkerView,
)
from foxtailwell.workflows._interfaces import (
    AdviceCallError,
    Advisor,
    Change,
    CommandOutcome,
    Committed,
    Conflict,
    EndedRun,
    HistoryLostError,
    Item,
    KeyValueStore,
    ListedRun,
    Put,
    StartCommand,
    StoreCallError,
    WorkerCallError,
    WorkerCalls,
    WorkerListing,
)
from foxtailwell.workflows._job_registry import JobRegistry
from foxtailwell.workflows._jobs import (
    AdviceRules,
    JobState,
    Queue,
    Resources,
    Step,
    Submission,
    TaskId,
)
from foxtailwell.workflows._machines import (
    Machine,
    MachineCallError,
    MachineCalls,
    MachineState,
    MaintenanceOutcome,
    MaintenanceWave,
)
from foxtailwell.workflows._placement import plan
from foxtailwell.workflows._tasks import (
    EndKind,
    Job,
    JobProgress,
    SchedulingUnit,
    Task,
    TaskProgress,
    TaskState,
)

__all__ = [
    "AdviceCallError",
    "AdviceRules",
    "Advisor",
    "Change",
    "ClientAccount",
    "ClusterConfiguration",
    "CommandOutcome",
    "Committed",
    "Conflict",
    "EndKind",
    "EndedRun",
    "FleetView",
    "HistoryLostError",
    "Item",
    "Job",
    "JobProgress",
    "JobRegistry",
    "JobState",
    "KeyValueStore",
    "ListedRun",
    "Machine",
    "MachineCallError",
    "MachineCalls",
    "MachineState",
    "MaintenanceOutcome",
    "MaintenanceWave",
    "Placement",
    "Plan",
    "Put",
    "Queue",
    "Reservation",
    "Resources",
    "Route",
    "RunningTask",
    "SchedulingUnit",
    "StartCommand",
    "Step",
    "StoreCallError",
    "Submission",
    "Task",
    "TaskId",
    "TaskProgress",
    "TaskState",
    "WorkerCallError",
    "WorkerCalls",
    "WorkerEntry",
    "WorkerListing",
    "WorkerView",
    "plan",
    "runs_to_stop",
]

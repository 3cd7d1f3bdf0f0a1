"""Discrete-event simulation that applies the decisions of a gang planner under a virtual clock.

It tests the decisions and does not model daemons, network or store: starts, stops and checkpoints
take fixed times, and tasks make progress while their gang runs.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count

from foxtailwell.core import (
    ClusterView,
    Configuration,
    FailJob,
    Gang,
    GangSpec,
    Job,
    JobState,
    Plan,
    QuarantineWorker,
    RunTimes,
    StartGang,
    StopGang,
    WorkerHealth,
    ZoneAllocation,
    ZoneOut,
    fragmentation,
    free_capacity,
    plan_first_fit,
)
from foxtailwell_bench._workload import Arrival, Deployment

START_DELAY_S = 0.4
"""Time from the decision to start a gang until its tasks work."""

STOP_DELAY_S = 0.3
"""Time from the end of a checkpoint until the accelerators are free."""

CHECKPOINT_BASE_S = 0.5
CHECKPOINT_PER_ACCELERATOR_S = 0.05
"""A checkpoint of 64 accelerators takes 3.7 s, one of a single accelerator 0.55 s."""

RESTORE_TIME_S = 10.0
"""Time that a gang needs to load its checkpoint before it makes progress."""

CHECKPOINT_INTERVAL_S = 600.0
"""Interval of the checkpoints that tasks write without a request."""

ZONE_SHUTDOWN_DELAY_S = 90.0
"""Time from taking a zone out of service until its workers shut down."""

EVENT_BATCH_S = 0.1
"""Events within this time of the first one share a plan."""

REPLAN_INTERVAL_S = 5.0
"""Time between plans while jobs wait and no event occurs."""

Planner = Callable[[ClusterView], Plan]


@dataclass(frozen=True, slots=True)
class Incidents:
    """Faults and cancellations injected into a simulation; times are in virtual seconds.

    Attributes:
        zone_out: Zone, time when it is taken out of service, and time when it returns.
        failing_workers: Worker, and the times between which it fails every task.
        mass_cancellation_s: Time when every fifth waiting job is cancelled.
    """

    zone_out: tuple[str, float, float] | None = None
    failing_workers: tuple[tuple[str, float, float], ...] = ()
    mass_cancellation_s: float | None = None


@dataclass(slots=True)
class JobRecord:
    """A job with the progress and the times that the simulation records for it.

    Attributes:
        job: Job as the planner sees it.
        arrival: Arrival that submitted it.
        progress_s: Run time completed before the current run, without work lost to restarts.
        first_start_s: Time of the first start; None before it.
        end_s: Time when the job ended; None before it.
        work_start_s: Time when the current run begins to make progress.
        was_within_guarantee: Whether the account was within its guarantee at submission.
    """

    job: Job
    arrival: Arrival
    progress_s: float = 0.0
    first_start_s: float | None = None
    end_s: float | None = None
    work_start_s: float = 0.0
    was_within_guarantee: bool = False


@dataclass(slots=True)
class JobSimulationResult:
    """Jobs and totals of a simulation.

    Attributes:
        records: All submitted jobs.
        fragmentation_mean: Mean fragmentation of the free capacity while jobs arrive.
        useful_accelerator_s: Accelerator time of work in the measuring window, without lost work.
        available_accelerator_s: Accelerator time in the measuring window that was in service and
            that unfinished jobs requested.
        plan_count: Number of plans.
        failed_count: Number of jobs that the planner failed.
        stops: Number of stopped gangs by reason.
    """

    records: list[JobRecord] = field(default_factory=list)
    fragmentation_mean: float = 0.0
    useful_accelerator_s: float = 0.0
    available_accelerator_s: float = 0.0
    plan_count: int = 0
    failed_count: int = 0
    stops: dict[str, int] = field(default_factory=dict)


class JobSimulator:
    """State of one simulation: virtual clock, event queue, jobs and allocations."""

    def __init__(
        self,
        deployment: Deployment,
        planner: Planner,
        incidents: Incidents,
        window: _MeasuringWindow,
    ) -> None:
        """Set the clock to 0 with an idle fleet; `run` submits the jobs."""
        self._deployment = deployment
        self._planner = planner
        self._incidents = incidents
        self._window = window
        self._configuration: Configuration = deployment.configuration()
        self._workers = deployment.workers()
        self._offline_zones: set[str] = set()
        self._records: dict[str, JobRecord] = {}
        self._unfinished: dict[str, JobRecord] = {}
        self._gangs: dict[str, dict[str, Gang]] = {zone: {} for zone in deployment.zones}
        self._quarantined: dict[str, dict[str, int]] = {zone: {} for zone in deployment.zones}
        self._health = WorkerHealth()
        self._run_times = RunTimes()
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._result = JobSimulationResult()
        self._fragmentation = 0.0
        self._fragmentation_sum = 0.0

    def run(self, arrivals: list[Arrival], time_limit_s: float) -> JobSimulationResult:
        """Run until all jobs have ended or the limit is reached.

        Args:
            arrivals: Jobs to submit.
            time_limit_s: Virtual time at which the simulation ends even if jobs remain.
        """
        for index, arrival in enumerate(arrivals):
            self._schedule(arrival.at_s, lambda i=index, a=arrival: self._submit(i, a))  # type: ignore[misc]
        self._schedule_incidents()
        replan_s = 0.0
        while self._events and self._events[0][0] <= time_limit_s:
            self._advance(self._events[0][0])
            batch_end_s = self._now_s + EVENT_BATCH_S
            while self._events and self._events[0][0] <= batch_end_s:
                self._advance(self._events[0][0])
                heappop(self._events)[2]()
            plan = self._plan()
            is_start_limited = any(r.code == "start_rate" for r in plan.waiting.values())
            next_s = self._now_s + (1.0 if is_start_limited else REPLAN_INTERVAL_S)
            if plan.waiting and not self._now_s < replan_s <= next_s:
                replan_s = next_s
                self._schedule(replan_s, lambda: None)
        self._advance(time_limit_s if self._unfinished else self._now_s)
        result = self._result
        result.records = list(self._records.values())
        result.fragmentation_mean = self._fragmentation_sum / max(
            self._window.fragmentation_end_s, 1
        )
        return result

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heappush(self._events, (at_s, next(self._sequence), action))

    def _schedule_incidents(self) -> None:
        if self._incidents.zone_out:
            zone, out_s, back_s = self._incidents.zone_out
            self._schedule(out_s, lambda: self._take_zone_out(zone))
            self._schedule(out_s + ZONE_SHUTDOWN_DELAY_S, lambda: self._shut_down_zone(zone))
            self._schedule(back_s, lambda: self._bring_zone_back(zone))
        if self._incidents.mass_cancellation_s is not None:
            self._schedule(self._incidents.mass_cancellation_s, self._cancel_waiting_jobs)

    def _advance(self, to_s: float) -> None:
        """Move the clock and add the elapsed time to the totals."""
        if to_s <= self._now_s:
            return
        end_s = min(to_s, self._window.fragmentation_end_s)
        self._fragmentation_sum += max(0.0, end_s - self._now_s) * self._fragmentation
        overlap_start_s, overlap_end_s = (
            max(self._now_s, self._window.from_s),
            min(to_s, self._window.to_s),
        )
        if overlap_end_s > overlap_start_s:
            unavailable_zones = self._offline_zones | set(self._configuration.zones_out)
            available_accelerators = sum(
                w.accelerators for w in self._workers if w.zone not in unavailable_zones
            )
            requested_accelerators = sum(r.job.spec.accelerators for r in self._unfinished.values())
            self._result.available_accelerator_s += min(
                available_accelerators, requested_accelerators
            ) * (overlap_end_s - overlap_start_s)
            for record in self._unfinished.values():
                if record.job.state is JobState.RUNNING:
                    worked_s = overlap_end_s - max(overlap_start_s, record.work_start_s)
                    self._result.useful_accelerator_s += (
                        max(0.0, worked_s) * record.job.spec.accelerators
                    )
        self._now_s = to_s

    # Handling of arrivals and incidents

    def _submit(self, index: int, arrival: Arrival) -> None:
        work_class = self._configuration.classes[arrival.work_class]
        job = Job(
            id=f"j{index:05}",
            account=arrival.account,
            work_class=arrival.work_class,
            spec=arrival.spec,
            declared_run_s=arrival.declared_run_s,
            idempotent=work_class.idempotent,
            payload="",
            submitted_unix_ms=self._now_ms,
            state=JobState.WAITING,
        )
        record = JobRecord(job, arrival, was_within_guarantee=self._is_within_guarantee(arrival))
        self._records[job.id] = self._unfinished[job.id] = record

    def _is_within_guarantee(self, arrival: Arrival) -> bool:
        """Whether the account's unfinished jobs and this one fit its guaranteed shapes together."""
        shapes = [
            shape.accelerators
            for shape in self._configuration.accounts[arrival.account].guarantees
            for _ in range(shape.count)
        ]
        sizes = [
            r.job.spec.accelerators
            for r in self._unfinished.values()
            if r.job.account == arrival.account
        ]
        for size in sorted([*sizes, arrival.spec.accelerators], reverse=True):
            large_enough = [n for n in shapes if n >= size]
            if not large_enough:
                return False
            shapes.remove(min(large_enough))
        return True

    def _take_zone_out(self, zone: str) -> None:
        zone_out = ZoneOut(zone, self._now_ms, "operator", "maintenance")
        self._configuration = replace(self._configuration, zones_out={zone: zone_out})

    def _shut_down_zone(self, zone: str) -> None:
        self._offline_zones.add(zone)
        for job_id in list(self._gangs[zone]):
            self._restart_after_loss(self._records[job_id])

    def _bring_zone_back(self, zone: str) -> None:
        self._offline_zones.discard(zone)
        self._configuration = replace(self._configuration, zones_out={})

    def _cancel_waiting_jobs(self) -> None:
        waiting = [r for r in self._unfinished.values() if r.job.state is JobState.WAITING]
        for record in waiting[::5]:
            self._end(record, JobState.CANCELLED)

    # Planning and its consequences

    @property
    def _now_ms(self) -> int:
        return round(self._now_s * 1000)

    def _view(self) -> ClusterView:
        jobs = tuple(r.job for r in self._unfinished.values())
        return ClusterView(
            now_unix_ms=self._now_ms,
            configuration=self._configuration,
            workers=tuple(w for w in self._workers if w.zone not in self._offline_zones),
            jobs=jobs,
            allocations={
                zone: ZoneAllocation(zone=zone, gangs=gangs, quarantined=self._quarantined[zone])
                for zone, gangs in self._gangs.items()
            },
            run_time_s=self._run_times.predict(jobs, self._now_ms),
            failing_workers=self._health.failures(),
        )

    def _plan(self) -> Plan:
        plan = self._planner(self._view())
        self._result.plan_count += 1
        for decision in plan.decisions:
            if isinstance(decision, StartGang):
                self._start(decision)
            elif isinstance(decision, StopGang):
                self._stop(decision)
            elif isinstance(decision, FailJob):
                self._result.failed_count += 1
                self._end(self._records[decision.job_id], JobState.FAILED)
            elif isinstance(decision, QuarantineWorker):
                self._quarantined[decision.zone][decision.worker] = decision.until_unix_ms
        self._fragmentation = fragmentation(free_capacity(self._view()))
        return plan

    def _start(self, decision: StartGang) -> None:
        record = self._records[decision.job_id]
        attempt = record.job.attempt + 1
        record.job = replace(
            record.job, state=JobState.PREPARING, attempt=attempt, zone=decision.zone
        )
        self._gangs[decision.zone][decision.job_id] = Gang(
            decision.job_id, attempt, record.job.account, decision.members, self._now_ms
        )
        self._schedule(self._now_s + START_DELAY_S, lambda: self._on_running(record, attempt))

    def _on_running(self, record: JobRecord, attempt: int) -> None:
        if record.job.attempt != attempt or record.job.state is not JobState.PREPARING:
            return
        record.job = replace(record.job, state=JobState.RUNNING, started_unix_ms=self._now_ms)
        if record.first_start_s is None:
            record.first_start_s = self._now_s
        restore_s = RESTORE_TIME_S if record.progress_s else 0.0
        record.work_start_s = self._now_s + restore_s
        failing_worker = self._failing_worker(record)
        if failing_worker is not None:
            self._schedule(
                self._now_s + 2.0, lambda: self._on_task_failed(record, attempt, failing_worker)
            )
        remaining_s = record.arrival.run_s - record.progress_s
        self._schedule(
            record.work_start_s + remaining_s, lambda: self._on_completed(record, attempt)
        )

    def _failing_worker(self, record: JobRecord) -> str | None:
        members = self._gangs[record.job.zone][record.job.id].members
        for worker, from_s, to_s in self._incidents.failing_workers:
            if from_s <= self._now_s < to_s and any(m.worker == worker for m in members):
                return worker
        return None

    def _on_completed(self, record: JobRecord, attempt: int) -> None:
        job = record.job
        if job.attempt != attempt or job.state is not JobState.RUNNING:
            return
        run_s = (self._now_ms - job.started_unix_ms) / 1000
        self._run_times.observe(job.account, job.work_class, run_s)
        for member in self._gangs[job.zone][job.id].members:
            self._health.record_success(member.worker)
            self._quarantined[job.zone].pop(member.worker, None)
        self._end(record, JobState.DONE)

    def _on_task_failed(self, record: JobRecord, attempt: int, worker: str) -> None:
        if record.job.attempt != attempt or record.job.state is not JobState.RUNNING:
            return
        self._health.record_failure(worker, record.job.id, self._now_ms)
        failed = tuple(sorted({*record.job.failed_workers, worker}))
        record.job = replace(record.job, failed_workers=failed)
        self._restart_after_loss(record)

    def _restart_after_loss(self, record: JobRecord) -> None:
        """Requeue a job whose run was lost, at its newest periodic checkpoint."""
        self._add_progress(record)
        kept_progress_s = record.progress_s // CHECKPOINT_INTERVAL_S * CHECKPOINT_INTERVAL_S
        self._discard_progress(record, kept_progress_s)
        self._requeue(record)

    def _add_progress(self, record: JobRecord) -> None:
        if record.job.state is JobState.RUNNING:
            record.progress_s += max(0.0, self._now_s - record.work_start_s)

    def _discard_progress(self, record: JobRecord, kept_progress_s: float) -> None:
        lost_progress_s = record.progress_s - kept_progress_s
        if self._window.from_s <= self._now_s <= self._window.to_s:
            self._result.useful_accelerator_s -= lost_progress_s * record.job.spec.accelerators
        record.progress_s = kept_progress_s

    def _requeue(self, record: JobRecord) -> None:
        self._gangs[record.job.zone].pop(record.job.id, None)
        checkpoint = "c" if record.progress_s else ""
        record.job = replace(
            record.job, state=JobState.WAITING, zone="", checkpoint=checkpoint, started_unix_ms=0
        )

    def _stop(self, decision: StopGang) -> None:
        record = self._records[decision.job_id]
        stop_counts = self._result.stops
        stop_counts[decision.reason] = stop_counts.get(decision.reason, 0) + 1
        checkpoint_s = (
            CHECKPOINT_BASE_S + CHECKPOINT_PER_ACCELERATOR_S * record.job.spec.accelerators
        )
        self._add_progress(record)
        if decision.checkpoint_wait_s < checkpoint_s:
            kept_progress_s = record.progress_s // CHECKPOINT_INTERVAL_S * CHECKPOINT_INTERVAL_S
            self._discard_progress(record, kept_progress_s)
        record.job = replace(record.job, state=JobState.CHECKPOINTING)
        attempt = record.job.attempt
        wait_s = min(checkpoint_s, decision.checkpoint_wait_s) + STOP_DELAY_S
        self._schedule(self._now_s + wait_s, lambda: self._on_stopped(record, attempt))

    def _on_stopped(self, record: JobRecord, attempt: int) -> None:
        if record.job.attempt == attempt and record.job.state is JobState.CHECKPOINTING:
            self._requeue(record)

    def _end(self, record: JobRecord, state: JobState) -> None:
        if record.job.zone:
            self._gangs[record.job.zone].pop(record.job.id, None)
        record.job = replace(record.job, state=state)
        record.end_s = self._now_s
        self._unfinished.pop(record.job.id, None)


@dataclass(frozen=True, slots=True)
class _MeasuringWindow:
    """Window of the accelerator times, and the end of the fragmentation measurement."""

    from_s: float
    to_s: float
    fragmentation_end_s: float


def simulate_jobs(
    deployment: Deployment,
    planner: Planner,
    arrivals: list[Arrival],
    incidents: Incidents,
    *,
    duration_s: float,
    window_s: tuple[float, float] = (0.0, 0.0),
) -> JobSimulationResult:
    """Simulate one planner over a workload.

    Args:
        deployment: Fleet, accounts and classes.
        planner: Planner to measure.
        arrivals: Jobs to submit.
        incidents: Faults and cancellations to inject.
        duration_s: Time during which jobs arrive; the simulation continues for up to three times
            as long afterwards so that the remaining jobs can end.
        window_s: Window in which useful and available accelerator time are added up.
    """
    window = _MeasuringWindow(*window_s, duration_s)
    return JobSimulator(deployment, planner, incidents, window).run(arrivals, 4 * duration_s)


def first_fit_with_quarantine(view: ClusterView) -> Plan:
    """Run the first-fit baseline, with workers quarantined after failures of three jobs.

    Without a quarantine, first fit would restart each job on the same failing worker forever.
    """
    quarantined = {
        worker
        for allocation in view.allocations.values()
        for worker, until_unix_ms in allocation.quarantined.items()
        if until_unix_ms > view.now_unix_ms
    }
    workers = tuple(w for w in view.workers if w.id not in quarantined)
    baseline = plan_first_fit(replace(view, workers=workers))
    zones = {w.id: w.zone for w in view.workers}
    quarantines = tuple(
        QuarantineWorker(zones[worker], worker, view.now_unix_ms + 60_000)
        for worker, failures in view.failing_workers.items()
        if len(failures.job_ids) >= 3 and worker in zones and worker not in quarantined
    )
    return Plan(baseline.decisions + quarantines, baseline.waiting)


def is_multi_worker(spec: GangSpec) -> bool:
    """Whether a gang needs more accelerators than one worker of the deployments has."""
    return spec.accelerators > 8

"""Virtual clock that carries out the decisions of a planner.

It drives the decisions and is no simulator of a cluster: starts, stops and checkpoints take fixed
times, and tasks make progress while their gang runs.
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

START_S = 0.4
"""Time from a decision until a gang does work."""

STOP_S = 0.3
"""Time from the end of a checkpoint until the accelerators are free."""

CHECKPOINT_BASE_S = 0.5
CHECKPOINT_PER_ACCELERATOR_S = 0.05
"""A checkpoint of 64 accelerators takes 3.7 s, one of a single accelerator 0.55 s."""

RESTORE_S = 10.0
"""Work time lost when a gang starts from a checkpoint."""

PERIODIC_CHECKPOINT_S = 600.0
"""Tasks write a checkpoint by themselves this often."""

DARK_AFTER_S = 90.0
"""Time from taking a zone out until its workers are gone."""

QUANTUM_S = 0.1
"""Events within this time are planned together."""

REPLAN_S = 5.0
"""Time between plans while jobs wait and nothing happens."""

Planner = Callable[[ClusterView], Plan]


@dataclass(frozen=True, slots=True)
class Incidents:
    """What goes wrong in a run; times are in seconds.

    Attributes:
        zone_out: Zone, when it is taken out, and when it is back.
        bad_workers: Worker, and when it starts and ends failing all tasks.
        cancel_wave_s: When a fifth of the waiting jobs is cancelled.
    """

    zone_out: tuple[str, float, float] | None = None
    failing_workers: tuple[tuple[str, float, float], ...] = ()
    cancel_wave_s: float | None = None


@dataclass(slots=True)
class JobRecord:
    """One job as the driver knows it."""

    job: Job
    arrival: Arrival
    progress_s: float = 0.0
    first_start_s: float | None = None
    end_s: float | None = None
    work_from_s: float = 0.0
    was_within_guarantee: bool = False


@dataclass(slots=True)
class JobSimulationResult:
    """What a run measured."""

    records: list[JobRecord] = field(default_factory=list)
    fragmentation_mean: float = 0.0
    useful_accelerator_s: float = 0.0
    available_accelerator_s: float = 0.0
    plan_count: int = 0
    failed_count: int = 0
    stops: dict[str, int] = field(default_factory=dict)


class JobSimulator:
    """Virtual clock, jobs and allocations of one run."""

    def __init__(
        self,
        deployment: Deployment,
        planner: Planner,
        incidents: Incidents,
        window: _MeasuringWindow,
    ) -> None:
        """Prepare a run without jobs."""
        self._deployment = deployment
        self._planner = planner
        self._incidents = incidents
        self._window = window
        self._configuration: Configuration = deployment.configuration()
        self._workers = deployment.workers()
        self._dark: set[str] = set()
        self._records: dict[str, JobRecord] = {}
        self._open: dict[str, JobRecord] = {}
        self._gangs: dict[str, dict[str, Gang]] = {zone: {} for zone in deployment.zones}
        self._quarantined: dict[str, dict[str, int]] = {zone: {} for zone in deployment.zones}
        self._health = WorkerHealth()
        self._run_times = RunTimes()
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._outcome = JobSimulationResult()
        self._fragmentation = 0.0
        self._fragmentation_sum = 0.0

    def run(self, arrivals: list[Arrival], limit_s: float) -> JobSimulationResult:
        """Run until all jobs have ended or the limit is reached.

        Args:
            arrivals: Jobs to submit.
            limit_s: Virtual time at which the run is cut off.
        """
        for index, arrival in enumerate(arrivals):
            self._at(arrival.at_s, lambda i=index, a=arrival: self._submit(i, a))  # type: ignore[misc]
        self._schedule_incidents()
        wake_s = 0.0
        while self._events and self._events[0][0] <= limit_s:
            self._advance(self._events[0][0])
            until = self._now_s + QUANTUM_S
            while self._events and self._events[0][0] <= until:
                self._advance(self._events[0][0])
                heappop(self._events)[2]()
            plan = self._plan()
            waits = any(r.code == "start_rate" for r in plan.waiting.values())
            next_s = self._now_s + (1.0 if waits else REPLAN_S)
            if plan.waiting and not self._now_s < wake_s <= next_s:
                wake_s = next_s
                self._at(wake_s, lambda: None)
        self._advance(limit_s if self._open else self._now_s)
        outcome = self._outcome
        outcome.records = list(self._records.values())
        outcome.fragmentation_mean = self._fragmentation_sum / max(self._window.fragmentation_s, 1)
        return outcome

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heappush(self._events, (at_s, next(self._sequence), action))

    def _schedule_incidents(self) -> None:
        if self._incidents.zone_out:
            zone, out_s, back_s = self._incidents.zone_out
            self._at(out_s, lambda: self._zone_out(zone))
            self._at(out_s + DARK_AFTER_S, lambda: self._zone_dark(zone))
            self._at(back_s, lambda: self._zone_back(zone))
        if self._incidents.cancel_wave_s is not None:
            self._at(self._incidents.cancel_wave_s, self._cancel_wave)

    def _advance(self, to_s: float) -> None:
        """Move the clock and add up what depends on time."""
        if to_s <= self._now_s:
            return
        until = min(to_s, self._window.fragmentation_s)
        self._fragmentation_sum += max(0.0, until - self._now_s) * self._fragmentation
        low, high = max(self._now_s, self._window.from_s), min(to_s, self._window.to_s)
        if high > low:
            out = self._dark | set(self._configuration.zones_out)
            available = sum(w.accelerators for w in self._workers if w.zone not in out)
            wanted = sum(r.job.spec.accelerators for r in self._open.values())
            self._outcome.available_accelerator_s += min(available, wanted) * (high - low)
            for record in self._open.values():
                if record.job.state is JobState.RUNNING:
                    worked = high - max(low, record.work_from_s)
                    self._outcome.useful_accelerator_s += (
                        max(0.0, worked) * record.job.spec.accelerators
                    )
        self._now_s = to_s

    # Events.

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
        self._records[job.id] = self._open[job.id] = record

    def _is_within_guarantee(self, arrival: Arrival) -> bool:
        """Whether the account stays within its guarantee with all its open jobs and this one."""
        shapes = [
            shape.accelerators
            for shape in self._configuration.accounts[arrival.account].guarantees
            for _ in range(shape.count)
        ]
        sizes = [
            r.job.spec.accelerators for r in self._open.values() if r.job.account == arrival.account
        ]
        for size in sorted([*sizes, arrival.spec.accelerators], reverse=True):
            fitting = [n for n in shapes if n >= size]
            if not fitting:
                return False
            shapes.remove(min(fitting))
        return True

    def _zone_out(self, zone: str) -> None:
        out = ZoneOut(zone, self._now_ms, "operator", "maintenance")
        self._configuration = replace(self._configuration, zones_out={zone: out})

    def _zone_dark(self, zone: str) -> None:
        self._dark.add(zone)
        for job_id in list(self._gangs[zone]):
            self._lose(self._records[job_id])

    def _zone_back(self, zone: str) -> None:
        self._dark.discard(zone)
        self._configuration = replace(self._configuration, zones_out={})

    def _cancel_wave(self) -> None:
        waiting = [r for r in self._open.values() if r.job.state is JobState.WAITING]
        for record in waiting[::5]:
            self._end(record, JobState.CANCELLED)

    # Decisions.

    @property
    def _now_ms(self) -> int:
        return round(self._now_s * 1000)

    def _view(self) -> ClusterView:
        jobs = tuple(r.job for r in self._open.values())
        return ClusterView(
            now_unix_ms=self._now_ms,
            configuration=self._configuration,
            workers=tuple(w for w in self._workers if w.zone not in self._dark),
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
        self._outcome.plan_count += 1
        for decision in plan.decisions:
            if isinstance(decision, StartGang):
                self._start(decision)
            elif isinstance(decision, StopGang):
                self._stop(decision)
            elif isinstance(decision, FailJob):
                self._outcome.failed_count += 1
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
        self._at(self._now_s + START_S, lambda: self._running(record, attempt))

    def _running(self, record: JobRecord, attempt: int) -> None:
        if record.job.attempt != attempt or record.job.state is not JobState.PREPARING:
            return
        record.job = replace(record.job, state=JobState.RUNNING, started_unix_ms=self._now_ms)
        if record.first_start_s is None:
            record.first_start_s = self._now_s
        restore_s = RESTORE_S if record.progress_s else 0.0
        record.work_from_s = self._now_s + restore_s
        bad = self._bad_worker(record)
        if bad is not None:
            self._at(self._now_s + 2.0, lambda: self._task_failed(record, attempt, bad))
        left_s = record.arrival.run_s - record.progress_s
        self._at(record.work_from_s + left_s, lambda: self._done(record, attempt))

    def _bad_worker(self, record: JobRecord) -> str | None:
        members = self._gangs[record.job.zone][record.job.id].members
        for worker, from_s, to_s in self._incidents.failing_workers:
            if from_s <= self._now_s < to_s and any(m.worker == worker for m in members):
                return worker
        return None

    def _done(self, record: JobRecord, attempt: int) -> None:
        job = record.job
        if job.attempt != attempt or job.state is not JobState.RUNNING:
            return
        run_s = (self._now_ms - job.started_unix_ms) / 1000
        self._run_times.observe(job.account, job.work_class, run_s)
        for member in self._gangs[job.zone][job.id].members:
            self._health.record_success(member.worker)
            self._quarantined[job.zone].pop(member.worker, None)
        self._end(record, JobState.DONE)

    def _task_failed(self, record: JobRecord, attempt: int, worker: str) -> None:
        if record.job.attempt != attempt or record.job.state is not JobState.RUNNING:
            return
        self._health.record_failure(worker, record.job.id, self._now_ms)
        failed = tuple(sorted({*record.job.failed_workers, worker}))
        record.job = replace(record.job, failed_workers=failed)
        self._lose(record)

    def _lose(self, record: JobRecord) -> None:
        """Return a gang to the queue with its newest periodic checkpoint."""
        self._bank(record)
        kept_s = record.progress_s // PERIODIC_CHECKPOINT_S * PERIODIC_CHECKPOINT_S
        self._discard(record, kept_s)
        self._requeue(record)

    def _bank(self, record: JobRecord) -> None:
        if record.job.state is JobState.RUNNING:
            record.progress_s += max(0.0, self._now_s - record.work_from_s)

    def _discard(self, record: JobRecord, kept_s: float) -> None:
        lost_s = record.progress_s - kept_s
        if self._window.from_s <= self._now_s <= self._window.to_s:
            self._outcome.useful_accelerator_s -= lost_s * record.job.spec.accelerators
        record.progress_s = kept_s

    def _requeue(self, record: JobRecord) -> None:
        self._gangs[record.job.zone].pop(record.job.id, None)
        checkpoint = "c" if record.progress_s else ""
        record.job = replace(
            record.job, state=JobState.WAITING, zone="", checkpoint=checkpoint, started_unix_ms=0
        )

    def _stop(self, decision: StopGang) -> None:
        record = self._records[decision.job_id]
        reasons = self._outcome.stops
        reasons[decision.reason] = reasons.get(decision.reason, 0) + 1
        needed_s = CHECKPOINT_BASE_S + CHECKPOINT_PER_ACCELERATOR_S * record.job.spec.accelerators
        self._bank(record)
        if decision.checkpoint_wait_s < needed_s:
            kept_s = record.progress_s // PERIODIC_CHECKPOINT_S * PERIODIC_CHECKPOINT_S
            self._discard(record, kept_s)
        record.job = replace(record.job, state=JobState.CHECKPOINTING)
        attempt = record.job.attempt
        wait_s = min(needed_s, decision.checkpoint_wait_s) + STOP_S
        self._at(self._now_s + wait_s, lambda: self._stopped(record, attempt))

    def _stopped(self, record: JobRecord, attempt: int) -> None:
        if record.job.attempt == attempt and record.job.state is JobState.CHECKPOINTING:
            self._requeue(record)

    def _end(self, record: JobRecord, state: JobState) -> None:
        if record.job.zone:
            self._gangs[record.job.zone].pop(record.job.id, None)
        record.job = replace(record.job, state=state)
        record.end_s = self._now_s
        self._open.pop(record.job.id, None)


@dataclass(frozen=True, slots=True)
class _MeasuringWindow:
    """Times over which useful work and fragmentation are added up."""

    from_s: float
    to_s: float
    fragmentation_s: float


def simulate_jobs(
    deployment: Deployment,
    planner: Planner,
    arrivals: list[Arrival],
    incidents: Incidents,
    *,
    duration_s: float,
    window_s: tuple[float, float] = (0.0, 0.0),
) -> JobSimulationResult:
    """Run one planner over a workload.

    Args:
        deployment: Fleet, accounts and classes.
        planner: Planner to measure.
        arrivals: Jobs to submit.
        incidents: What goes wrong.
        duration_s: Time during which jobs arrive; jobs that are left get three times as long.
        window_s: Window in which useful and available accelerator time are added up.
    """
    window = _MeasuringWindow(*window_s, duration_s)
    return JobSimulator(deployment, planner, incidents, window).run(arrivals, 4 * duration_s)


def first_fit_with_quarantine(view: ClusterView) -> Plan:
    """Run the baseline planner with the same quarantine as the planner.

    Without it the baseline starts every job on the first failing worker for ever.
    """
    quarantined = {
        worker
        for allocation in view.allocations.values()
        for worker, until in allocation.quarantined.items()
        if until > view.now_unix_ms
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
    """Whether a gang needs more than one worker of the deployments."""
    return spec.accelerators > 8
